"""Derive a job's state from its tasks."""

from typing import NamedTuple

from ._allocations import drop_plans, has_open
from ._codes import Code
from ._commands import JobFinal
from ._ends import restart_gang
from ._handlers import Commands
from ._jobs import JobState, Kind, TaskState
from ._state import JobInfo, ShardState


class Verdict(NamedTuple):
    """State how a job ended."""

    state: JobState
    code: int
    detail: str = ''


def settle_if_over(state: ShardState, job: JobInfo, at_ms: int) -> Commands:
    """Make the job final once no task runs or may run again."""
    if job.is_final:
        return
    if any(task.may_run for task in job.tasks):
        job.state = JobState.RUNNING
        return
    if job.restarting:
        restart_gang(state, job, at_ms)
    verdict = _verdict(job)
    if verdict is None:
        job.state = JobState.QUEUED
    else:
        yield from make_final(state, job, verdict, at_ms)


def make_final(
    state: ShardState,
    job: JobInfo,
    verdict: Verdict,
    at_ms: int,
) -> Commands:
    """Keep a job's complete answer and tell those who wait for it."""
    drop_plans(state, job)
    job.state = verdict.state
    job.code = verdict.code
    job.detail = verdict.detail
    job.settled_ms = at_ms
    state.waiting.pop(job.spec.job_id, None)
    state.finals.append((at_ms, job.spec.job_id))
    yield JobFinal(job.spec.job_id)


def _verdict(job: JobInfo) -> Verdict | None:
    states = {task.state for task in job.tasks}
    if states == {TaskState.DONE}:
        return Verdict(JobState.DONE, int(Code.DONE))
    bad = states & {TaskState.UNKNOWN, TaskState.FAILED}
    is_cut_short = job.cancel_asked or (bad and job.spec.kind is Kind.GANG)
    if has_open(job) and not is_cut_short:
        return None
    if TaskState.UNKNOWN in states:
        detail = _detail(job, TaskState.UNKNOWN)
        return Verdict(JobState.UNKNOWN, int(Code.OUTCOME_UNKNOWN), detail)
    if job.cancel_asked:
        return Verdict(JobState.CANCELLED, int(Code.CANCELLED))
    if TaskState.FAILED not in states:
        return None
    detail = _detail(job, TaskState.FAILED)
    return Verdict(JobState.FAILED, _failed_code(job), detail)


def _failed_code(job: JobInfo) -> int:
    codes = {task.code for task in job.tasks if task.state is TaskState.FAILED}
    lapsed = int(Code.LEASE_LAPSED)
    return lapsed if codes == {lapsed} else int(Code.TASK_FAILED)


def _detail(job: JobInfo, state: TaskState) -> str:
    places = [
        (index, task)
        for index, task in enumerate(job.tasks)
        if task.state is state
    ]
    index, task = places[0]
    return (
        f'{len(places)} of {len(job.tasks)} tasks {state.value}; task {index}: '
        f'code {task.code}, attempt {task.attempt} on {task.worker}'
    )
