"""Cancel jobs whose hand-in the store still has to carry out.

Load: answers of the store are lost, and what was asked of it is executed seconds
later. Callers give up such jobs and cancel them, which is acknowledged.
"""

import asyncio
import json
from collections.abc import Callable
from typing import Final

import pytest

from lycheerelay.platform import decode_job
from lycheerelay.serving import EVERYONE, Identity, Reply
from lycheerelay.serving._credentials import KEYLESS
from lycheerelay.serving._early_cancels import EarlyCancels
from lycheerelay.workflow import WorkflowSpec
from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    Request,
    Shape,
)
from lycheerelay_standins.platform._audit import SubmittedJob
from platform_days import STORE, job, play, step

JOB: Final = '00000000000000f1'
LATE_S: Final = 6
SHAPE: Final = CellShape(workers=(Shape('cpu'),) * 2)
JOBS: Final = 'keyed.jobs'
# Time in which the records of a job that has ended are deleted.
EXPIRY_S: Final = 85


class LateStore:
    """Execute appends that name the job late and without an answer."""

    def __init__(self, cell: PlatformCell, name: str = f'job/{JOB}') -> None:
        """Execute all calls at once at first."""
        self.cell = cell
        self.name = name.encode()
        self.is_late = False
        self.held = 0
        cell.net.listen(STORE, 'store', self.handle)

    async def handle(self, request: Request) -> Reply:
        """Answer a call, or execute it late."""
        is_append = request.path.endswith('/log-append')
        if self.is_late and is_append and self.name in request.body:
            self.held += 1
            await asyncio.sleep(LATE_S)
            self.held -= 1
        return await self.cell.store.handle(request)


def other_vms(cell: PlatformCell) -> tuple[str, str]:
    """Return the two VMs that are not the owner."""
    first, second = sorted(set(cell.entries) - {cell.owner()})
    return first, second


def starts(cell: PlatformCell) -> int:
    """Return how many runs the workers have started."""
    return sum(worker.starts for worker in cell.workers.values())


async def hand_in_late(cell: PlatformCell, vm: str) -> LateStore:
    """Hand in the job; the store executes that later."""
    store = LateStore(cell)
    store.is_late = True
    _, outcome = await cell.submit(vm, job(step(1)), job_id=JOB)
    assert outcome.status.value == 'unknown_outcome'
    store.is_late = False
    assert store.held
    return store


async def kill_and_wait(cell: PlatformCell, *vms: str) -> None:
    """Kill VMs and wait until there is an owner."""
    for vm in vms:
        cell.kill_vm(vm)
    while not cell.owner():
        await asyncio.sleep(0.1)


def kill_nobody(cell: PlatformCell, vm: str) -> tuple[str, ...]:
    """Leave all VMs as they are."""
    return ()


def kill_owner(cell: PlatformCell, vm: str) -> tuple[str, ...]:
    """Name the owner, so that the next one reads the cancellation."""
    return (cell.owner(),)


def kill_submitter(cell: PlatformCell, vm: str) -> tuple[str, ...]:
    """Name the VM that took the hand-in."""
    return (vm,)


def kill_both(cell: PlatformCell, vm: str) -> tuple[str, ...]:
    """Name the owner and the VM that took the hand-in."""
    return (cell.owner(), vm)


Killed = Callable[[PlatformCell, str], tuple[str, ...]]
KILLED: Final = (kill_nobody, kill_owner, kill_submitter, kill_both)


@pytest.mark.parametrize('killed', KILLED)
@pytest.mark.parametrize('is_after', [False, True])
@pytest.mark.parametrize('is_owner', [False, True])
def test_a_late_job_runs_after_its_cancelling_was_acknowledged(
    killed: Killed, is_after: bool, is_owner: bool
) -> None:
    """A 410 has to hold for a hand-in that the store carries out afterwards."""

    async def scenario(cell: PlatformCell) -> None:
        first, second = other_vms(cell)
        if is_owner:
            first = cell.owner()
        store = await hand_in_late(cell, first)
        assert await cell.cancel(second, JOB) == 'no_such_job'
        if is_after:
            await asyncio.sleep(LATE_S)
            assert not store.held
        await kill_and_wait(cell, *set(killed(cell, first)))
        await asyncio.sleep(2 * LATE_S)
        assert await cell.state(second, JOB) == 'cancelled'
        assert starts(cell) == 0

    play(scenario, SHAPE)


