"""Delay reruns until their backoff and the retry budget allow them."""

from heapq import heappop, heappush
from typing import Final

from ._jobs import AttemptKey, TaskState
from ._records import Ended
from ._retry import RetryDelays, retry_delay_ms
from ._state import JobInfo, ShardState, TaskInfo

DENIED_RERUN_DELAY_MS: Final = 1000


def requeue(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    at_ms: int,
) -> None:
    """Queue a task again without delay."""
    task.state = TaskState.QUEUED
    task.recorded = False
    task.not_before_ms = at_ms
    if not job.cancel_asked:
        state.waiting[job.spec.job_id] = None


def requeue_with_backoff(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    record: Ended,
) -> None:
    """Queue a task again after an exponential delay with jitter."""
    requeue(state, job, task, record.at_ms)
    if job.cancel_asked:
        return
    limits = state.policy.limits
    delays = RetryDelays(limits.retry_base_ms, limits.retry_max_ms)
    attempts = max(task.failures, task.attempt)
    delay_ms = retry_delay_ms(delays, attempts, record.key.to_text())
    _delay_until(state, task, record.key, record.at_ms + delay_ms)


def release_due_reruns(state: ShardState, now_ms: int) -> None:
    """Release due reruns; the owner spends its retry budget on them."""
    while state.delayed and state.delayed[0][0] <= now_ms:
        _, key = heappop(state.delayed)
        task = _delayed_task(state, key)
        if task is None:
            continue
        if state.is_owner and not state.budget.may_rerun(now_ms):
            _delay_until(state, task, key, now_ms + DENIED_RERUN_DELAY_MS)
        state.waiting[key.job_id] = None


def _delayed_task(state: ShardState, key: AttemptKey) -> TaskInfo | None:
    job = state.jobs.get(key.job_id)
    if job is None or job.is_final or job.cancel_asked:
        return None
    task = job.tasks[key.task_index]
    is_due = task.state is TaskState.QUEUED and task.attempt == key.attempt
    return task if is_due else None


def _delay_until(
    state: ShardState,
    task: TaskInfo,
    key: AttemptKey,
    until_ms: int,
) -> None:
    task.not_before_ms = until_ms
    heappush(state.delayed, (until_ms, key))
