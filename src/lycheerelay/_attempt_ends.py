"""Define how the end of an attempt changes its task.

The rules use recorded data only, so that every node derives the same state.
"""

from collections.abc import Callable
from typing import Final

from ._codes import Code
from ._delays import requeue, requeue_with_backoff
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
    """Apply the rule for the state in which an attempt ended."""
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
def complete_task(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    record: Ended,
) -> None:
    """Keep the answer of a completed task."""
    record_success(state, task)
    record_run(state, job, task, record.at_ms)


@END_RULES.register(TaskState.UNKNOWN)
def keep_unknown(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    record: Ended,
) -> None:
    """Never rerun a task that may have run."""
    task.code = int(Code.OUTCOME_UNKNOWN)


@END_RULES.register(TaskState.NOT_STARTED)
def rerun_unstarted(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    record: Ended,
) -> None:
    """Rerun a task whose worker confirms that it never started."""
    task.runs -= 1
    requeue_with_backoff(state, job, task, record)


@END_RULES.register(TaskState.CHECKPOINTED)
def resume_checkpointed(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    record: Ended,
) -> None:
    """Resume from a checkpoint at once, outside the retry budget."""
    if job.spec.checkpointable or job.spec.idempotent:
        requeue(state, job, task, record.at_ms)
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
    """Rerun a task that was stopped or lost, if it is idempotent."""
    if job.spec.idempotent:
        requeue_with_backoff(state, job, task, record)
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
    """Retry an idempotent task until its attempts are used up.

    The members of a gang share one limit; services have none.
    """
    task.failures += 1
    record_failure(state, job, task, record)
    allowed = job.max_attempts or DEFAULT_MAX_ATTEMPTS
    failures = task.failures
    if job.spec.kind is Kind.GANG:
        failures = sum(member.failures for member in job.tasks)
    is_exhausted = failures >= allowed and job.spec.kind is not Kind.SERVICE
    if job.spec.idempotent and not is_exhausted:
        requeue_with_backoff(state, job, task, record)


def restart_gang(state: ShardState, job: JobInfo, at_ms: int) -> None:
    """Requeue every task of a stopped gang, if each may be rerun."""
    job.restarting = False
    if job.cancel_asked:
        return
    rerunnable = {TaskState.QUEUED}
    if job.spec.idempotent:
        rerunnable.add(TaskState.DONE)
    if not {task.state for task in job.tasks} <= rerunnable:
        _fail_queued(job)
        return
    latest_ms = max(task.not_before_ms for task in job.tasks)
    for task in job.tasks:
        if task.state is TaskState.DONE:
            requeue(state, job, task, at_ms)
        task.not_before_ms = latest_ms


def _fail_queued(job: JobInfo) -> None:
    for task in job.tasks:
        if task.state is TaskState.QUEUED:
            task.state = TaskState.FAILED
            task.code = task.code or int(Code.TASK_FAILED)
