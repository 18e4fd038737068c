"""Test that a record which the store refuses for good stops nobody else.

Guards against an append that can never succeed and is repeated for ever, with
the records of all other jobs behind it, and against starts without a record.
"""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest

from lycheerelay.serving import KeyedRecord, Reply
from lycheerelay_standins.platform import PlatformCell, Request, Shape
from platform_days import STORE, job, play, step

REFUSED_JOB = f'{0xBAD:016x}'
FOR_GOOD = (400, 413, 422)


def _refuse(
    cell: PlatformCell, status: int, is_refused: Callable[[Request], bool]
) -> list[Request]:
    """Refuse appends; return a list that grows by the refused ones."""
    refused: list[Request] = []

    async def handle(request: Request) -> Reply:
        if request.path.endswith('/log-append') and is_refused(request):
            refused.append(request)
            return Reply(status, json.dumps({}).encode())
        return await cell.store.handle(request)

    cell.net.listen(STORE, 'store', handle)
    return refused


def _names_open_job(request: Request) -> bool:
    is_progress = request.query['topic'] == 'keyed.progress'
    _, _, rest = request.body.partition(REFUSED_JOB.encode())
    return is_progress and rest.startswith(b'{"phase":"queued"')


def _metric(cell: PlatformCell, name: str) -> int:
    lines = [
        line
        for entry in cell.entries.values()
        for line in entry.render_metrics().splitlines()
        if line.startswith(f'lycheerelay_{name}')
    ]
    return sum(int(float(line.rsplit(' ', 1)[1])) for line in lines)


@pytest.mark.parametrize('status', FOR_GOOD)
def test_a_refused_record_holds_up_no_other_job(status: int) -> None:
    """Its job is shown as failed and starts nothing, the others complete."""

    async def scenario(cell: PlatformCell) -> None:
        refused = _refuse(cell, status, _names_open_job)
        names = []
        for name in ('', REFUSED_JOB, ''):
            given, _ = await cell.submit('vm-0', job(step(3)), job_id=name)
            names.append(given)
        phases = await cell.settle(names, 6)
        assert phases.pop(REFUSED_JOB) == 'failed'
        assert set(phases.values()) == {'completed'}
        assert sum(worker.starts for worker in cell.workers.values()) == 6
        assert len(refused) <= 4
        assert _metric(cell, 'records_refused') == 1
        # The auditor does not see why the store cannot keep the job.
        expected = f'LOST: {REFUSED_JOB} failed with attempts left'
        assert set(cell.audit.broken) == {expected}
        cell.audit.broken.clear()

    play(scenario)


def test_a_store_may_count_the_numbers_of_refused_appends() -> None:
    """The next append has the number after them, and the term goes on."""

    async def scenario(cell: PlatformCell) -> None:
        partition = cell.store.partition('keyed.progress')

        def is_refused(request: Request) -> bool:
            if not _names_open_job(request):
                return False
            partition.sequences['owner'] = int(request.query['sequence'])
            return True

        owner = cell.owner()
        _refuse(cell, 413, is_refused)
        await cell.submit('vm-0', job(step(3)), job_id=REFUSED_JOB)
        name, _ = await cell.submit('vm-0', job(step(3)))
        assert await cell.settle([name], 6) == {name: 'completed'}
        assert cell.owner() == owner

    play(scenario)


def test_a_store_that_refuses_everything_fails_no_job() -> None:
    """Jobs go on once the store takes records again; repeats are paced."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(3)))
        refused = _refuse(
            cell, 400, lambda request: 'producer' in request.query
        )
        await asyncio.sleep(5)
        assert 0 < len(refused) < 60
        cell.net.listen(STORE, 'store', cell.store.handle)
        assert await cell.settle([name], 5) == {name: 'completed'}
        assert _metric(cell, 'records_refused') == 0

    play(scenario)


def test_errors_of_the_store_are_repeated_at_a_bounded_rate() -> None:
    """An answer that comes at once is no reason to repeat at once."""

    async def scenario(cell: PlatformCell) -> None:
        refused = _refuse(
            cell, 500, lambda request: 'producer' in request.query
        )
        name, _ = await cell.submit('vm-0', job(step(3)))
        await asyncio.sleep(10)
        assert 10 < len(refused) < 80
        cell.net.listen(STORE, 'store', cell.store.handle)
        assert await cell.settle([name], 5) == {name: 'completed'}

    play(scenario)


def test_a_refused_list_of_workers_is_not_repeated() -> None:
    """Workers that are not in the record get no starts; jobs run on the others."""

    async def scenario(cell: PlatformCell) -> None:
        refused = _refuse(
            cell, 413, lambda request: b'\x07workers' in request.body
        )
        first = set(cell.workers)
        cell.add_worker(Shape('cpu'))
        name, _ = await cell.submit('vm-0', job(step(6)))
        assert await cell.settle([name], 8) == {name: 'completed'}
        assert len(refused) <= 4
        assert _metric(cell, 'records_refused') == 1
        late = set(cell.workers) - first
        assert not any(cell.workers[each].starts for each in late)

    play(scenario)


def test_a_refused_hand_in_leaves_those_that_share_its_append() -> None:
    """Only the caller of the record at fault is refused."""

    async def scenario(cell: PlatformCell) -> None:
        bodies: list[dict[str, Any]] = [job(step(1)) for _ in range(9)]
        bodies[4]['spec'] = 'x' * 5000
        cell.store.record_bytes = 4000
        cell.net.slow[STORE] = 100
        outcomes = await asyncio.gather(
            *(cell.submit('vm-0', body) for body in bodies)
        )
        statuses = [outcome.status.value for _, outcome in outcomes]
        assert statuses.pop(4) == 'never_stored'
        assert set(statuses) == {'ok'}
        cell.net.slow.clear()
        names = [name for name, _ in outcomes]
        names.pop(4)
        phases = await cell.settle(names, 10)
        assert set(phases.values()) == {'completed'}

    play(scenario)


def test_a_refused_hand_in_through_the_owner_is_told_to_its_caller() -> None:
    """Earlier versions read from the same answer that it was not stored."""

    async def scenario(cell: PlatformCell) -> None:
        owner = cell.owner()
        vm = next(name for name in cell.entries if name != owner)
        cell.store.record_bytes = 4000
        cell.net.refusing.add((vm, STORE))
        body = {**job(step(1)), 'spec': 'x' * 5000}
        _, outcome = await cell.submit(vm, body)
        assert outcome.status.value == 'never_stored'
        handler = cell.entries[owner].handler
        record = KeyedRecord('job/a', b'x' * 5000)
        answer = await handler.append_for_peer(record)
        assert answer == {'fault': 'refused', 'rejected': True}

    play(scenario)
