"""Test wait forecasts and the refusal of jobs that would finish too late."""

import asyncio

from lycheerelay._resources import Resources
from lycheerelay.workflow import (
    CellState,
    StepSpec,
    WorkerKey,
    WorkerListing,
    WorkflowSpec,
    dispatch,
    lateness_ms,
    list_worker,
    predict_waits,
    predicted_wait_ms,
    submit,
)
from lycheerelay_standins.platform import CellShape, PlatformCell, Shape
from platform_days import job, play, step


def spec_of(number: int, accepted_ms: int = 0) -> WorkflowSpec:
    """Return a job of one task that occupies a worker for a second."""
    only = StepSpec(1, Resources(1000, 100), 1000)
    name = f'{number:016x}'
    return WorkflowSpec(
        name, 'q', 'pool', 'x', (only,), 3, 1.0, 500, accepted_ms
    )


def crowded(jobs: int) -> CellState:
    """Return a cell with one worker that runs one task at a time."""
    cell = CellState(fence=1, previous_orders_expire_ms=0)
    cell.loaded = True
    entry = WorkerListing(
        WorkerKey('w'),
        'w:80',
        'pool',
        'a',
        'r',
        frozenset(),
        Resources(1000, 4000),
        draining=False,
    )
    list_worker(cell, entry, 0)
    cell.workers[entry.worker].enrolled = True
    cell.workers[entry.worker].synced = True
    for number in range(jobs):
        submit(cell, spec_of(number), number)
    dispatch(cell, 0)
    return cell


def test_a_pool_with_free_capacity_has_no_wait() -> None:
    """One running task and no waiting task cause no wait."""
    assert predict_waits(crowded(1), 0) == {}


def test_waits_follow_the_order() -> None:
    """The last of five tasks waits for the four before it."""
    waits = predict_waits(crowded(5), 0)['pool']
    assert [point.wait_ms for point in waits] == [1000, 2000, 3000, 4000]
    assert predicted_wait_ms(spec_of(9), waits) == 4000
    assert predicted_wait_ms(spec_of(9), waits, age_ms=300) == 3700


def test_urgent_work_does_not_wait_for_the_rest() -> None:
    """Work that must start earlier is served before waiting work."""
    waits = predict_waits(crowded(5), 0)['pool']
    urgent = spec_of(9)._replace(objective_ms=100)
    assert predicted_wait_ms(urgent, waits) == 0


def test_only_jobs_of_expired_value_are_too_late() -> None:
    """A job has value for up to three times its objective of 1500 ms."""
    assert lateness_ms(spec_of(1), 3500) == 0
    assert lateness_ms(spec_of(1), 3600) == 100
    timed = spec_of(1)._replace(occurrences=2)
    assert lateness_ms(timed, 99_999) == 0


def test_a_caller_is_refused_while_the_queue_is_too_long() -> None:
    """Every VM refuses new jobs at once and sends a retry-after time.

    A repeated submission of an accepted job is still accepted.
    """

    async def scenario(cell: PlatformCell) -> None:
        # The objective in the stand-in is twice the work plus one second.
        long = job(step(1, cpu=16000, estimatedMs=6000))
        short = job(step(1, cpu=16000, estimatedMs=500))
        first, _ = await cell.submit('vm-0', short)
        taken = []
        refused = []
        for _ in range(16):
            name, outcome = await cell.submit('vm-0', long, work_ms=6000)
            kept = taken if outcome.status.value == 'ok' else refused
            kept.append((name, outcome))
            await asyncio.sleep(0.6)
            await cell.state('vm-0', taken[0][0])
        assert len(taken) >= 5
        assert {outcome.status.value for _, outcome in refused} == {'too_late'}
        assert all(outcome.retry_after_s >= 1 for _, outcome in refused)
        for vm in sorted(cell.entries):
            await cell.state(vm, taken[0][0])
            _, again = await cell.submit(vm, short, job_id=first)
            assert again.status.value == 'ok'
            _, fresh = await cell.submit(vm, short)
            assert fresh.status.value == 'too_late'

    play(scenario, CellShape(workers=(Shape('cpu'),)))
