"""Delete the records of jobs that are long over, whatever happens meanwhile."""

import asyncio
import json
from collections.abc import Callable
from typing import Any, Final

import pytest

from lycheerelay.serving import NO_ANSWER, Reply
from lycheerelay_standins.platform import CellShape, PlatformCell, Shape
from platform_days import job, play, step

STATUS_MS: Final = 5000
# Time in which the records of a job that has ended are deleted.
EXPIRY_S: Final = 85
SHAPE: Final = CellShape(
    workers=(Shape('cpu'),) * 4, status_ms=STATUS_MS, lease_ms=2000
)
JOBS: Final = 'keyed.jobs'
PROGRESS: Final = 'keyed.progress'


def records(cell: PlatformCell) -> list[str]:
    """Return the keys of all records of jobs in the store."""
    of_lists = {'workers', 'instances', 'silent_workers', 'answered_workers'}
    of_cell = of_lists | {'fence', 'term', 'judged'}
    return [
        key
        for topic in (JOBS, PROGRESS)
        for key in cell.store.partition(topic).newest
        if key not in of_cell
    ]


def starts(cell: PlatformCell) -> int:
    """Return how many runs the workers have started."""
    return sum(worker.starts for worker in cell.workers.values())


async def complete(cell: PlatformCell, count: int = 3) -> list[str]:
    """Complete some jobs of two tasks and cancel another one."""
    names = [(await cell.submit('vm-0', job(step(2))))[0] for _ in range(count)]
    phases = await cell.settle(names, 20)
    assert set(phases.values()) == {'completed'}
    lasting, _ = await cell.submit('vm-0', job(step(1)), work_ms=60_000)
    await asyncio.sleep(1)
    assert await cell.cancel('vm-0', lasting) == 'ok'
    await asyncio.sleep(1)
    return [*names, lasting]


async def replace_owner(cell: PlatformCell) -> None:
    """Kill the owner and wait for the next one."""
    before = cell.owner()
    if before:
        cell.kill_vm(before)
    await asyncio.sleep(5)
    assert cell.owner() not in {'', before}


def on_deletion(
    cell: PlatformCell, topic: str, act: Callable[[Any, Any], Any]
) -> list[int]:
    """Let `act` answer the first append to a topic that deletes a job's record.

    It gets the handler of the store and the request.
    """
    handle = cell.store.handle
    seen: list[int] = []

    async def answer(request: Any) -> Reply:
        is_append = request.path.endswith('append')
        if is_append and request.query['topic'] == topic and not seen:
            before = set(cell.store.partition(topic).newest)
            if any(
                len(content) == content[0] + 1
                and content[1:].decode() in before
                for content in split(request.body)
            ):
                seen.append(1)
                reply: Reply = await act(handle, request)
                return reply
        return await handle(request)

    cell.net.handlers['10.9.0.1:80'] = answer
    return seen


def split(body: bytes) -> list[bytes]:
    """Return the contents of the records in the body of an append."""
    found = []
    while body:
        size = 4 + int.from_bytes(body[:4], 'big')
        found.append(body[4:size])
        body = body[size:]
    return found


def test_expired_jobs_leave_no_record_and_are_not_run_again() -> None:
    """The next owner finds nothing of a job that is long over."""

    async def scenario(cell: PlatformCell) -> None:
        await complete(cell)
        assert len(records(cell)) == 9
        before = starts(cell)
        await asyncio.sleep(EXPIRY_S)
        assert records(cell) == []
        await replace_owner(cell)
        assert starts(cell) == before

    play(scenario, SHAPE)


@pytest.mark.parametrize('topic', [JOBS, PROGRESS])
@pytest.mark.parametrize(
    'how', ['killed', 'refused', 'lost', 'late', 'compacted']
)
def test_no_point_between_two_deletions_is_unsafe(topic: str, how: str) -> None:
    """A deletion fails or its owner dies; no task starts again."""

    async def scenario(cell: PlatformCell) -> None:
        names = await complete(cell)
        before = starts(cell)

        async def act(handle: Any, request: Any) -> Reply:
            if how == 'refused':
                return Reply(503)
            if how == 'late':
                asyncio.get_running_loop().call_later(
                    4, lambda: asyncio.ensure_future(handle(request))
                )
                return Reply(NO_ANSWER)
            reply: Reply = await handle(request)
            if how == 'compacted':
                for name in list(cell.store.topics):
                    cell.store.truncate_history(name)
            if how == 'killed':
                asyncio.get_running_loop().call_soon(cell.kill_vm, cell.owner())
            return reply if how == 'compacted' else Reply(NO_ANSWER)

        seen = on_deletion(cell, topic, act)
        await asyncio.sleep(EXPIRY_S)
        assert seen
        await replace_owner(cell)
        assert starts(cell) == before
        await asyncio.sleep(EXPIRY_S)
        await replace_owner_again(cell)
        assert records(cell) == []
        assert starts(cell) == before
        assert await cell.state(cell.owner(), names[0]) == 'no_such_job'

    play(scenario, SHAPE)


