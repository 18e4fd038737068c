"""Start what fits beside steps that no set of workers can ever hold.

Replays a load of jobs that can never run, handed in before others, which wait until all
workers are idle. Guards against the former using up the plans or the reservations of
each scheduling cycle.
"""

import asyncio
from typing import Any, Final

import pytest

from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    QueueShape,
    Shape,
)
from platform_days import job, play, step

MACHINES: Final = 7
ROOM: Final = Shape('gpu', 128_000, 524_288, 8)
SHAPE: Final = CellShape(
    workers=(ROOM,) * MACHINES, queues=(QueueShape('solve', 'gpu'),)
)
SOLVE: Final[dict[str, Any]] = {
    'cpu': 62_000,
    'memMb': 250_000,
    'gpus': 8,
    'estimatedMs': 600,
}
GANG: Final[dict[str, Any]] = {**SOLVE, 'gang': True}
BUSY_S: Final = 10
# All jobs that fit are over some seconds after all workers are idle.
SOON_S: Final = 5

HOPELESS: Final[dict[str, dict[str, Any]]] = {
    'wide': step(MACHINES + 1, **GANG),
    'label': step(2, **GANG, requirements='nowhere'),
    'gpus': step(2, **{**GANG, 'gpus': 9}),
    'spread': step(MACHINES + 1, **{**GANG, 'gpus': 1, 'antiAffinity': 1}),
    'lone': step(1, **{**SOLVE, 'gpus': 16}),
    'lone label': step(1, **SOLVE, requirements='nowhere'),
}


async def begin_load(cell: PlatformCell, kind: str, count: int) -> list[str]:
    """Hand in hopeless jobs, long ones, and then those that fit."""
    for _ in range(count):
        await cell.submit('vm-0', job(HOPELESS[kind]), 'solve')
    for number in range(MACHINES):
        busy_ms = int((BUSY_S + 0.7 * number) * 1000)
        long = step(1, **{**SOLVE, 'estimatedMs': busy_ms})
        await cell.submit('vm-0', job(long), 'solve', busy_ms)
    await asyncio.sleep(0.5)
    names = []
    for body in (
        job(step(MACHINES, **GANG)),
        *(job(step(1, **{**SOLVE, 'gpus': 1, 'cpu': 11_000})),) * 4,
    ):
        names.append((await cell.submit('vm-0', body, 'solve', 600))[0])
    return names


async def wait_until_idle(cell: PlatformCell) -> None:
    """Wait until no worker runs anything."""
    await asyncio.sleep(BUSY_S)
    while any(worker.runs for worker in cell.workers.values()):
        await asyncio.sleep(0.1)


@pytest.mark.parametrize('kind', HOPELESS)
@pytest.mark.parametrize('count', [14, 40])
def test_steps_that_cannot_run_keep_all_workers_idle(
    kind: str, count: int
) -> None:
    """A gang that needs all workers starts, and so does what waits behind it."""

    async def scenario(cell: PlatformCell) -> None:
        names = await begin_load(cell, kind, count)
        await wait_until_idle(cell)
        phases = await cell.settle(names, SOON_S)
        assert set(phases.values()) == {'completed'}

    play(scenario, SHAPE)


@pytest.mark.parametrize('count', [14, 40])
def test_gangs_that_wait_for_services_keep_all_workers_idle(count: int) -> None:
    """They fit the pool, but not beside a service that lasts on one worker."""

    async def scenario(cell: PlatformCell) -> None:
        service = step(1, **SOLVE, longRunning=True)
        service_name, _ = await cell.submit('vm-0', job(service), 'solve')
        await asyncio.sleep(1)
        waiting = []
        for _ in range(count):
            body = job(step(MACHINES, **GANG))
            waiting.append((await cell.submit('vm-0', body, 'solve'))[0])
        for number in range(MACHINES - 1):
            busy_ms = int((BUSY_S + 0.7 * number) * 1000)
            long = step(1, **{**SOLVE, 'estimatedMs': busy_ms})
            await cell.submit('vm-0', job(long), 'solve', busy_ms)
        await asyncio.sleep(0.5)
        gang = job(step(MACHINES - 1, **GANG))
        names = [(await cell.submit('vm-0', gang, 'solve', 600))[0]]
        await asyncio.sleep(BUSY_S + 0.7 * MACHINES)
        phases = await cell.settle(names, SOON_S)
        assert set(phases.values()) == {'completed'}
        assert await cell.cancel('vm-0', service_name) == 'ok'
        phases = await cell.settle(waiting, SOON_S + count)
        assert set(phases.values()) == {'completed'}

    play(scenario, SHAPE)


@pytest.mark.parametrize('kind', ['wide', 'gpus', 'label'])
def test_a_gang_waits_although_workers_have_joined(kind: str) -> None:
    """What no worker could hold before starts on those that join."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(HOPELESS[kind]), 'solve', 600)
        await asyncio.sleep(SOON_S)
        assert await cell.state('vm-0', name) == 'queued'
        owner = cell.entries[cell.owner()].handler.owner
        assert all(step.is_hopeless for step in owner.cell.open_steps.values())
        for _ in range(2):
            cell.add_worker(Shape('gpu', 128_000, 524_288, 16, 'nowhere'))
        phases = await cell.settle([name], SOON_S)
        assert set(phases.values()) == {'completed'}

    play(scenario, SHAPE)


def test_a_hopeless_gang_is_looked_at_in_each_cycle() -> None:
    """It costs a check for each change of the workers, and no plan."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(HOPELESS['wide']), 'solve')
        await asyncio.sleep(1)
        owner = cell.entries[cell.owner()].handler.owner
        (waiting,) = owner.cell.open_steps.values()
        plans = (waiting.failed_plans, waiting.replan_ms)
        await asyncio.sleep(SOON_S)
        assert (waiting.failed_plans, waiting.replan_ms) == plans
        assert plans[0] <= 1
        worker = next(iter(cell.workers.values()))
        cell.crash_worker(worker)
        await asyncio.sleep(SOON_S)
        assert waiting.is_hopeless
        assert waiting.failed_plans <= 1
        assert await cell.cancel('vm-0', name) == 'ok'

    play(scenario, SHAPE)
