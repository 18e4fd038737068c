"""Encode and restore the durable progress record of a job.

The record is a JSON object. `phase` is the phase of the job and `why` the reason
for a final one. `finished` lists the numbers of finished occurrences; if they are
many, `finished_ranges` has the first and last number of each range of them. `steps`
has a row for each step with progress: occurrence, step, done tasks as a
hexadecimal bit mask, and a row for each open task that was started: index,
failed runs, last run, checkpoint, worker. `crashes` has a row for each open task
that a crash of its worker counted for: occurrence, step, index, a row for each
crash (run, evidence) and its last run on trial. `sent` has a row for each of these
tasks: occurrence, step, index and those of these runs whose start was sent. `others`,
for the job of a tenant, counts the runs that no other row tells, such as copies and
the runs of done tasks, and in a final record all runs that had not ended: step,
worker, number of runs. Earlier versions ignore all three.
"""

from collections import Counter
from collections.abc import Iterator
from typing import Final, TypedDict

import orjson

from ._crashes import mark_suspect
from ._ends import mark_done
from ._finished_numbers import MAX_LISTED, NumberRange
from ._intake import open_dependents, open_occurrence, steps_of
from ._log_events import log_event
from ._state import (
    FINAL_PHASES,
    CellState,
    CrashEvidence,
    JobInfo,
    JobPhase,
    StepInfo,
    TaskInfo,
)
from ._tenants import PresumedKey, PresumedRuns

HEX_BASE: Final = 16
# Earlier versions do not record `sent`.
EVIDENCE_OF_SENT_RUNS: Final = frozenset(
    (CrashEvidence.OWN, CrashEvidence.SHARED)
)
DECODE_ERRORS: Final = (ValueError, KeyError, IndexError, TypeError)


# Step, worker and number of runs.
RunCountRow = tuple[int, str, int]
# Occurrence, step, index, crashes and last run on trial of a task.
CrashRow = tuple[int, int, int, list[tuple[int, str]], int]
# Occurrence, step, index and runs of a task.
SentRow = tuple[int, int, int, list[int]]


class ProgressRecord(TypedDict, total=False):
    """Fields of the progress record."""

    phase: str
    why: str
    finished: list[int]
    finished_ranges: list[NumberRange]
    steps: list[list[object]]
    crashes: list[CrashRow]
    sent: list[SentRow]
    others: list[RunCountRow]


def encode_progress(job: JobInfo) -> bytes:
    """Return the progress record of a job."""
    record: ProgressRecord = {'phase': job.phase.value}
    others = _count_other_runs(job) if job.account else []
    if others:
        record['others'] = others
    if job.is_final:
        record['why'] = job.reason
        return orjson.dumps(record)
    if len(job.finished) > MAX_LISTED:
        record['finished_ranges'] = job.finished.ranges()
    elif job.finished:
        record['finished'] = list(job.finished)
    rows = [
        _step_row(step)
        for number, steps in job.occurrences.items()
        for step in steps
        if number not in job.finished
    ]
    record['steps'] = [row for row in rows if row[2] != '0' or row[3]]
    crashes = list(_crash_rows(job))
    if crashes:
        record['crashes'] = crashes
        record['sent'] = list(_sent_rows(job))
    return orjson.dumps(record)


def _count_other_runs(job: JobInfo) -> list[RunCountRow]:
    counts: Counter[tuple[int, str]] = Counter()
    for step in steps_of(job):
        for task in step.tasks:
            counts.update(
                (step.key.step, run.worker.worker_id)
                for number, run in task.runs.items()
                if job.is_final or task.done or number != task.last_run
            )
    for key, count in job.presumed.items():
        if job.is_final or key.is_other:
            counts[key.step, key.worker_id] += count
    return [(*key, count) for key, count in counts.items()]


def _crash_rows(job: JobInfo) -> Iterator[CrashRow]:
    for step, task in _crashed_tasks(job):
        _, occurrence, index = step.key
        crashes = [
            (run, evidence.value) for run, evidence in task.crashes.items()
        ]
        yield occurrence, index, task.index, crashes, task.trial_run


def _sent_rows(job: JobInfo) -> Iterator[SentRow]:
    for step, task in _crashed_tasks(job):
        _, occurrence, index = step.key
        yield occurrence, index, task.index, list(task.sent_runs)


def _crashed_tasks(job: JobInfo) -> Iterator[tuple[StepInfo, TaskInfo]]:
    """Iterate over the open tasks that a crash of their worker counted for."""
    for step in steps_of(job):
        for task in step.tasks:
            if task.crashes and not task.done:
                yield step, task