async def replace_owner_again(cell: PlatformCell) -> None:
    """Start the killed VMs and replace the owner."""
    for number in range(3):
        if f'vm-{number}' not in cell.entries:
            cell.start_vm(f'vm-{number}')
    await asyncio.sleep(2)
    await replace_owner(cell)


@pytest.mark.parametrize('is_after', [False, True])
def test_a_repeat_amid_the_deletions_does_not_run_the_job_again(
    is_after: bool,
) -> None:
    """A hand-in that the store takes just before a deletion keeps the job.

    Taken after the deletion of the job's record, while its progress remains
    and the owner dies, it is the same job as well.
    """

    async def scenario(cell: PlatformCell) -> None:
        await complete(cell)
        before = starts(cell)
        partition = cell.store.partition(JOBS)
        key = next(key for key in partition.newest if key.startswith('job/'))
        payload = partition.newest[key][1]

        async def act(handle: Any, request: Any) -> Reply:
            if not is_after:
                cell.store.put(JOBS, key, payload)
                reply: Reply = await handle(request)
                return reply
            await handle(request)
            owner = cell.owner()
            cell.kill_vm(owner)
            cell.store.put(JOBS, key, payload)
            return Reply(NO_ANSWER)

        seen = on_deletion(cell, JOBS, act)
        await asyncio.sleep(EXPIRY_S)
        assert seen
        vm = sorted(cell.entries)[0]
        assert await cell.state(vm, key[4:]) in {'completed', 'cancelled'}
        await replace_owner(cell)
        vm = sorted(cell.entries)[0]
        assert await cell.state(vm, key[4:]) in {'completed', 'cancelled'}
        assert starts(cell) == before
        await asyncio.sleep(EXPIRY_S)
        assert records(cell) == []

    play(scenario, SHAPE)


def test_a_cancel_after_the_deletion_is_deleted_too() -> None:
    """It neither stays for ever nor cancels a later job of the same id."""

    async def scenario(cell: PlatformCell) -> None:
        names = await complete(cell, 1)
        await asyncio.sleep(EXPIRY_S)
        cell.store.put(JOBS, f'cancel/{names[0]}', {})
        await asyncio.sleep(EXPIRY_S)
        assert records(cell) == []
        cell.store.put(JOBS, f'cancel/{names[0]}', {})
        await replace_owner(cell)
        await asyncio.sleep(EXPIRY_S)
        assert records(cell) == []

    play(scenario, SHAPE)


def forget_progress(cell: PlatformCell, age_ms: int) -> None:
    """Leave what an earlier version leaves of jobs that are over."""
    for key in list(cell.store.partition(PROGRESS).newest):
        cell.store.drop(PROGRESS, key)
    cell.store.put(PROGRESS, 'fence', b'1')
    for key, (_, payload) in list(cell.store.partition(JOBS).newest.items()):
        if key.startswith('job/'):
            fields = json.loads(payload)
            fields['accepted_ms'] -= age_ms
            cell.store.put(JOBS, key, fields)


def test_history_of_an_earlier_version_is_deleted_and_not_run() -> None:
    """A job record without progress that is long over is no new job.

    Its deletion does not touch a job that waits meanwhile.
    """

    async def scenario(cell: PlatformCell) -> None:
        await complete(cell)
        body = job(step(1, cpu=100_000))
        for vm in sorted(cell.entries):
            cell.kill_vm(vm)
        forget_progress(cell, 3_600_000)
        await asyncio.sleep(2)
        before = starts(cell)
        for number in range(3):
            cell.start_vm(f'vm-{number}')
        await asyncio.sleep(5)
        waiting, _ = await cell.submit('vm-0', body)
        await asyncio.sleep(EXPIRY_S)
        assert starts(cell) == before
        assert set(records(cell)) == {f'job/{waiting}', waiting}
        await replace_owner(cell)
        assert await cell.state(cell.owner(), waiting) == 'queued'
        cell.add_worker(Shape('cpu', 200_000))
        assert await cell.settle([waiting], 20) == {waiting: 'completed'}
        assert starts(cell) == before + 1

    play(scenario, SHAPE)


def test_a_job_that_waits_is_not_taken_for_history() -> None:
    """Of a version before or of this one, at whichever takeover.

    A term of an earlier version in between changes nothing, as it never deletes
    the progress of a job that waits.
    """

    async def scenario(cell: PlatformCell) -> None:
        body = job(step(1, cpu=100_000))
        first, _ = await cell.submit('vm-0', body)
        cell.store.put(PROGRESS, 'fence', b'1')
        await replace_owner(cell)
        await asyncio.sleep(EXPIRY_S)
        assert cell.store.partition(PROGRESS).newest['judged'][1] == b'1'
        second, _ = await cell.submit(cell.owner(), body)
        await asyncio.sleep(EXPIRY_S)
        cell.store.put(PROGRESS, 'fence', b'9')
        await replace_owner_again(cell)
        await asyncio.sleep(EXPIRY_S)
        await replace_owner_again(cell)
        for name in (first, second):
            assert await cell.state(cell.owner(), name) == 'queued'
        cell.add_worker(Shape('cpu', 200_000))
        phases = await cell.settle([first, second], 20)
        assert set(phases.values()) == {'completed'}

    play(scenario, SHAPE)
