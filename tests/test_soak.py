"""Soak real processes for a few seconds; `scripts/soak` does more by hand."""

import logging
from collections.abc import Iterator
from pathlib import Path

import pytest

from lycheerelay_standins.platform import soak

LENGTH_S = 6
# Seeds that failed once, each with its cause.
REGRESSIONS: dict[int, str] = {}


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    """Write no lines: the processes write theirs to files."""
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