def _step_row(step: StepInfo) -> list[object]:
    # Linear in the number of tasks; a sum of powers of two is not.
    digits = ''.join('01'[task.done] for task in reversed(step.tasks))
    mask = int(digits, 2)
    tasks = [
        [
            task.index,
            list(task.failed_runs),
            task.last_run,
            task.checkpoint,
            task.assigned_worker,
        ]
        for task in step.tasks
        if not task.done and task.last_run
    ]
    return [step.key.occurrence, step.key.step, f'{mask:x}', tasks]


def is_final_record(raw: bytes | None) -> bool:
    """Return whether a record is the progress of a final job."""
    try:
        record = orjson.loads(raw or b'')
    except ValueError:
        return False
    return isinstance(record, dict) and record.get('phase') in FINAL_PHASES


def restore_progress(cell: CellState, job: JobInfo, raw: bytes) -> None:
    """Restore a job from its progress record; log an unreadable one."""
    try:
        record: ProgressRecord = orjson.loads(raw)
        _restore(cell, job, record)
    except DECODE_ERRORS as error:
        log_event(
            cell, 'record_unreadable', job=job.spec.job_id, error=str(error)
        )


def _restore(cell: CellState, job: JobInfo, record: ProgressRecord) -> None:
    phase = JobPhase(record['phase'])
    for step_index, worker_id, count in record.get('others', ()):
        key = PresumedKey(step_index, worker_id, is_other=True)
        _presume_runs(cell, job, key, count)
    if phase in FINAL_PHASES:
        job.phase = phase
        job.durable_phase = phase
        job.started = True
        job.reason = record.get('why', '')
        for steps in job.occurrences.values():
            for step in steps:
                cell.open_steps.pop(step.key, None)
        return
    job.finished.update(record.get('finished', ()))
    for first, last in record.get('finished_ranges', ()):
        job.finished.add_range(first, last)
    job.started |= bool(job.finished)
    for row in record.get('steps', ()):
        _restore_step(cell, job, row)
    for crash_row in record.get('crashes', ()):
        _restore_crashes(cell, job, crash_row)
    for occurrence, index, number, runs in record.get('sent', ()):
        task = job.occurrences[occurrence][index].tasks[number]
        task.sent_runs.update(dict.fromkeys(runs))


def _restore_step(cell: CellState, job: JobInfo, row: list[object]) -> None:
    occurrence, index, mask_text, tasks = row
    if not isinstance(occurrence, int) or not isinstance(index, int):
        raise ValueError('a step row must begin with two integers')
    if occurrence not in job.occurrences:
        open_occurrence(cell, job, occurrence)
    step = job.occurrences[occurrence][index]
    job.started = True
    # Linear in the number of tasks; shifting the mask for each of them is not.
    digits = f'{int(str(mask_text), HEX_BASE):b}'
    for task, digit in zip(step.tasks, reversed(digits), strict=False):
        if digit == '1':
            mark_done(step, task)
    for number, *rest in tasks:  # type: ignore[attr-defined]
        task = step.tasks[number]
        _restore_task(task, *rest)
        if task.last_run not in task.failed_runs:
            key = PresumedKey(index, task.assigned_worker, is_other=False)
            _presume_runs(cell, job, key, 1)
    if step.is_done:
        open_dependents(cell, step)


def _presume_runs(
    cell: CellState,
    job: JobInfo,
    key: PresumedKey,
    count: int,
) -> None:
    """Count runs against the quota until their worker has answered."""
    if job.account is not None and key.worker_id in cell.unsynced_workers:
        demand = job.spec.steps[key.step].charged_demand.times(count)
        cell.tenants.presume(
            PresumedRuns(job.account, demand, job.presumed, key, count)
        )


def _restore_crashes(cell: CellState, job: JobInfo, row: CrashRow) -> None:
    occurrence, index, number, crashes, trial_run = row
    step = job.occurrences[occurrence][index]
    task = step.tasks[number]
    for run, evidence in crashes:
        task.crashes[run] = CrashEvidence(evidence)
        if task.crashes[run] in EVIDENCE_OF_SENT_RUNS:
            task.sent_runs[run] = None
    task.trial_run = trial_run
    mark_suspect(cell, step, task)


def _restore_task(
    task: TaskInfo,
    failed: list[int],
    last_run: int,
    checkpoint: str,
    assigned_worker: str,
) -> None:
    task.failed_runs.update(dict.fromkeys(failed))
    task.last_run = max(task.last_run, last_run)
    task.checkpoint = checkpoint
    task.assigned_worker = assigned_worker
