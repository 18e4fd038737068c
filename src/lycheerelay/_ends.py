"""Decide from recorded facts alone what the end of an attempt means."""

from collections.abc import Callable
from typing import Final

from ._codes import Code
from ._delays import delay_rerun, queue_again
from ._jobs import Kind, TaskState
from ._learn import record_run
from ._quarantine import record_failure, record_success
from ._records import Ended
from ._registry import Registry
from ._state import JobInfo, ShardState, TaskInfo

DEFAULT_MAX_ATTEMPTS: Final = 5
EndRule = Callable[[ShardState, JobInfo, TaskInfo, Ended], None]

END_RULES: Final[Registry[TaskState, EndRule]] = Registry('end rule')


def apply_end(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    record: Ended,
) -> None:
    """Give the task its next state."""
    task.state = record.state
    task.code = record.code
    task.answer = record.answer
    task.ending = False
    if job.spec.kind is Kind.GANG and record.state is not TaskState.DONE:
        job.restarting = True
    END_RULES[record.state](state, job, task, record)
    if job.cancel_asked and task.state is TaskState.QUEUED:
        task.state = record.state


@END_RULES.register(TaskState.DONE)
def keep_end(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    record: Ended,
) -> None:
    """Keep a complete answer for good."""
    record_success(state, task)
    record_run(state, job, task, record.at_ms)


@END_RULES.register(TaskState.UNKNOWN)
def keep_unknown(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    record: Ended,
) -> None:
    """Never run again what may have run."""
    task.code = int(Code.OUTCOME_UNKNOWN)


@END_RULES.register(TaskState.NOT_STARTED)
def rerun_unstarted(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    record: Ended,
) -> None:
    """Rerun any task whose worker says that it never started."""
    task.runs -= 1
    delay_rerun(state, job, task, record)


@END_RULES.register(TaskState.CHECKPOINTED)
def resume_checkpointed(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    record: Ended,
) -> None:
    """Resume from a checkpoint, at once and outside the retry budget."""
    if job.spec.checkpointable or job.spec.idempotent:
        queue_again(state, job, task, record.at_ms)
    else:
        task.state = TaskState.FAILED


@END_RULES.register(TaskState.STOPPED)
@END_RULES.register(TaskState.LAPSED)
def rerun_idempotent(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    record: Ended,
) -> None:
    """Rerun what was stopped midway, where that does no harm."""
    if job.spec.idempotent:
        delay_rerun(state, job, task, record)
    elif not job.cancel_asked:
        task.state = TaskState.FAILED
        task.code = record.code or int(Code.LEASE_LAPSED)


@END_RULES.register(TaskState.FAILED)
def retry_failed(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    record: Ended,
) -> None:
    """Retry an idempotent task until its attempts are used up."""
    task.failures += 1
    record_failure(state, job, task, record)
    allowed = job.max_attempts or DEFAULT_MAX_ATTEMPTS
    failures = task.failures
    if job.spec.kind is Kind.GANG:
        failures = sum(member.failures for member in job.tasks)
    is_over = failures >= allowed and job.spec.kind is not Kind.SERVICE
    if job.spec.idempotent and not is_over:
        delay_rerun(state, job, task, record)


def restart_gang(state: ShardState, job: JobInfo, at_ms: int) -> None:
    """Queue every task of a stopped gang, if each may run again."""
    job.restarting = False
    if job.cancel_asked:
        return
    again = {TaskState.QUEUED}
    if job.spec.idempotent:
        again.add(TaskState.DONE)
    if not {task.state for task in job.tasks} <= again:
        _fail_queued(job)
        return
    latest_ms = max(task.not_before_ms for task in job.tasks)
    for task in job.tasks:
        if task.state is TaskState.DONE:
            queue_again(state, job, task, at_ms)
        task.not_before_ms = latest_ms


def _fail_queued(job: JobInfo) -> None:
    for task in job.tasks:
        if task.state is TaskState.QUEUED:
            task.state = TaskState.FAILED
            task.code = task.code or int(Code.TASK_FAILED)
