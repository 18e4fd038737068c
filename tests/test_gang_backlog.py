"""Test a backlog of gangs that need whole workers, after a takeover.

Guards against gangs that wait beside idle workers, as the advisor allows few workers
for each, takes long, and its tickets are valid for 2 s.
"""

import asyncio
import random
from typing import final

import pytest

from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    QueueShape,
    Shape,
)
from platform_days import job, play, step

MAX_WAIT_MS = 3000
SAMPLE_S = 0.1
ADVICE = {'decisionMs': 490, 'periodMs': 7, 'validityMs': 2000}
CELL = CellShape(
    workers=(Shape('gpu', 64000, 262144, 8),) * 13,
    vms=8,
    queues=(QueueShape('solve', 'gpu', 3, ADVICE),),
    allowed_share=0.3,
)


@final
class IdleWatch:
    """Find gangs that wait while workers could hold them twice over.

    A gang counts while under half of the workers are in use and there is an owner.
    """

    def __init__(self, cell: PlatformCell) -> None:
        self.cell = cell
        self.widths: dict[str, int] = {}
        self.since_ms: dict[str, int] = {}
        self.longest_ms = 0

    async def run(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)

    def sample(self) -> None:
        workers = list(self.cell.workers.values())
        idle = [worker.worker_id for worker in workers if not worker.runs]
        begun = {
            task.partition('.')[0]
            for task, runs in self.cell.audit.runs.items()
            if runs[-1].ended_ms < 0 or runs[-1].outcome == 'done'
        }
        is_calm = self.cell.owner() and 2 * len(idle) > len(workers)
        for name, width in self.widths.items():
            allowed = sum(
                self.cell.is_allowed(f'{name}.0.0', worker) for worker in idle
            )
            if not is_calm or name in begun or allowed < 2 * width:
                self.since_ms.pop(name, None)
                continue
            since_ms = self.since_ms.setdefault(name, self.cell.now_ms())
            waited_ms = self.cell.now_ms() - since_ms
            self.longest_ms = max(self.longest_ms, waited_ms)


async def _submit_gangs(
    cell: PlatformCell, watch: IdleWatch, count: int, seed: int
) -> None:
    rng = random.Random(seed)
    for _ in range(count):
        width = max(1, min(9, int(rng.lognormvariate(0.1, 0.6))))
        ready = [
            vm
            for vm, entry in sorted(cell.entries.items())
            if entry.config.table is not None
        ]
        gang = step(
            width,
            gang=True,
            cpu=62000,
            memMb=250000,
            gpus=8,
            estimatedMs=int(3600 * rng.uniform(0.3, 2)),
        )
        name, _ = await cell.submit(
            rng.choice(ready),
            job(gang),
            queue='solve',
            work_ms=int(rng.uniform(1800, 6000)),
        )
        watch.widths[name] = width
        await asyncio.sleep(rng.uniform(0, 0.4))


@pytest.mark.parametrize('seed', [1, 2])
def test_a_backlog_does_not_wait_for_tickets_after_a_restart_of_all_vms(
    seed: int,
) -> None:
    """All gangs ask for advice at once, and the workers are empty."""

    async def scenario(cell: PlatformCell) -> None:
        watch = IdleWatch(cell)
        await _submit_gangs(cell, watch, 240, seed)
        vms = sorted(cell.entries)
        for vm in vms:
            cell.kill_vm(vm)
        await asyncio.sleep(9.5)
        for vm in vms:
            cell.start_vm(vm)
        watching = asyncio.get_running_loop().create_task(watch.run())
        await asyncio.sleep(60)
        watching.cancel()
        assert watch.longest_ms < MAX_WAIT_MS

    play(scenario, CELL._replace(seed=seed))


@pytest.mark.parametrize('seed', [2, 5])
def test_a_backlog_does_not_wait_for_workers_that_others_keep(
    seed: int,
) -> None:
    """Gangs ahead keep free workers while they wait for busy ones."""

    async def scenario(cell: PlatformCell) -> None:
        watch = IdleWatch(cell)
        await _submit_gangs(cell, watch, 120, seed)
        cell.kill_vm(cell.owner())
        watching = asyncio.get_running_loop().create_task(watch.run())
        await asyncio.sleep(60)
        watching.cancel()
        assert watch.longest_ms < MAX_WAIT_MS

    play(scenario, CELL._replace(seed=seed))
