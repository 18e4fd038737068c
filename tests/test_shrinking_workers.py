"""Test workers whose capacity shrinks and grows again while they run.

Guards against starts that bring a worker over the capacity that it reports.
"""

import asyncio

import pytest

from lycheerelay.serving import Reply
from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    Request,
    Shape,
)
from platform_days import STORE, job, play, step

CELL = CellShape(workers=(Shape('cpu', 8000),) * 4, seed=11)
SMALL = Shape('cpu', 2000)
LARGE = Shape('cpu', 8000)


def _resize(cell: PlatformCell, shape: Shape) -> None:
    for worker in cell.workers.values():
        worker.resize(shape)


async def _submit_load(
    cell: PlatformCell, count: int, work_ms: int = 500
) -> list[str]:
    names = []
    for _ in range(count):
        vm = sorted(cell.entries)[0]
        name, _ = await cell.submit(vm, job(step(6)), work_ms=work_ms)
        names.append(name)
        await asyncio.sleep(0.2)
    return names


def _cores_in_use(cell: PlatformCell) -> list[int]:
    return [len(worker.runs) * 1000 for worker in cell.workers.values()]


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_no_start_exceeds_a_shrunk_capacity(seed: int) -> None:
    """What runs goes on, and the whole capacity is used once it is back."""

    async def scenario(cell: PlatformCell) -> None:
        names = await _submit_load(cell, 10, 3000)
        _resize(cell, SMALL)
        names += await _submit_load(cell, 40)
        await asyncio.sleep(5)
        assert max(_cores_in_use(cell)) <= 2000
        _resize(cell, LARGE)
        await asyncio.sleep(3)
        names += await _submit_load(cell, 10, 2000)
        assert max(_cores_in_use(cell)) > 2000
        assert set((await cell.settle(names, 60)).values()) == {'completed'}
        assert {len(runs) for runs in cell.audit.runs.values()} == {1}

    play(scenario, CELL._replace(seed=seed))


def test_runs_that_are_being_stopped_count_until_their_end() -> None:
    """A worker that shrank has no room for others before they are gone."""

    async def scenario(cell: PlatformCell) -> None:
        for worker in cell.workers.values():
            worker.stop_duration_s = 0.9
        lasting, _ = await cell.submit(
            'vm-0', job(step(32, longRunning=True)), work_ms=500
        )
        await asyncio.sleep(1)
        assert sum(_cores_in_use(cell)) == 32_000
        names = await _submit_load(cell, 3)
        _resize(cell, SMALL)
        await asyncio.sleep(7)
        assert await cell.cancel('vm-0', lasting) == 'ok'
        names += await _submit_load(cell, 10)
        assert set((await cell.settle(names, 60)).values()) == {'completed'}

    play(scenario, CELL)


def test_starts_that_wait_for_their_record_respect_a_shrunk_capacity() -> None:
    """A decision is not carried out on capacity that is gone meanwhile."""

    async def scenario(cell: PlatformCell) -> None:
        is_held = True

        async def refuse_progress(request: Request) -> Reply:
            topic = request.query.get('topic', '')
            if is_held and 'append' in request.path and 'progress' in topic:
                return Reply(503)
            return await cell.store.handle(request)

        cell.net.listen(STORE, 'store', refuse_progress)
        names = await _submit_load(cell, 2, 3000)
        _resize(cell, SMALL)
        await asyncio.sleep(7)
        assert cell.audit.runs == {}
        is_held = False
        assert set((await cell.settle(names, 40)).values()) == {'completed'}

    play(scenario, CELL)
