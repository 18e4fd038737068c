"""Hold back reruns until their delay and the retry budget let them go."""

from heapq import heappop, heappush
from typing import Final

from ._jobs import AttemptKey, TaskState
from ._records import Ended
from ._retry import RetryPace, retry_delay_ms
from ._state import JobInfo, ShardState, TaskInfo

DENIED_DELAY_MS: Final = 1000


def queue_again(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    at_ms: int,
) -> None:
    """Let a task be placed again at once."""
    task.state = TaskState.QUEUED
    task.recorded = False
    task.not_before_ms = at_ms
    if not job.cancel_asked:
        state.waiting[job.spec.job_id] = None


def delay_rerun(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    record: Ended,
) -> None:
    """Queue a task again after an exponential delay with jitter."""
    queue_again(state, job, task, record.at_ms)
    if job.cancel_asked:
        return
    limits = state.policy.limits
    pace = RetryPace(limits.retry_base_ms, limits.retry_max_ms)
    tries = max(task.failures, task.attempt)
    delay_ms = retry_delay_ms(pace, tries, record.key.to_text())
    _hold(state, task, record.key, record.at_ms + delay_ms)


def release_due(state: ShardState, now_ms: int) -> None:
    """Let delayed reruns go; the owner spends its retry budget on them."""
    while state.delayed and state.delayed[0][0] <= now_ms:
        _, key = heappop(state.delayed)
        task = _delayed_task(state, key)
        if task is None:
            continue
        if state.is_owner and not state.budget.may_rerun(now_ms):
            _hold(state, task, key, now_ms + DENIED_DELAY_MS)
        state.waiting[key.job_id] = None


def _delayed_task(state: ShardState, key: AttemptKey) -> TaskInfo | None:
    job = state.jobs.get(key.job_id)
    if job is None or job.is_final or job.cancel_asked:
        return None
    task = job.tasks[key.task_index]
    is_due = task.state is TaskState.QUEUED and task.attempt == key.attempt
    return task if is_due else None


def _hold(
    state: ShardState,
    task: TaskInfo,
    key: AttemptKey,
    until_ms: int,
) -> None:
    task.not_before_ms = until_ms
    heappush(state.delayed, (until_ms, key))
