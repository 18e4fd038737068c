"""Accept, cancel and finalize jobs and open their steps."""

from collections.abc import Iterator

from ._deferred_stops import stop_runs
from ._log_events import log_event
from ._spec import RunKey, StepKey, WorkflowSpec, make_step_graph
from ._state import (
    CellState,
    JobInfo,
    JobPhase,
    Run,
    StepInfo,
    TaskInfo,
)

# A job that takes longer than this multiple of its objective has no value.
VALUE_EXPIRY_FACTOR = 3


def submit(cell: CellState, spec: WorkflowSpec, offset: int) -> JobInfo:
    """Add a job; a repeated id returns the job already known."""
    known = cell.find_job(spec.job_id)
    if known is not None:
        return known
    job = make_job(spec, offset)
    return add_job(cell, job, list(make_first_steps(job)))


def make_job(spec: WorkflowSpec, offset: int) -> JobInfo:
    """Return a job that no cell knows yet."""
    return JobInfo(spec, offset, make_step_graph(spec))


def make_first_steps(job: JobInfo) -> Iterator[StepInfo]:
    """Yield the steps that a new job opens with, each made when asked for.

    A caller may do other work in between, before it calls `add_job`.
    """
    if not job.spec.occurrences:
        yield from _make_steps(job, 0)


def add_job(cell: CellState, job: JobInfo, steps: list[StepInfo]) -> JobInfo:
    """Add a job with its first steps; a repeated id returns the known job."""
    spec = job.spec
    known = cell.find_job(spec.job_id)
    if known is not None:
        return known
    if spec.tenant:
        job.account = cell.tenants.find(spec.tenant)
        job.is_over_rate = cell.tenants.is_over_rate(
            job.account, spec.accepted_ms
        )
    cell.jobs[spec.job_id] = job
    if steps:
        _add_occurrence(cell, job, 0, steps)
    return job


def cancel(cell: CellState, job_id: str, now_ms: int) -> bool:
    """Cancel a job and return whether it was known and not final."""
    job = cell.find_job(job_id)
    if job is None or job.is_final:
        return False
    job.cancelled = True
    finalize_job(cell, job, JobPhase.CANCELLED, 'a caller cancelled it', now_ms)
    return True


def finalize_job(
    cell: CellState,
    job: JobInfo,
    phase: JobPhase,
    reason: str,
    now_ms: int,
) -> None:
    """Move a job to a final phase and stop its remaining runs."""
    job.phase = phase
    job.reason = reason
    job.finalized_ms = now_ms
    cell.unrecorded_jobs[job.spec.job_id] = None
    log_event(cell, 'job_settled', job=job.spec.job_id, phase=phase, why=reason)
    for step in steps_of(job):
        cell.open_steps.pop(step.key, None)
    stop_runs(cell, _runs_of(job), now_ms, phase)


def fail_unrecordable_job(cell: CellState, job_id: str, now_ms: int) -> bool:
    """Fail a job whose progress can never be recorded; return whether it did.

    None of its tasks may start without a record. A failed job has a small one.
    """
    job = cell.jobs.get(job_id)
    if job is None or job.is_final:
        return False
    reason = 'the store refuses the record of its progress for good'
    finalize_job(cell, job, JobPhase.FAILED, reason, now_ms)
    return True


def find_step(cell: CellState, run: RunKey) -> StepInfo | None:
    """Return the step of a run, or None if it is not known."""
    job = cell.find_job(run.task.job_id)
    if job is None:
        return None
    steps = job.occurrences.get(run.task.occurrence)
    if steps is None or not 0 <= run.task.step < len(steps):
        return None
    step = steps[run.task.step]
    if not 0 <= run.task.member < len(step.tasks):
        return None
    return step


def steps_of(job: JobInfo) -> Iterator[StepInfo]:
    """Iterate over the steps of every open occurrence."""
    for steps in job.occurrences.values():
        yield from steps


def _runs_of(job: JobInfo) -> Iterator[Run]:
    # The job may be put aside before the last of its runs is asked for.
    for step in list(steps_of(job)):
        for task in step.tasks:
            yield from list(task.runs.values())


def open_occurrence(cell: CellState, job: JobInfo, number: int) -> None:
    """Create the steps of an occurrence and open those that are ready."""
    _add_occurrence(cell, job, number, list(_make_steps(job, number)))


def _make_steps(job: JobInfo, number: int) -> Iterator[StepInfo]:
    for index, _ in enumerate(job.spec.steps):
        yield _make_step(job, number, index)


def _add_occurrence(
    cell: CellState, job: JobInfo, number: int, steps: list[StepInfo]
) -> None:
    job.occurrences[number] = steps
    job.unfinished[number] = len(steps)
    job.open_tasks += count_ending_tasks(job.spec)
    for step in steps:
        open_if_ready(cell, job, step)


def open_if_ready(cell: CellState, job: JobInfo, step: StepInfo) -> None:
    """Open a step once all its dependencies are done."""
    if step.ready or step.awaited or job.is_final:
        return
    step.ready = True
    if step.waiting:
        cell.open_steps[step.key] = step


def reopen_task(cell: CellState, step: StepInfo, index: int) -> None:
    """Return a task without a run to the waiting tasks of its step."""
    task = step.tasks[index]
    if task.done or step.job.is_final:
        return
    step.waiting[index] = None
    if step.ready:
        cell.open_steps[step.key] = step


def finish_step(cell: CellState, step: StepInfo, now_ms: int) -> None:
    """Open the dependents of a finished step, or finish its occurrence."""
    job = step.job
    occurrence = step.key.occurrence
    open_dependents(cell, step)
    if not job.unfinished[occurrence]:
        finish_occurrence(cell, job, occurrence, now_ms)


def open_dependents(cell: CellState, step: StepInfo) -> None:
    """Open the steps that have waited for a finished step alone."""
    job = step.job
    cell.open_steps.pop(step.key, None)
    if step.finished:
        return
    step.finished = True
    job.unfinished[step.key.occurrence] -= 1
    steps = job.occurrences[step.key.occurrence]
    for number in job.graph.dependents[step.key.step]:
        steps[number].awaited -= 1
        open_if_ready(cell, job, steps[number])


def finish_occurrence(
    cell: CellState,
    job: JobInfo,
    number: int,
    now_ms: int,
) -> None:
    """Mark an occurrence as finished; the last one completes the job."""
    if number not in job.finished:
        job.open_tasks -= count_ending_tasks(job.spec)
    job.finished.add(number)
    if len(job.finished) >= max(job.spec.occurrences, 1):
        finalize_job(
            cell, job, JobPhase.COMPLETED, 'every task is done', now_ms
        )


def count_ending_tasks(spec: WorkflowSpec) -> int:
    """Return how many tasks of an occurrence do not last."""
    return sum(step.width for step in spec.steps if not step.lasts)


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
    tasks = step_spec.width if step_spec.gang else 1
    step.quota_needed = step_spec.charged_demand.times(tasks)
    begin_ms = spec.accepted_ms
    if spec.occurrences:
        begin_ms = spec.first_due_ms + occurrence * spec.every_ms
    graph = job.graph
    step.awaited = graph.dependencies[index]
    # The first step stands for the whole job, also if others have longer paths.
    remaining_ms = graph.remaining_ms[index] if index else graph.path_ms
    limit_ms = graph.objective_ms(spec)
    step.latest_start_ms = begin_ms + limit_ms - remaining_ms
    step.infeasible_from_ms = (
        begin_ms + VALUE_EXPIRY_FACTOR * limit_ms - remaining_ms
    )
    return step