def test_a_repeat_runs_after_the_cancelling_was_acknowledged() -> None:
    """A repeated hand-in that arrives later is the job that was cancelled."""

    async def scenario(cell: PlatformCell) -> None:
        first, second = other_vms(cell)
        await hand_in_late(cell, first)
        assert await cell.cancel(second, JOB) == 'no_such_job'
        await asyncio.sleep(1)
        _, again = await cell.submit(first, job(step(1)), job_id=JOB)
        assert again.status.value == 'ok'
        await asyncio.sleep(2 * LATE_S)
        assert await cell.state(second, JOB) == 'cancelled'
        assert starts(cell) == 0

    play(scenario, SHAPE)


def test_a_repeat_moves_a_hand_in_behind_its_cancellation() -> None:
    """An owner that has lost the history reads the newest record of each key."""

    async def scenario(cell: PlatformCell) -> None:
        owner = cell.owner()
        first, second = other_vms(cell)
        readable = asyncio.Event()
        readable.set()

        async def handle(request: Request) -> Reply:
            # The owner gets nothing to read until the history is gone.
            is_read = (
                request.query.get('topic') == JOBS and request.method == 'GET'
            )
            if request.origin == owner and is_read and not readable.is_set():
                return Reply(503)
            return await cell.store.handle(request)

        cell.net.listen(STORE, 'store', handle)
        readable.clear()
        await asyncio.sleep(2)
        await cell.submit(first, job(step(1)), job_id=JOB)
        assert await cell.cancel(second, JOB) == 'ok'
        await cell.submit(first, job(step(1)), job_id=JOB)
        cell.store.put(JOBS, 'job/unreadable', {})
        cell.store.truncate_history(JOBS)
        readable.set()
        await asyncio.sleep(LATE_S)
        assert cell.owner() == owner
        assert await cell.state(second, JOB) == 'cancelled'
        assert starts(cell) == 0

    play(scenario, SHAPE)


def test_a_late_job_runs_although_it_was_cancelled_without_an_owner() -> None:
    """The cancellation is acknowledged by a VM that cannot ask the owner."""

    async def scenario(cell: PlatformCell) -> None:
        first, second = other_vms(cell)
        await hand_in_late(cell, first)

        async def find_no_owner(*_args: object) -> None:
            await asyncio.sleep(0.5)

        cell.entries[second].handler._query_owner = find_no_owner
        assert await cell.cancel(second, JOB) == 'ok'
        await asyncio.sleep(2 * LATE_S)
        assert await cell.state(first, JOB) == 'cancelled'
        assert starts(cell) == 0

    play(scenario, SHAPE)


def test_a_foreign_caller_cancels_a_late_job() -> None:
    """A cancellation counts only if its caller may access the job."""

    async def scenario(cell: PlatformCell) -> None:
        first, _ = other_vms(cell)
        for identity in (
            Identity('bob'),
            KEYLESS,
            KEYLESS._replace(queue='open'),
        ):
            handler = cell.entries[first].handler
            outcome = await handler.cancel(JOB, 'batch', 3000, identity)
            assert outcome.status.value == 'no_such_job'
        # An earlier version stores it under the key of all callers.
        cell.store.put(JOBS, f'cancel/{JOB}', {'tenant': 'bob', 'queue': ''})
        cell.store.put(JOBS, 'cancel/malformed', b'[')
        cell.store.put(JOBS, 'cancel-by/malformed', b'[')
        await asyncio.sleep(1)
        spec = await hand_in(cell, first, 'ada')
        await cell.settle([JOB], LATE_S)
        assert await cell.state(first, JOB) == 'completed'
        assert starts(cell) == spec.steps[0].width

    play(scenario, SHAPE)


CANCELLERS: Final = (Identity('ada'), Identity('bob'))


