"""Refuse only jobs that were not accepted before.

Guards against a 429 or 503 for a job that runs: callers take it for a promise.
"""

import asyncio

import pytest

from lycheerelay.platform._ingress import HTTP_STATUSES
from lycheerelay.serving import RequestResult, RequestStatus
from lycheerelay_standins.platform import CellShape, PlatformCell, Shape
from platform_days import job, play, step

ONE_WORKER = CellShape(workers=(Shape('cpu'),))
NEVER_RUNS = (429, 503)


def cut_from_owner(cell: PlatformCell) -> str:
    """Let a VM reach the store but not the owner; return its name."""
    owner = cell.owner()
    vm = next(name for name in sorted(cell.entries) if name != owner)

    async def find_no_owner(*_args: object) -> None:
        await asyncio.sleep(0.5)

    cell.entries[vm].handler._query_owner = find_no_owner
    return vm


def test_an_accepted_job_is_refused_as_too_late_while_nobody_knows() -> None:
    """While the owner does not answer, the caller is told to ask again."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(1)))
        vm = cut_from_owner(cell)
        handler = cell.entries[vm].handler
        refusal = RequestResult(RequestStatus.TOO_LATE, retry_after_s=2)
        handler._find_refusal = lambda _spec: refusal
        _, again = await cell.submit(vm, job(step(1)), job_id=name)
        assert HTTP_STATUSES[again.status] not in NEVER_RUNS

    play(scenario, ONE_WORKER)


@pytest.mark.parametrize('vm', ['vm-0', 'vm-1', 'vm-2'])
def test_an_accepted_job_is_refused_while_the_store_is_away(vm: str) -> None:
    """The owner knows it; a job that it does not know is refused at once."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(1)))
        assert await cell.state('vm-0', name) in {'queued', 'running'}
        handler = cell.entries[vm].handler

        async def refuse(*_args: object, **_options: object) -> RequestResult:
            return RequestResult(RequestStatus.REFUSED)

        handler.appends.append = refuse
        _, again = await cell.submit(vm, job(step(1)), job_id=name)
        assert again.status is RequestStatus.OK
        _, fresh = await cell.submit(vm, job(step(1)))
        assert fresh.status is RequestStatus.REFUSED

    play(scenario)


@pytest.mark.parametrize(
    ('is_known', 'is_cut', 'expected'),
    [
        (True, False, RequestStatus.OK),
        (False, False, RequestStatus.BUSY),
        (True, True, RequestStatus.UNKNOWN_OUTCOME),
        (False, True, RequestStatus.UNKNOWN_OUTCOME),
    ],
)
def test_a_busy_vm_refuses_an_accepted_job(
    is_known: bool, is_cut: bool, expected: RequestStatus
) -> None:
    """Only a job that the owner does not know is refused."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(1)))
        vm = cut_from_owner(cell) if is_cut else 'vm-1'
        job_id = name if is_known else 'e' * 16
        outcome = await cell.entries[vm].handler.refuse_busy(job_id, 'batch')
        assert outcome.status is expected
        assert is_known <= (HTTP_STATUSES[outcome.status] not in NEVER_RUNS)

    play(scenario, ONE_WORKER)
