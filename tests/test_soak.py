"""Run a short soak of processes; `scripts/soak` runs longer ones."""

import random
from pathlib import Path

import pytest

from lycheerelay_standins.platform import CellShape, EmulatedNetwork, soak
from lycheerelay_standins.platform._soak_cell import SoakCell

LENGTH_S = 6
# The revocation of a key takes about 10 s more.
TENANTS_LENGTH_S = 4
# Seeds that failed in the past, each with the cause.
REGRESSIONS: dict[int, str] = {}

# The processes log to files.
pytestmark = pytest.mark.usefixtures('disable_logging')


@pytest.mark.parametrize('seed', sorted({2, *REGRESSIONS}))
def test_a_soak_keeps_every_promise(seed: int, tmp_path: Path) -> None:
    """No guarantee is violated, and every accepted job becomes final."""
    result = soak(seed, LENGTH_S, tmp_path)
    assert result.accepted > 5
    assert result.broken == ()
    assert result.unfinished == ()
    lines = (tmp_path / 'vm-0.log').read_text().splitlines()
    assert any('"started"' in line for line in lines)


def test_a_soak_with_tasks_that_crash_workers_keeps_every_promise(
    tmp_path: Path,
) -> None:
    """Real processes give them up, and finish everything else."""
    result = soak(6, LENGTH_S, tmp_path, deadly_share=0.1)
    assert result.accepted > 5
    assert result.broken == ()
    assert result.unfinished == ()
    logs = ''.join(path.read_text() for path in tmp_path.glob('*.log'))
    assert 'workers crashed under a task' in logs


def test_a_soak_with_tenants_keeps_every_promise(tmp_path: Path) -> None:
    """A key is revoked while a process is suspended, and refused by it."""
    result = soak(14, TENANTS_LENGTH_S, tmp_path, with_tenants=True)
    assert 'suspended' in result.faults
    assert result.accepted > 5
    assert result.broken == ()
    assert result.unfinished == ()
    logs = ''.join(path.read_text() for path in tmp_path.glob('*.log'))
    assert 'caller_refused' in logs


def test_a_soak_with_crowds_keeps_every_promise(tmp_path: Path) -> None:
    """Crowds come to processes that are killed, stopped and suspended."""
    only = ('crowd', 'kill', 'leave', 'freeze', 'store_slow')
    result = soak(3, LENGTH_S, tmp_path, only=only)
    assert 'crowd' in result.faults
    assert result.accepted > 5
    assert result.broken == ()
    assert result.unfinished == ()
    logs = ''.join(path.read_text() for path in tmp_path.glob('*.log'))
    assert 'connection_closed' in logs


def test_concurrent_soaks_use_separate_networks(tmp_path: Path) -> None:
    """Concurrent soaks claim separate parts of the loopback network."""
    shape = CellShape(vms=0)
    cells = [
        SoakCell(shape, tmp_path, EmulatedNetwork(random.Random(1)))
        for _ in 'ab'
    ]
    assert cells[0].network != cells[1].network
    for cell in cells:
        cell.claim.close()


def test_a_soak_with_abandoned_jobs_keeps_every_promise(tmp_path: Path) -> None:
    """Callers cancel jobs whose hand-in the store executes late."""
    only = ('abandoned', 'kill', 'leave', 'freeze')
    result = soak(1, LENGTH_S, tmp_path, only=only)
    assert 'abandoned' in result.faults
    assert result.broken == ()
    assert result.unfinished == ()