@pytest.mark.parametrize('identities', [CANCELLERS, CANCELLERS[::-1]])
@pytest.mark.parametrize('is_asked', [False, True])
@pytest.mark.parametrize('is_replaced', [False, True])
@pytest.mark.parametrize('is_after', [False, True])
def test_a_foreign_cancellation_replaces_that_of_the_tenant(
    identities: tuple[Identity, ...],
    is_asked: bool,
    is_replaced: bool,
    is_after: bool,
) -> None:
    """A job runs although its tenant has cancelled it, as another tenant did after."""

    async def scenario(cell: PlatformCell) -> None:
        first, second = other_vms(cell)

        async def find_no_owner(*_args: object) -> None:
            await asyncio.sleep(0.5)

        if not is_asked:
            cell.entries[first].handler._query_owner = find_no_owner
        for identity in identities:
            handler = cell.entries[first].handler
            outcome = await handler.cancel(JOB, 'batch', 3000, identity)
            assert outcome.status.value in {'no_such_job', 'ok'}
        if is_after:
            await hand_in(cell, second, 'ada', is_cancelled=True)
        if is_replaced:
            await kill_and_wait(cell, cell.owner())
        if not is_after:
            vm = next(iter(cell.entries))
            await hand_in(cell, vm, 'ada', is_cancelled=True)
        await asyncio.sleep(LATE_S)
        assert await cell.state(cell.owner(), JOB) == 'cancelled'
        assert starts(cell) == 0
        await asyncio.sleep(EXPIRY_S)
        assert not cell.store.partition(JOBS).newest
        assert not cell.entries[cell.owner()].handler.owner.expiry.early.count

    play(scenario, SHAPE._replace(status_ms=5000))


async def hand_in(
    cell: PlatformCell, vm: str, tenant: str, *, is_cancelled: bool = False
) -> WorkflowSpec:
    """Hand in the job as a caller of a tenant."""
    body = job(step(1))
    policy = cell.entries[vm].config.table.queues[0].policy
    now_ms = cell.now_ms()
    raw = json.dumps(body).encode()
    spec: WorkflowSpec = decode_job(raw, JOB, policy, now_ms, tenant).unwrap()
    cell.audit.jobs[JOB] = SubmittedJob(
        body, policy.pool, 3, accepted=True, cancel_asked=is_cancelled
    )
    outcome = await cell.entries[vm].handler.submit(spec, 3000)
    assert outcome.status.value == 'ok'
    return spec


def metric(cell: PlatformCell, name: str) -> int:
    """Return a metric of the owner."""
    text = cell.entries[cell.owner()].render_metrics()
    (line,) = (
        line
        for line in text.splitlines()
        if line.startswith(f'lycheerelay_{name}')
    )
    return int(float(line.rsplit(' ', 1)[1]))


def test_a_late_job_runs_as_its_cancellation_is_about_to_be_deleted() -> None:
    """The store executes the hand-in just before the deletion, which then fails."""

    async def scenario(cell: PlatformCell) -> None:
        first, second = other_vms(cell)
        assert await cancel(cell, first, int(JOB, 16)) == 'no_such_job'
        await asyncio.sleep(EXPIRY_S / 2)
        is_handed_in = False

        async def handle(request: Request) -> Reply:
            nonlocal is_handed_in
            if 'at' in request.query and not is_handed_in:
                is_handed_in = True
                await hand_in(cell, second, '', is_cancelled=True)
            return await cell.store.handle(request)

        cell.net.listen(STORE, 'store', handle)
        await asyncio.sleep(EXPIRY_S / 2)
        assert is_handed_in
        assert await cell.state(first, JOB) == 'cancelled'
        await kill_and_wait(cell, cell.owner())
        await asyncio.sleep(LATE_S)
        assert await cell.state(cell.owner(), JOB) == 'cancelled'
        assert starts(cell) == 0
        await asyncio.sleep(EXPIRY_S)
        assert not cell.store.partition(JOBS).newest

    play(scenario, SHAPE._replace(status_ms=5000))


def test_cancellations_without_a_job_are_dropped_in_time() -> None:
    """They leave nothing in the store or the owner, also after a takeover."""

    async def scenario(cell: PlatformCell) -> None:
        first, second = other_vms(cell)
        for number in range(20):
            assert await cancel(cell, first, number) == 'no_such_job'
        await asyncio.sleep(11)
        assert metric(cell, 'early_cancels') == 20
        await kill_and_wait(cell, cell.owner())
        await asyncio.sleep(11)
        assert metric(cell, 'early_cancels') == 20
        await asyncio.sleep(80)
        assert metric(cell, 'early_cancels') == 0
        assert not cell.store.partition(JOBS).newest
        _, again = await cell.submit(second, job(step(1)), job_id=f'{1:016x}')
        assert again.status.value == 'ok'
        assert await cell.settle([f'{1:016x}'], LATE_S) == {
            f'{1:016x}': 'completed'
        }

    play(scenario, SHAPE._replace(status_ms=5000))


