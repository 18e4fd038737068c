"""Take jobs in, cancel them, and open their steps."""

from collections.abc import Iterator

from ._log_events import log_event
from ._runs import stop_run
from ._spec import StepKey, WorkflowSpec, chain_ms, objective_ms
from ._state import (
    NEVER,
    CellState,
    JobInfo,
    JobPhase,
    StepInfo,
    TaskInfo,
)

# Beyond this multiple of its objective a job earns nothing.
LATE_LIMIT = 3


def submit(cell: CellState, spec: WorkflowSpec, offset: int) -> JobInfo:
    """Take a job in; the first submission of an id stands."""
    known = cell.jobs.get(spec.job_id)
    if known is not None:
        return known
    job = JobInfo(spec, offset)
    cell.jobs[spec.job_id] = job
    if not spec.occurrences:
        open_occurrence(cell, job, 0)
    return job


def cancel(cell: CellState, job_id: str, now_ms: int) -> bool:
    """Cancel a job; return whether it was known and still open."""
    job = cell.jobs.get(job_id)
    if job is None or job.is_final:
        return False
    job.cancelled = True
    settle(cell, job, JobPhase.CANCELLED, 'a caller cancelled it', now_ms)
    return True


def settle(
    cell: CellState,
    job: JobInfo,
    phase: JobPhase,
    reason: str,
    now_ms: int,
) -> None:
    """End a job and stop whatever still runs for it."""
    job.phase = phase
    job.reason = reason
    job.finalized_ms = now_ms
    cell.unrecorded_jobs[job.spec.job_id] = None
    log_event(cell, 'job_settled', job=job.spec.job_id, phase=phase, why=reason)
    for step in steps_of(job):
        cell.open_steps.pop(step.key, None)
        for task in step.tasks:
            for run in list(task.runs.values()):
                stop_run(cell, run, now_ms, phase)


def steps_of(job: JobInfo) -> Iterator[StepInfo]:
    """Iterate over the steps of every open occurrence."""
    for steps in job.occurrences.values():
        yield from steps


def open_occurrence(cell: CellState, job: JobInfo, number: int) -> None:
    """Make the books of one occurrence and open its first steps."""
    steps = [
        _make_step(job, number, index) for index in range(len(job.spec.steps))
    ]
    job.occurrences[number] = steps
    for step in steps:
        open_if_ready(cell, job, step)


def open_if_ready(cell: CellState, job: JobInfo, step: StepInfo) -> None:
    """Open a step once every step that it waits for is done."""
    steps = job.occurrences[step.key.occurrence]
    if step.ready or job.is_final:
        return
    if all(steps[number].is_done for number in step.spec.after):
        step.ready = True
        if step.waiting:
            cell.open_steps[step.key] = step


def reopen_tasks(cell: CellState, step: StepInfo, index: int) -> None:
    """Let a task that has no run wait for its next start."""
    task = step.tasks[index]
    if task.done or step.job.is_final:
        return
    step.waiting[index] = None
    if step.ready:
        cell.open_steps[step.key] = step


def finish_step(cell: CellState, step: StepInfo, now_ms: int) -> None:
    """Open the steps behind a finished one, or complete the job."""
    job = step.job
    cell.open_steps.pop(step.key, None)
    steps = job.occurrences[step.key.occurrence]
    for other in steps:
        if step.key.step in other.spec.after:
            open_if_ready(cell, job, other)
    if all(other.is_done for other in steps):
        finish_occurrence(cell, job, step.key.occurrence, now_ms)


def finish_occurrence(
    cell: CellState,
    job: JobInfo,
    number: int,
    now_ms: int,
) -> None:
    """Close an occurrence; the last one completes the job."""
    job.finished[number] = None
    if len(job.finished) >= max(job.spec.occurrences, 1):
        settle(cell, job, JobPhase.COMPLETED, 'every task is done', now_ms)


def open_due(cell: CellState, job: JobInfo, wall_ms: int) -> int:
    """Open the occurrences that are due; return when the next one is."""
    spec = job.spec
    for number in range(spec.occurrences):
        due_ms = spec.first_due_ms + number * spec.every_ms
        if number in job.occurrences or number in job.finished:
            continue
        if due_ms > wall_ms:
            return due_ms
        open_occurrence(cell, job, number)
    return NEVER


def _make_step(job: JobInfo, occurrence: int, index: int) -> StepInfo:
    spec = job.spec
    step_spec = spec.steps[index]
    step = StepInfo(
        key=StepKey(spec.job_id, occurrence, index),
        spec=step_spec,
        job=job,
        tasks=[TaskInfo(number) for number in range(step_spec.width)],
    )
    step.waiting = dict.fromkeys(range(step_spec.width))
    begin_ms = spec.accepted_ms
    if spec.occurrences:
        begin_ms = spec.first_due_ms + occurrence * spec.every_ms
    whole_ms = chain_ms(spec)
    rest_ms = chain_ms(spec, index) if index else whole_ms
    in_time_ms = objective_ms(spec)
    step.latest_start_ms = begin_ms + in_time_ms - rest_ms
    step.infeasible_from_ms = begin_ms + LATE_LIMIT * in_time_ms - rest_ms
    return step
