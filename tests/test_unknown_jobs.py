"""Answer callers who ask for ids that nobody has handed in.

Replays many of them at once. Guards against an owner that uses up the reads that all
VMs have at the store, for jobs that do not exist.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

import pytest

from lycheerelay.serving import Reply
from lycheerelay.serving._shared_call import SharedCall
from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    Request,
    Shape,
    run_virtual,
)
from platform_days import STORE, job, play, step

CALLS: Final = 300
SHAPE: Final = CellShape(workers=(Shape('cpu'),))
Ask = Callable[[PlatformCell, str, str], Coroutine[Any, Any, Any]]


async def ask_state(cell: PlatformCell, vm: str, job_id: str) -> Any:
    """Ask for the state of a job."""
    return await cell.entries[vm].handler.state(job_id, 'batch', 3000)


async def cancel(cell: PlatformCell, vm: str, job_id: str) -> Any:
    """Cancel a job."""
    return await cell.entries[vm].handler.cancel(job_id, 'batch', 3000)


@pytest.mark.parametrize('ask', [ask_state, cancel])
def test_each_unknown_job_is_looked_up_by_a_read_of_its_own(ask: Ask) -> None:
    """Those who ask at the same time share the reads, and the appends."""

    async def scenario(cell: PlatformCell) -> None:
        paths: list[str] = []

        async def handle(request: Request) -> Reply:
            if request.query.get('topic') == 'keyed.jobs':
                paths.append(request.path)
            return await cell.store.handle(request)

        cell.net.listen(STORE, 'store', handle)
        vms = sorted(cell.entries)
        outcomes = await asyncio.gather(
            *(
                ask(cell, vms[number % len(vms)], f'{number:016x}')
                for number in range(CALLS)
            )
        )
        statuses = {outcome.status.value for outcome in outcomes}
        assert statuses == {'no_such_job'}
        assert len(paths) < CALLS / 10

    play(scenario, SHAPE)


def test_a_shared_read_misses_a_job() -> None:
    """A job that was stored before the question is found by the answer."""

    async def scenario(cell: PlatformCell) -> None:
        vms = sorted(cell.entries)

        async def hand_in(number: int) -> None:
            name, _ = await cell.submit(vms[number % 3], job(step(1)))
            phase = await cell.state(vms[(number + 1) % 3], name)
            assert phase != 'no_such_job'

        async def ask(number: int) -> None:
            await asyncio.sleep(number / 1000)
            await ask_state(cell, vms[number % 3], f'{number:016x}')

        await asyncio.gather(*map(hand_in, range(100)), *map(ask, range(CALLS)))

    play(scenario, SHAPE)


def test_a_shared_call_begins_after_each_question() -> None:
    """Who asks during a call waits for the next one, one for all of them."""
    begun: list[float] = []

    async def call() -> bool:
        begun.append(asyncio.get_running_loop().time())
        await asyncio.sleep(1)
        return True

    async def ask(shared: SharedCall, delay_s: float) -> float:
        await asyncio.sleep(delay_s)
        asked_s = asyncio.get_running_loop().time()
        assert await shared.run()
        ended_s = asyncio.get_running_loop().time()
        assert any(asked_s <= begun_s <= ended_s - 1 for begun_s in begun)
        return ended_s

    async def scenario() -> None:
        shared = SharedCall(call)
        await asyncio.gather(*(ask(shared, part / 10) for part in range(15)))
        assert len(begun) == 3

    run_virtual(scenario())


def test_questions_to_an_owner_that_ends_wait_for_ever() -> None:
    """They learn that it cannot tell."""

    async def call() -> bool:
        await asyncio.sleep(60)
        return True

    async def scenario() -> None:
        shared = SharedCall(call)
        asked = [asyncio.create_task(shared.run()) for _ in range(2)]
        await asyncio.sleep(1)
        asked.append(asyncio.create_task(shared.run()))
        await asyncio.sleep(1)
        shared.cancel()
        assert await asyncio.gather(*asked) == [False, False, False]

    run_virtual(scenario())
