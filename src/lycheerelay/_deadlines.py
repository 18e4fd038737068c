"""Finalize jobs whose deadline passed before they could run."""

from heapq import heappop, heappush
from typing import Final

from ._allocations import has_queued_task
from ._codes import Code
from ._commands import Append
from ._handlers import Commands
from ._jobs import JobState
from ._records import Settled
from ._state import JobInfo, ShardState

RECHECK_INTERVAL_MS: Final = 2000


def watch_deadline(state: ShardState, job: JobInfo) -> None:
    """Track a job's deadline, if it has one."""
    if job.spec.deadline_ms:
        entry = (job.spec.deadline_ms, job.spec.job_id)
        heappush(state.deadlines, entry)


def finalize_expired_jobs(state: ShardState, now_ms: int) -> Commands:
    """Record the final result of jobs whose deadline passed in the queue.

    Attempts that are live may end first. Each job is checked again after
    RECHECK_INTERVAL_MS until it is final.
    """
    while state.deadlines and state.deadlines[0][0] < now_ms:
        _, job_id = heappop(state.deadlines)
        job = state.jobs.get(job_id)
        if job is None or job.is_final:
            continue
        heappush(state.deadlines, (now_ms + RECHECK_INTERVAL_MS, job_id))
        is_idle = has_queued_task(job) and not any(
            task.is_live for task in job.tasks
        )
        if state.is_owner and is_idle:
            state.waiting.pop(job_id, None)
            yield Append(_expiry_record(state, job, now_ms))


def _expiry_record(state: ShardState, job: JobInfo, now_ms: int) -> Settled:
    if job.not_run:
        job_state, detail = JobState.REFUSED, 'no task was ever started'
    else:
        ran = sum(bool(task.runs) for task in job.tasks)
        job_state = JobState.FAILED
        detail = f'{ran} of {len(job.tasks)} tasks were started before'
    return Settled(
        state.pool,
        job.spec.job_id,
        job_state.value,
        int(Code.DEADLINE_PASSED),
        f'the deadline passed; {detail}',
        now_ms,
        state.term,
    )
