"""Derive a job's state and final result from its tasks."""

from typing import NamedTuple

from ._allocations import drop_plans, has_task_to_place
from ._attempt_ends import restart_gang
from ._codes import Code
from ._commands import JobFinal
from ._handlers import Commands
from ._jobs import JobState, Kind, TaskState
from ._state import JobInfo, ShardState


class JobOutcome(NamedTuple):
    """Describe the final result of a job."""

    state: JobState
    code: int
    detail: str = ''


def finalize_if_over(state: ShardState, job: JobInfo, at_ms: int) -> Commands:
    """Update the job's state; finalize it once no task runs or may rerun."""
    if job.is_final:
        return
    if any(task.may_run for task in job.tasks):
        job.state = JobState.RUNNING
        return
    if job.restarting:
        restart_gang(state, job, at_ms)
    outcome = _outcome(job)
    if outcome is None:
        job.state = JobState.QUEUED
    else:
        yield from finalize_job(state, job, outcome, at_ms)


def finalize_job(
    state: ShardState,
    job: JobInfo,
    outcome: JobOutcome,
    at_ms: int,
) -> Commands:
    """Store a job's final result and notify its watchers."""
    drop_plans(state, job)
    job.state = outcome.state
    job.code = outcome.code
    job.detail = outcome.detail
    job.settled_ms = at_ms
    state.waiting.pop(job.spec.job_id, None)
    state.finals.append((at_ms, job.spec.job_id))
    yield JobFinal(job.spec.job_id)


def _outcome(job: JobInfo) -> JobOutcome | None:
    states = {task.state for task in job.tasks}
    if states == {TaskState.DONE}:
        return JobOutcome(JobState.DONE, int(Code.DONE))
    failed_states = states & {TaskState.UNKNOWN, TaskState.FAILED}
    has_failed_gang = failed_states and job.spec.kind is Kind.GANG
    ends_early = job.cancel_asked or has_failed_gang
    if has_task_to_place(job) and not ends_early:
        return None
    if TaskState.UNKNOWN in states:
        detail = _detail(job, TaskState.UNKNOWN)
        return JobOutcome(JobState.UNKNOWN, int(Code.OUTCOME_UNKNOWN), detail)
    if job.cancel_asked:
        return JobOutcome(JobState.CANCELLED, int(Code.CANCELLED))
    if TaskState.FAILED not in states:
        return None
    detail = _detail(job, TaskState.FAILED)
    return JobOutcome(JobState.FAILED, _failed_code(job), detail)


def _failed_code(job: JobInfo) -> int:
    codes = {task.code for task in job.tasks if task.state is TaskState.FAILED}
    lease_expired = int(Code.LEASE_LAPSED)
    return lease_expired if codes == {lease_expired} else int(Code.TASK_FAILED)


def _detail(job: JobInfo, state: TaskState) -> str:
    found = [
        (index, task)
        for index, task in enumerate(job.tasks)
        if task.state is state
    ]
    index, task = found[0]
    return (
        f'{len(found)} of {len(job.tasks)} tasks {state.value}; task {index}: '
        f'code {task.code}, attempt {task.attempt} on {task.worker}'
    )
