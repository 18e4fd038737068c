"""Test jobs that fail wherever they run, beside sound ones.

Guards against sound jobs that wait beside idle workers, because all of the workers
that could run them are barred for the failures of other jobs.
"""

import asyncio
from typing import Any

import pytest

from lycheerelay_standins.platform import CellShape, PlatformCell, Shape
from platform_days import job, play, step

MAX_WAIT_MS = 3000
SMALL = CellShape(workers=(Shape('cpu'),) * 4, vms=2)
LABELLED = SMALL._replace(
    workers=(Shape('cpu', rack='r9'),) * 3 + (Shape('cpu'),) * 9
)
SEEDS = pytest.mark.parametrize('seed', [1, 2, 3])
LASTS = pytest.mark.parametrize('lasts', [False, True])


async def _submit_failing(
    cell: PlatformCell, count: int, **fields: Any
) -> list[str]:
    names = []
    for _ in range(count):
        name, _ = await cell.submit(
            'vm-0',
            job(step(2, **fields)),
            work_ms=100,
            failing={'0.0', '0.1'},
        )
        names.append(name)
        await asyncio.sleep(cell.rng.uniform(0, 0.1))
    return names


async def _longest_wait_ms(cell: PlatformCell, **fields: Any) -> int:
    """Submit jobs that can be done; return the longest time to a start."""
    given_ms = {}
    for _ in range(16):
        now_ms = cell.now_ms()
        name, _ = await cell.submit('vm-1', job(step(**fields)), work_ms=300)
        given_ms[name] = now_ms
        await asyncio.sleep(0.3)
    await asyncio.sleep(8)
    waits = [
        _first_start_ms(cell, name) - from_ms
        for name, from_ms in given_ms.items()
    ]
    return max(waits)


def _first_start_ms(cell: PlatformCell, name: str) -> int:
    return min(
        (
            run.started_ms
            for task, runs in cell.audit.runs.items()
            if task.startswith(name)
            for run in runs
        ),
        default=cell.now_ms(),
    )


@LASTS
@SEEDS
@pytest.mark.parametrize('count', [8, 24, 48])
def test_sound_jobs_start_beside_jobs_that_cannot_be_done(
    count: int, seed: int, lasts: bool
) -> None:
    """Nothing else runs, so that no success tells workers from jobs."""

    async def scenario(cell: PlatformCell) -> None:
        failing = await _submit_failing(cell, count)
        assert await _longest_wait_ms(cell, longRunning=lasts) < MAX_WAIT_MS
        phases = await cell.settle(failing, 20)
        assert set(phases.values()) == {'failed'}

    play(scenario, SMALL._replace(seed=seed))


@LASTS
@SEEDS
def test_sound_jobs_start_on_barred_workers_if_no_other_can_run_them(
    seed: int, lasts: bool
) -> None:
    """The only workers with the label are barred."""

    async def scenario(cell: PlatformCell) -> None:
        await _submit_failing(cell, 12, requirements='r9')
        wait_ms = await _longest_wait_ms(
            cell, requirements='r9', longRunning=lasts
        )
        assert wait_ms < MAX_WAIT_MS

    play(scenario, LABELLED._replace(seed=seed))


@SEEDS
def test_sound_jobs_start_on_barred_workers_if_all_others_are_full(
    seed: int,
) -> None:
    """A task that lasts fills the one worker that is not barred."""

    async def scenario(cell: PlatformCell) -> None:
        whole = {'requirements': 'r9', 'cpu': 16000, 'count': 1}
        await cell.submit('vm-0', job(step(longRunning=True, **whole)))
        await asyncio.sleep(1)
        await _submit_failing(cell, 12, requirements='r9')
        assert await _longest_wait_ms(cell, **whole) < MAX_WAIT_MS

    more = (*LABELLED.workers, Shape('cpu', rack='r9'))
    play(scenario, LABELLED._replace(seed=seed, workers=more))


@SEEDS
def test_a_worker_that_fails_every_run_is_avoided_beside_failing_jobs(
    seed: int,
) -> None:
    """Its failures are told from those of the jobs, and use up no attempts."""

    async def scenario(cell: PlatformCell) -> None:
        next(iter(cell.workers.values())).fails = True
        names = []
        for _ in range(20):
            await _submit_failing(cell, 1)
            name, _ = await cell.submit('vm-1', job(step(3)))
            names.append(name)
        phases = await cell.settle(names, 20)
        assert set(phases.values()) == {'completed'}

    play(scenario, LABELLED._replace(seed=seed))
