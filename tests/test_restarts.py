"""Test that a restart brings back nothing that was withdrawn.

Guards against runs on a worker that has left, and against jobs for a queue that
the operator has removed, after processes have been restarted.
"""

import asyncio

from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    QueueShape,
    Shape,
)
from lycheerelay_standins.platform._environment import ROUTE_HOST
from platform_days import STORE, job, play, step


async def _restart_all(cell: PlatformCell) -> None:
    for name in list(cell.entries):
        cell.kill_vm(name)
    for number in range(cell.shape.vms):
        cell.start_vm(f'vm-{number}')
    await asyncio.sleep(4)


def test_a_worker_that_has_left_gets_no_runs_after_a_restart() -> None:
    """Its record among the known workers outlives its registration."""

    async def scenario(cell: PlatformCell) -> None:
        gone = next(iter(cell.workers.values()))
        # It still runs, but its registration lapses.
        cell.net.cuts.add((gone.worker_id, STORE))
        await asyncio.sleep(8)
        starts = gone.starts
        await _restart_all(cell)
        names = [(await cell.submit('vm-1', job(step(6))))[0] for _ in range(4)]
        assert set((await cell.settle(names, 15)).values()) == {'completed'}
        assert gone.starts == starts

    play(scenario)


def test_a_removed_queue_stays_removed_after_a_restart() -> None:
    shape = CellShape(
        workers=(Shape('cpu'),) * 2,
        queues=(QueueShape('batch', 'cpu'), QueueShape('old', 'cpu')),
    )

    async def scenario(cell: PlatformCell) -> None:
        cell.shape = cell.shape._replace(queues=cell.shape.queues[:1])
        cell.configure()
        await asyncio.sleep(2)
        await _restart_all(cell)
        for entry in cell.entries.values():
            assert entry.config.table is not None
            assert entry.config.table.find(ROUTE_HOST, '/old/x') is None
            assert entry.config.table.find(ROUTE_HOST, '/batch/x') is not None

    play(scenario, shape)
