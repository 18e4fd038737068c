"""Test that the record of a job that goes on for long stays small.

Guards against a record that grows with each failure of a service or with each
repetition, and against what its bound must not change: retry delays, attempts,
run numbers, and occurrences that are finished.
"""

import orjson
import pytest

from lycheerelay._resources import Resources
from lycheerelay.workflow import (
    CellState,
    JobInfo,
    RunEnd,
    RunKey,
    RunOutcome,
    RunTable,
    StepSpec,
    TaskKey,
    WorkerKey,
    WorkerListing,
    WorkflowSpec,
    apply_run_table,
    dispatch,
    encode_progress,
    list_worker,
    open_occurrences,
    restore_progress,
    submit,
)

DEMAND = Resources(100, 100)
ROOM = Resources(16_000, 64_000)
WORKER = WorkerKey('w')
ATTEMPTS = 3


def _cell(now_ms: int = 0) -> CellState:
    cell = CellState(1, 0)
    listing = WorkerListing(
        WORKER, '1:1', 'p', 'd', 'r', frozenset(), ROOM, draining=False
    )
    list_worker(cell, listing, now_ms)
    cell.workers[WORKER].enrolled = True
    cell.loaded = True
    table = RunTable(WORKER, now_ms, now_ms, (), ())
    apply_run_table(cell, table, now_ms)
    return cell


def _submit(cell: CellState, **fields: object) -> JobInfo:
    lasts = bool(fields.pop('lasts', False))
    shape = StepSpec(1, DEMAND, 1000, lasts=lasts)
    spec = WorkflowSpec('a', 'q', 'p', '', (shape,), ATTEMPTS, 2, 5000, 0)
    return submit(cell, spec._replace(**fields), 0)


def _end_runs(cell: CellState, outcome: RunOutcome, now_ms: int) -> list[int]:
    """Start what waits and end it; return the numbers of the runs."""
    dispatch(cell, now_ms)
    worker = cell.workers[WORKER]
    runs = list(worker.runs.values())
    ends = tuple(
        RunEnd(worker.handled_end + place, run.key, outcome, '')
        for place, run in enumerate(runs, 1)
    )
    table = RunTable(WORKER, now_ms + 1, now_ms + 1, (), ends)
    apply_run_table(cell, table, now_ms + 1)
    return [run.key.number for run in runs]


def _take_over(job: JobInfo, now_ms: int = 0) -> tuple[CellState, JobInfo]:
    cell = _cell(now_ms)
    found = submit(cell, job.spec, 0)
    restore_progress(cell, found, encode_progress(job))
    return cell, found


def test_the_record_of_a_service_does_not_grow_with_its_failures() -> None:
    """Run numbers go on, over an owner too; the delay has its largest value."""
    cell = _cell()
    job = _submit(cell, lasts=True)
    now_ms, numbers, sizes = 0, [], []
    for failures in range(600):
        if failures == 300:
            cell, job = _take_over(job, now_ms)
        now_ms += 2000
        numbers += _end_runs(cell, RunOutcome.FAILED, now_ms)
        sizes.append(len(encode_progress(job)))
    assert numbers == list(range(1, 601))
    task = job.occurrences[0][0].tasks[0]
    assert task.not_before_ms == now_ms + 1 + 1000
    assert task.last_run in task.failed_runs
    assert max(sizes) <= 200


@pytest.mark.parametrize('takeovers', [False, True])
def test_the_attempts_of_other_tasks_count_over_owners(takeovers: bool) -> None:
    cell = _cell()
    job = _submit(cell)
    numbers: list[int] = []
    for second in range(1, 3 * ATTEMPTS):
        numbers += _end_runs(cell, RunOutcome.FAILED, 2000 * second)
        if takeovers:
            cell, job = _take_over(job, 2000 * second + 1)
    assert numbers == list(range(1, ATTEMPTS + 1))
    assert job.phase == 'failed'


def test_the_record_of_a_repeated_job_does_not_grow_with_its_repetitions() -> (
    None
):
    """No finished occurrence opens again after a takeover."""
    cell = _cell()
    count, gap = 20_000, 7000
    job = _submit(cell, occurrences=count + 10, first_due_ms=1, every_ms=10)
    job.finished.update(dict.fromkeys(set(range(count)) - {gap}))
    raw = encode_progress(job)
    assert len(raw) < 200
    cell, found = _take_over(job)
    assert set(found.finished) == set(job.finished)
    open_occurrences(cell, 1 + 10 * count)
    assert set(found.occurrences) == {gap, count}


def test_earlier_versions_read_the_list_of_a_job_with_few_repetitions() -> None:
    job = _submit(_cell(), occurrences=9000, first_due_ms=1, every_ms=10)
    job.finished.update(dict.fromkeys(range(5000)))
    fields = orjson.loads(encode_progress(job))
    assert fields['finished'] == list(range(5000))
    assert 'finished_ranges' not in fields


def test_an_end_that_is_listed_again_counts_once() -> None:
    """The number of a failed run may have left the record of a service."""
    cell = _cell()
    job = _submit(cell, lasts=True)
    for second in range(1, 60):
        _end_runs(cell, RunOutcome.FAILED, 2000 * second)
    cell, job = _take_over(job)
    key = RunKey(TaskKey('a', 0, 0, 0), 1)
    ends = (RunEnd(1, key, RunOutcome.FAILED, ''),)
    apply_run_table(cell, RunTable(WORKER, 9, 9, (), ends), 9)
    task = job.occurrences[0][0].tasks[0]
    assert task.last_run == 59
    assert len(task.failed_runs) <= 20
