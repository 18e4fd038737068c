"""Test workers that start again under the ids that they had.

Guards against tasks that run again because an end, an order or a clock of the
process before was taken for one of the process after.
"""

import asyncio
from typing import Any

import pytest

from lycheerelay.serving import Reply
from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    Request,
    Shape,
    WorkerStandIn,
)
from platform_days import STORE, job, play, step

CELL = CellShape(workers=(Shape('cpu', 8000),) * 2, seed=3)
# The clock of a restarted worker may be behind or ahead of the one before.
CLOCKS_MS = pytest.mark.parametrize('clock_ms', [1, 40_000_000])


async def _run_for_long(cell: PlatformCell) -> None:
    for worker in cell.workers.values():
        worker.clock_offset_ms = 20_000_000
    await _complete_jobs(cell, 5)


async def _complete_jobs(cell: PlatformCell, count: int) -> None:
    names = []
    for _ in range(count):
        name, _ = await cell.submit('vm-0', job(step(6)), work_ms=300)
        names.append(name)
        await asyncio.sleep(0.2)
    assert set((await cell.settle(names, 20)).values()) == {'completed'}


async def _restart(
    cell: PlatformCell, worker: WorkerStandIn, clock_ms: int, pause_s: float
) -> WorkerStandIn:
    cell.crash_worker(worker)
    await asyncio.sleep(pause_s)
    return cell.restart_worker(worker, clock_ms)


@CLOCKS_MS
@pytest.mark.parametrize('pause_s', [0.05, 0.5, 3])
def test_no_task_runs_again_after_its_worker_restarted(
    clock_ms: int, pause_s: float
) -> None:
    """Ends are numbered from 1 again and must not look handled."""

    async def scenario(cell: PlatformCell) -> None:
        await _run_for_long(cell)
        for worker in list(cell.workers.values()):
            await _restart(cell, worker, clock_ms, pause_s)
        await _complete_jobs(cell, 5)
        assert cell.audit.broken == []
        assert {len(runs) for runs in cell.audit.runs.values()} == {1}

    play(scenario, CELL)


@CLOCKS_MS
def test_a_restarted_worker_is_used_again(clock_ms: int) -> None:
    """The owner listens to its clock, and fills it like the others."""

    async def scenario(cell: PlatformCell) -> None:
        await _run_for_long(cell)
        worker = await _restart(cell, cell.workers['w-1'], clock_ms, 0.5)
        await asyncio.sleep(2)
        width = 8 * len(cell.workers)
        name, _ = await cell.submit('vm-0', job(step(width)), work_ms=2000)
        await asyncio.sleep(1)
        assert len(worker.runs) == 8
        assert await cell.settle([name], 4) == {name: 'completed'}

    play(scenario, CELL._replace(workers=CELL.workers * 2))


@CLOCKS_MS
def test_runs_of_a_restarted_worker_start_elsewhere_once(
    clock_ms: int,
) -> None:
    """What ran there before is gone and runs again without a lease to wait."""

    async def scenario(cell: PlatformCell) -> None:
        await _run_for_long(cell)
        name, _ = await cell.submit('vm-0', job(step(8)), work_ms=2000)
        await asyncio.sleep(1)
        worker = cell.workers['w-1']
        assert worker.runs
        await _restart(cell, worker, clock_ms, 0.3)
        assert await cell.settle([name], 6) == {name: 'completed'}

    play(scenario, CELL)


def test_no_end_is_acknowledged_unseen_after_a_restart() -> None:
    """A poll for the process before may be the first that the new one gets."""

    async def scenario(cell: PlatformCell) -> None:
        await _run_for_long(cell)
        # Its answers tell of the restart before its registration does.
        cell.net.cuts.add(('w-1', STORE))
        worker = await _restart(cell, cell.workers['w-1'], 1, 0.05)
        width = 8 * len(cell.workers)
        name, _ = await cell.submit('vm-0', job(step(width)), work_ms=150)
        assert await cell.settle([name], 10) == {name: 'completed'}
        assert worker.starts

    play(scenario, CELL._replace(workers=CELL.workers * 2))


def test_a_restarted_worker_is_known_without_its_start_time() -> None:
    """Registrations without it, as older workers write them, still hold."""

    async def scenario(cell: PlatformCell) -> None:
        put = cell.store.put

        def put_without_start_time(
            topic: str, key: str, fields: dict[str, Any]
        ) -> None:
            put(topic, key, {**fields, 'born': None})

        cell.store.put = put_without_start_time  # type: ignore[method-assign]
        await asyncio.sleep(2)
        await _run_for_long(cell)
        worker = await _restart(cell, cell.workers['w-1'], 1, 0.5)
        await asyncio.sleep(2)
        name, _ = await cell.submit('vm-0', job(step(16)), work_ms=1000)
        await asyncio.sleep(0.5)
        assert len(worker.runs) == 8
        assert await cell.settle([name], 4) == {name: 'completed'}

    play(scenario, CELL)


@CLOCKS_MS
def test_a_successor_knows_only_the_restarted_worker(clock_ms: int) -> None:
    """The record names workers by id; the one that answers is meant."""

    async def scenario(cell: PlatformCell) -> None:
        await _run_for_long(cell)
        name, _ = await cell.submit('vm-0', job(step(12)), work_ms=1500)
        await asyncio.sleep(0.5)
        owner = cell.owner()
        await _restart(cell, cell.workers['w-2'], clock_ms, 0.3)
        cell.kill_vm(owner)
        vm = sorted(cell.entries)[0]
        assert await cell.settle([name], 12) == {name: 'completed'}
        again, _ = await cell.submit(vm, job(step(12)), work_ms=300)
        assert await cell.settle([again], 4) == {again: 'completed'}

    play(scenario, CELL)


def test_a_start_to_an_unknown_restarted_worker_runs_once() -> None:
    """An order without an answer may have reached either instance."""

    async def scenario(cell: PlatformCell) -> None:
        await _run_for_long(cell)
        for worker_id in ('w-1', 'w-2', 'w-1', 'w-2'):
            worker = cell.workers[worker_id]
            cell.net.broken[cell.addresses[worker_id]] = 0.5
            names = []
            for _ in range(4):
                name, _ = await cell.submit('vm-0', job(step(4)), work_ms=400)
                names.append(name)
            await _restart(cell, worker, 1, 0.01)
            await asyncio.sleep(0.5)
            cell.net.broken.clear()
            states = set((await cell.settle(names, 20)).values())
            assert states == {'completed'}

    play(scenario, CELL)


def test_a_worker_that_tells_an_ended_instance_is_polled_slowly() -> None:
    """Its answers are of no use, and polls must not follow at once."""

    async def scenario(cell: PlatformCell) -> None:
        await _run_for_long(cell)
        worker = await _restart(cell, cell.workers['w-1'], 1, 0.5)
        await _complete_jobs(cell, 2)
        worker.born_ms -= 60_000
        await _complete_jobs(cell, 2)
        name, _ = await cell.submit('vm-0', job(step(16)), work_ms=500)
        await asyncio.sleep(0.3)
        assert worker.runs
        worker.born_ms += 60_000
        await asyncio.sleep(1)
        assert worker.ended
        polls = 0
        handle = worker.handle

        async def count(request: Request) -> Reply:
            nonlocal polls
            polls += request.path.endswith('/hold')
            return await handle(request)

        cell.net.listen(cell.addresses['w-1'], 'w-1', count)
        await asyncio.sleep(2)
        assert polls <= 10
        cell.crash_worker(worker)
        assert await cell.settle([name], 20) == {name: 'completed'}

    play(scenario, CELL)