async def cancel(cell: PlatformCell, vm: str, number: int) -> str:
    """Cancel a job that nobody has handed in; return the status."""
    handler = cell.entries[vm].handler
    outcome = await handler.cancel(f'{number:016x}', 'batch', 3000)
    return outcome.status.value


def test_cancellations_without_a_job_are_bounded() -> None:
    """Over the bound they are refused at once; jobs can still be cancelled."""

    async def scenario(cell: PlatformCell) -> None:
        first, second = other_vms(cell)
        owner = cell.entries[cell.owner()].handler.owner
        owner.expiry.early.max_cancels = 10
        statuses = await asyncio.gather(
            *(cancel(cell, first, number) for number in range(30))
        )
        assert statuses.count('no_such_job') == 10
        assert statuses.count('too_many_cancels') == 20
        before = cell.store.appends[JOBS]
        assert await cancel(cell, second, 40) == 'too_many_cancels'
        assert cell.store.appends[JOBS] == before
        assert await cancel(cell, second, statuses.index('no_such_job')) == (
            'no_such_job'
        )
        name, _ = await cell.submit(second, job(step(1)), work_ms=60_000)
        assert await cell.cancel(first, name) == 'ok'
        await asyncio.sleep(1)
        assert await cell.state(second, name) == 'cancelled'

    play(scenario, SHAPE)


def test_one_tenant_keeps_others_from_cancelling() -> None:
    """Each tenant has a part of the room; callers without one have the rest."""
    early = EarlyCancels(20)
    bob, ada = Identity('bob'), Identity('ada')
    admitted = [
        early.admit(f'{number}', f'cancel/{number}', bob, 0)
        for number in range(20)
    ]
    assert admitted.count(True) == 5
    assert early.admit('a', 'cancel/a', ada, 0)
    assert early.admit('b', 'cancel/b', EVERYONE, 0)
    # Those that were admitted and never read leave room again.
    assert early.admit('c', 'cancel/c', bob, 10_000)
    assert early.count == 1


def test_a_replaced_cancellation_takes_no_further_room() -> None:
    """Its record replaces the one before, so that the count stays."""
    early = EarlyCancels(1)
    for now_ms in range(3):
        assert early.admit('a', 'cancel/a', EVERYONE, now_ms)
        early.note('a', 'cancel/a', EVERYONE, now_ms)
    assert early.count == 1
    assert not early.admit('b', 'cancel/b', EVERYONE, 3)
    assert not tuple(early.read_before(2))
    assert tuple(early.read_before(3)) == (('a', 'cancel/a'),)
    early.forget('a', 'cancel/a')
    early.forget('a', 'cancel/a')
    assert (early.count, early.by_job, early.admissions) == (0, {}, {})


@pytest.mark.parametrize('is_owner', [False, True])
def test_a_cancelling_behind_a_lost_append_is_refused(is_owner: bool) -> None:
    """It is stored once the VM may append again, while its caller waits."""

    async def scenario(cell: PlatformCell) -> None:
        first, second = other_vms(cell)
        await hand_in_late(cell, first)
        # The owner has tried the append as well, and waits for its answer.
        vm = cell.owner() if is_owner else first
        assert await cell.cancel(vm, JOB) == 'no_such_job'
        await asyncio.sleep(2 * LATE_S)
        assert await cell.state(second, JOB) == 'cancelled'
        assert starts(cell) == 0

    play(scenario, SHAPE)


def test_a_cancelling_is_held_while_the_store_is_away() -> None:
    """It is refused once the owner was asked, not at its deadline of 3 s."""

    async def scenario(cell: PlatformCell) -> None:
        first, _ = other_vms(cell)
        name, _ = await cell.submit(first, job(step(1)), work_ms=60_000)
        cell.net.refusing.add(('*', STORE))
        await asyncio.sleep(2)
        begun_ms = cell.now_ms()
        assert await cell.cancel(first, name) == 'refused'
        assert cell.now_ms() - begun_ms < 1600
        cell.net.refusing.clear()
        await asyncio.sleep(3)
        assert await cell.cancel(first, name) == 'ok'

    play(scenario, SHAPE)
