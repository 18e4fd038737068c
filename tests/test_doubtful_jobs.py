"""Answer callers whose hand-in the store may still execute.

Load: the store loses the answer to a hand-in and executes it seconds later, while
the caller asks again at another VM, which refuses new jobs.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

import pytest

from lycheerelay.platform._ingress import HTTP_STATUSES
from lycheerelay.serving import (
    EVERYONE,
    Identity,
    Reply,
    RequestResult,
    RequestStatus,
)
from lycheerelay.serving._append_route import AppendRoute
from lycheerelay.serving._doubtful_jobs import DOUBT_MS, DoubtfulJobs
from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    Request,
    Shape,
    run_virtual,
)
from lycheerelay_standins.platform._virtual_time import LoopClock
from platform_days import STORE, job, play, step

JOB: Final = '00000000000000f1'
LATE_S: Final = 6
SHAPE: Final = CellShape(workers=(Shape('cpu'),) * 2)
NEVER_RUNS: Final = (429, 503)
UNKNOWN: Final = RequestStatus.UNKNOWN_OUTCOME
Ask = Callable[[PlatformCell, str], Coroutine[Any, Any, RequestResult]]


def other_vms(cell: PlatformCell) -> tuple[str, str]:
    """Return the two VMs that are not the owner."""
    first, second = sorted(set(cell.entries) - {cell.owner()})
    return first, second


async def hand_in_late(cell: PlatformCell, vm: str) -> None:
    """Hand in the job; the store executes that later, and other calls at once."""
    is_late = True

    async def handle(request: Request) -> Reply:
        is_append = request.path.endswith('/log-append')
        if is_late and is_append and f'job/{JOB}'.encode() in request.body:
            await asyncio.sleep(LATE_S)
        return await cell.store.handle(request)

    cell.net.listen(STORE, 'store', handle)
    _, outcome = await cell.submit(vm, job(step(1)), job_id=JOB)
    assert outcome.status is UNKNOWN
    is_late = False
    # The VM tells the owner.
    await asyncio.sleep(0.5)


async def submit_too_late(cell: PlatformCell, vm: str) -> RequestResult:
    """Repeat the hand-in at a VM that predicts the job to be too late."""
    handler = cell.entries[vm].handler
    refusal = RequestResult(RequestStatus.TOO_LATE, retry_after_s=2)
    handler._find_refusal = lambda _spec: refusal
    return (await cell.submit(vm, job(step(1)), job_id=JOB))[1]


async def submit_to_busy_vm(cell: PlatformCell, vm: str) -> RequestResult:
    """Repeat the hand-in at a VM that cannot decode it in time."""
    return await cell.entries[vm].handler.refuse_busy(JOB, 'batch')


async def submit_without_store(cell: PlatformCell, vm: str) -> RequestResult:
    """Repeat the hand-in at a VM that the store turns away."""
    cell.net.refusing.add((vm, STORE))
    cell.entries[vm].handler.appends.router.routes = lambda _is_owner: ()
    outcome = (await cell.submit(vm, job(step(1)), job_id=JOB))[1]
    cell.net.refusing.clear()
    return outcome


async def ask_state(cell: PlatformCell, vm: str) -> RequestResult:
    """Ask for the state of the job."""
    return await cell.entries[vm].handler.state(JOB, 'batch', 3000)


ASKS: Final = (
    submit_too_late,
    submit_to_busy_vm,
    submit_without_store,
    ask_state,
)


@pytest.mark.parametrize('ask', ASKS)
@pytest.mark.parametrize('where', ['same', 'other', 'owner'])
def test_a_job_is_refused_for_good_before_the_store_executes_its_hand_in(
    ask: Ask, where: str
) -> None:
    """The caller is not told that the job does not exist or never runs."""

    async def scenario(cell: PlatformCell) -> None:
        first, second = other_vms(cell)
        await hand_in_late(cell, first)
        vm = {'same': first, 'other': second, 'owner': cell.owner()}[where]
        outcome = await ask(cell, vm)
        assert HTTP_STATUSES[outcome.status] not in NEVER_RUNS
        assert outcome.status is UNKNOWN
        await asyncio.sleep(2 * LATE_S)
        assert await cell.state(second, JOB) == 'completed'

    play(scenario, SHAPE)


async def wait_for_owner(cell: PlatformCell) -> None:
    """Wait until there is an owner."""
    while not cell.owner():
        await asyncio.sleep(0.1)


def test_another_owner_refuses_a_doubtful_job() -> None:
    """The VM of the hand-in reports it to the next owner as well."""

    async def scenario(cell: PlatformCell) -> None:
        first, second = other_vms(cell)
        await hand_in_late(cell, first)
        cell.kill_vm(cell.owner())
        await wait_for_owner(cell)
        await asyncio.sleep(1)
        outcome = await submit_to_busy_vm(cell, second)
        assert outcome.status is not RequestStatus.BUSY

    play(scenario, SHAPE)


def test_a_doubtful_job_is_refused_after_a_report_was_lost() -> None:
    """A report without an answer is repeated."""

    async def scenario(cell: PlatformCell) -> None:
        first, second = other_vms(cell)
        owner = cell.owner()
        cell.net.cuts.add((first, owner))
        # The owner is not asked by the VM that is cut off.
        cell.entries[first].handler.appends.router.routes = lambda _: (
            AppendRoute.DIRECT,
        )
        await hand_in_late(cell, first)
        assert not cell.entries[owner].handler.doubts.held
        cell.net.cuts.clear()
        await asyncio.sleep(2)
        outcome = await submit_to_busy_vm(cell, second)
        assert outcome.status is UNKNOWN

    play(scenario, SHAPE)


def test_refusals_stay_doubtful_for_ever() -> None:
    """New jobs are refused at once, and doubtful ones after some time."""

    async def scenario(cell: PlatformCell) -> None:
        first, second = other_vms(cell)
        handler = cell.entries[second].handler
        outcome = await handler.refuse_busy('e' * 16, 'batch')
        assert outcome.status is RequestStatus.BUSY
        for vm in (first, second, cell.owner()):
            cell.entries[vm].handler.doubts.note('d' * 16, EVERYONE)
        outcome = await handler.refuse_busy('d' * 16, 'batch')
        assert outcome.status is UNKNOWN
        await asyncio.sleep(DOUBT_MS / 1000 + 1)
        outcome = await handler.refuse_busy('d' * 16, 'batch')
        assert outcome.status is RequestStatus.BUSY

    play(scenario, SHAPE)


def test_a_malformed_report_is_refused() -> None:
    """It leaves nothing behind."""

    async def scenario(cell: PlatformCell) -> None:
        entry = cell.entries[cell.owner()]
        for body in (b'{}', b'{"jobs": 1}', b'{"jobs": [["a", "", "x"]]}'):
            reply = await entry.internal.answer('/doubts', body)
            assert reply.status == 400
        assert not entry.handler.doubts.held

    play(scenario, SHAPE)


def test_doubtful_jobs_take_more_and_more_memory() -> None:
    """The oldest give way, and those whose time is over."""
    clock = LoopClock(0)

    async def scenario() -> None:
        doubts = DoubtfulJobs(clock, 3)
        for number in range(5):
            doubts.note(f'{number}', EVERYONE)
        assert tuple(doubts.held) == ('2', '3', '4')
        rows = doubts.untold_rows(2)
        assert [row[0] for row in rows] == ['2', '3']
        doubts.mark_told(rows)
        assert [row[0] for row in doubts.untold_rows(2)] == ['4']
        doubts.retell()
        assert len(doubts.untold_rows(9)) == 3
        await asyncio.sleep(DOUBT_MS / 1000)
        assert doubts.untold_rows(9) == []
        assert not doubts.untold
        doubts.receive([('5', '', 10 * DOUBT_MS)])
        assert tuple(doubts.held) == ('5',)
        assert doubts.remaining_ms('5', EVERYONE) == DOUBT_MS

    run_virtual(scenario())


def test_a_tenant_learns_of_a_doubtful_job_of_another() -> None:
    """Its own job of that id is refused as any other."""

    async def scenario() -> None:
        doubts = DoubtfulJobs(LoopClock(0))
        doubts.note('a', Identity('ada'))
        doubts.note('b', EVERYONE)
        assert doubts.remaining_ms('a', Identity('ada'))
        assert doubts.remaining_ms('a', EVERYONE)
        assert not doubts.remaining_ms('a', Identity('bob'))
        assert doubts.remaining_ms('b', Identity('bob'))
        assert not doubts.remaining_ms('c', EVERYONE)

    run_virtual(scenario())
