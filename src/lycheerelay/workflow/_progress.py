"""Encode and restore the durable progress record of a job.

The record is a JSON object. `phase` is the phase of the job and `why` the reason
for a final one. `finished` lists the numbers of finished occurrences. `steps`
has a row for each step with progress: occurrence, step, done tasks as a
hexadecimal bit mask, and a row for each open task that was started: index,
failed runs, last run, checkpoint, worker. `crashes` has a row for each open task
that a crash of its worker counted for: occurrence, step, index, a row for each
crash (run, evidence) and its last run on trial. `stopping`, in a final record of
a tenant's job, has a row for each step and worker with runs that had not ended:
step, worker, number of runs. Earlier versions ignore both.
"""

from collections import Counter
from collections.abc import Iterator
from typing import Final, TypedDict

import orjson

from ._crashes import mark_suspect
from ._ends import mark_done
from ._intake import open_if_ready, open_occurrence, steps_of
from ._log_events import log_event
from ._spec import StepSpec
from ._state import (
    FINAL_PHASES,
    CellState,
    CrashEvidence,
    JobInfo,
    JobPhase,
    StepInfo,
    TaskInfo,
)

HEX_BASE: Final = 16
DECODE_ERRORS: Final = (ValueError, KeyError, IndexError, TypeError)


# Occurrence, step, index, crashes and last run on trial of a task.
CrashRow = tuple[int, int, int, list[tuple[int, str]], int]


class ProgressRecord(TypedDict, total=False):
    """Fields of the progress record."""

    phase: str
    why: str
    finished: list[int]
    steps: list[list[object]]
    crashes: list[CrashRow]
    stopping: list[tuple[int, str, int]]


def encode_progress(job: JobInfo) -> bytes:
    """Return the progress record of a job."""
    record: ProgressRecord = {'phase': job.phase.value}
    if job.is_final:
        record['why'] = job.reason
        stopping = _stopping_rows(job) if job.account else []
        if stopping:
            record['stopping'] = stopping
        return orjson.dumps(record)
    if job.finished:
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
    return orjson.dumps(record)


def _stopping_rows(job: JobInfo) -> list[tuple[int, str, int]]:
    counts: Counter[tuple[int, str]] = Counter()
    for step in steps_of(job):
        for task in step.tasks:
            counts.update(
                (step.key.step, run.worker.worker_id)
                for run in task.runs.values()
            )
    return [(*key, count) for key, count in counts.items()]


def _crash_rows(job: JobInfo) -> Iterator[CrashRow]:
    for step in steps_of(job):
        _, occurrence, index = step.key
        for task in step.tasks:
            if task.crashes and not task.done:
                crashes = [
                    (run, evidence.value)
                    for run, evidence in task.crashes.items()
                ]
                yield occurrence, index, task.index, crashes, task.trial_run


def _step_row(step: StepInfo) -> list[object]:
    mask = sum(1 << task.index for task in step.tasks if task.done)
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
    if phase in FINAL_PHASES:
        job.phase = phase
        job.durable_phase = phase
        job.started = True
        job.reason = record.get('why', '')
        for steps in job.occurrences.values():
            for step in steps:
                cell.open_steps.pop(step.key, None)
        for step_index, worker_id, count in record.get('stopping', ()):
            step_spec = job.spec.steps[step_index]
            _presume_runs(cell, job, step_spec, worker_id, count)
        return
    for number in record.get('finished', ()):
        job.finished[number] = None
        job.started = True
    for row in record.get('steps', ()):
        _restore_step(cell, job, row)
    for crash_row in record.get('crashes', ()):
        _restore_crashes(cell, job, crash_row)


def _restore_step(cell: CellState, job: JobInfo, row: list[object]) -> None:
    occurrence, index, mask_text, tasks = row
    if not isinstance(occurrence, int) or not isinstance(index, int):
        raise ValueError('a step row must begin with two integers')
    if occurrence not in job.occurrences:
        open_occurrence(cell, job, occurrence)
    steps = job.occurrences[occurrence]
    step = steps[index]
    job.started = True
    mask = int(str(mask_text), HEX_BASE)
    for task in step.tasks:
        if mask >> task.index & 1:
            mark_done(step, task)
    for number, *rest in tasks:  # type: ignore[attr-defined]
        task = step.tasks[number]
        _restore_task(task, *rest)
        if task.last_run not in task.failed_runs:
            _presume_runs(cell, job, step.spec, task.assigned_worker, 1)
    if step.is_done:
        cell.open_steps.pop(step.key, None)
    for other in steps:
        open_if_ready(cell, job, other)


def _presume_runs(
    cell: CellState,
    job: JobInfo,
    step: StepSpec,
    worker_id: str,
    count: int,
) -> None:
    """Count runs against the quota until their worker has answered."""
    if job.account is not None and worker_id in cell.unsynced_workers:
        demand = step.charged_demand.times(count)
        cell.tenants.presume(worker_id, job.account, demand)


def _restore_crashes(cell: CellState, job: JobInfo, row: CrashRow) -> None:
    occurrence, index, number, crashes, trial_run = row
    step = job.occurrences[occurrence][index]
    task = step.tasks[number]
    for run, evidence in crashes:
        task.crashes[run] = CrashEvidence(evidence)
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
