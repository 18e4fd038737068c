"""Serve accepted jobs after their queue has gone to another service.

Replays planned work: a configuration sends a queue to new workers, then the old ones
are emptied. Guards against accepted jobs that stay with a service that is gone.
"""

import asyncio
from typing import Final

from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    QueueShape,
    Shape,
)
from platform_days import job, play, step

SHAPE: Final = CellShape(
    workers=(Shape('old'),) * 2 + (Shape('new'),) * 4,
    queues=(QueueShape('batch', 'old'),),
)
DRAIN_S: Final = 2.5
SOON_S: Final = 10


def test_accepted_jobs_stay_with_the_service_that_is_gone() -> None:
    """They run on the workers of the service that the queue has now."""

    async def scenario(cell: PlatformCell) -> None:
        lasting = job(step(2, longRunning=True))
        name, _ = await cell.submit('vm-0', lasting, work_ms=600_000)
        await asyncio.sleep(2)
        assert await cell.state('vm-0', name) == 'running'
        cell.configure(batch='new')
        cell.audit.jobs[name].pool = 'new'
        await asyncio.sleep(4)
        old = [
            worker
            for worker in cell.workers.values()
            if worker.shape.pool == 'old'
        ]
        for worker in old:
            worker.draining = True
        await asyncio.sleep(DRAIN_S)
        for worker in old:
            cell.crash_worker(worker)
        await asyncio.sleep(SOON_S)
        at_work = {
            worker.shape.pool for worker in cell.workers.values() if worker.runs
        }
        assert at_work == {'new'}

    play(scenario, SHAPE)
