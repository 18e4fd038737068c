"""Test that a long takeover starts no task that is at work.

Replays a takeover that takes longer than the orders of the owner before are in effect,
while the new owner extends the leases of all workers. Guards against a worker whose
run table comes only after that: its tasks were started elsewhere as well.
"""

import asyncio

import pytest

from lycheerelay._resources import Resources
from lycheerelay.serving._cell_restore import CellRestore
from lycheerelay.serving._ports import RecordPage
from lycheerelay.workflow import (
    CellState,
    WorkerKey,
    WorkerListing,
    list_worker,
    run_periodic_checks,
)
from lycheerelay_standins.platform import CellShape, PlatformCell, Shape
from platform_days import job, play, step

WORKER = WorkerKey('w-0')
ORDERS_EXPIRE_MS = 7700
LEASE_MS = 6000
WORK_MS = 60_000


@pytest.mark.parametrize('restoring_s', [7.4, 8.0, 8.6, 9.2, 14.5])
def test_a_long_takeover_does_not_run_tasks_twice(
    restoring_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Workers whose poll was waiting at its end were taken for empty."""
    restore = CellRestore.run

    async def restore_slowly(self: CellRestore, jobs: RecordPage) -> bool:
        await asyncio.sleep(restoring_s)
        return await restore(self, jobs)

    async def scenario(cell: PlatformCell) -> None:
        for _ in range(4):
            body = job(step(8, estimatedMs=WORK_MS))
            await cell.submit('vm-0', body, work_ms=WORK_MS)
        # Their ends return polls at different times.
        short = job(*(step(2, after=[n - 1] if n else []) for n in range(60)))
        await cell.submit('vm-0', short, work_ms=700)
        await asyncio.sleep(4)
        monkeypatch.setattr(CellRestore, 'run', restore_slowly)
        before = cell.owner()
        cell.kill_vm(before)
        await asyncio.sleep(restoring_s + 8)
        assert cell.owner() not in {'', before}

    play(scenario, CellShape(vms=3, workers=(Shape('cpu'),) * 8))


def _unsynced_cell() -> CellState:
    cell = CellState(fence=2, previous_orders_expire_ms=ORDERS_EXPIRE_MS)
    cell.loaded = True
    room = Resources(1000, 1000)
    listing = WorkerListing(
        WORKER, 'w:80', 'pool', 'a', 'r1', frozenset(), room, False
    )
    list_worker(cell, listing, 0)
    cell.unsynced_workers['w-0'] = None
    return cell


def test_a_worker_with_a_lease_of_this_owner_is_waited_for() -> None:
    cell = _unsynced_cell()
    cell.workers[WORKER].lease_until_ms = ORDERS_EXPIRE_MS + LEASE_MS
    run_periodic_checks(cell, ORDERS_EXPIRE_MS)
    assert 'w-0' in cell.unsynced_workers


def test_a_worker_is_waited_for_until_its_leases_expire() -> None:
    cell = _unsynced_cell()
    cell.workers[WORKER].lease_until_ms = ORDERS_EXPIRE_MS + LEASE_MS
    run_periodic_checks(cell, ORDERS_EXPIRE_MS + LEASE_MS + 1)
    assert 'w-0' not in cell.unsynced_workers


def test_a_worker_without_a_lease_is_not_waited_for() -> None:
    cell = _unsynced_cell()
    run_periodic_checks(cell, ORDERS_EXPIRE_MS - 1)
    assert 'w-0' in cell.unsynced_workers
    run_periodic_checks(cell, ORDERS_EXPIRE_MS)
    assert 'w-0' not in cell.unsynced_workers
