"""Soak real processes for a few seconds; `scripts/soak` runs longer soaks."""

import logging
import random
from collections.abc import Iterator
from pathlib import Path

import pytest

from lycheerelay_standins.platform import CellShape, Net, soak
from lycheerelay_standins.platform._soak_cell import SoakCell

LENGTH_S = 6
# Seeds that failed once, each with its cause.
REGRESSIONS: dict[int, str] = {}


@pytest.fixture(autouse=True)
def disable_logging() -> Iterator[None]:
    """Disable log lines, since the processes write theirs to files."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize('seed', sorted({2, *REGRESSIONS}))
def test_a_soak_keeps_every_promise(seed: int, tmp_path: Path) -> None:
    """Nothing is broken, and every accepted job becomes final."""
    result = soak(seed, LENGTH_S, tmp_path)
    assert result.accepted > 5
    assert result.broken == ()
    assert result.unfinished == ()
    lines = (tmp_path / 'vm-0.log').read_text().splitlines()
    assert any('"started"' in line for line in lines)


def test_concurrent_soaks_use_separate_networks(tmp_path: Path) -> None:
    """A soak that starts beside another one uses other addresses."""
    shape = CellShape(vms=0)
    cells = [SoakCell(shape, tmp_path, Net(random.Random(1))) for _ in 'ab']
    assert cells[0].network != cells[1].network
    for cell in cells:
        cell.claim.close()
