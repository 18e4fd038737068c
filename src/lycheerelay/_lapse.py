"""Prove attempts over that their worker can no longer speak for."""

from ._commands import Append
from ._events import LeaseLost, OwnershipConfirmed
from ._handlers import HANDLERS, Commands
from ._jobs import AttemptKey, TaskState
from ._records import Ended
from ._state import JobInfo, ShardState, WorkerInfo


@HANDLERS.register(LeaseLost)
def on_lease_lost(
    state: ShardState,
    event: LeaseLost,
    now_ms: int,
) -> Commands:
    """Give a worker no new work until its lease is held again."""
    worker = state.workers.get(event.worker)
    if worker is not None and worker.ready:
        worker.ready = False
        worker.lost_ms = now_ms
        follow_majority(state, now_ms)
    yield from ()


@HANDLERS.register(OwnershipConfirmed)
def on_confirmed(
    state: ShardState,
    event: OwnershipConfirmed,
    now_ms: int,
) -> Commands:
    """Call attempts over on workers that are unreachable for long enough."""
    if not state.is_owner or event.term != state.term:
        return
    state.confirmed_ms = max(state.confirmed_ms, event.at_ms)
    if state.majority_ms < 0:
        return
    for worker in state.workers.values():
        if worker.charges and is_lapsed(state, worker):
            yield from _lapse_worker(state, worker, now_ms)


def is_lapsed(state: ShardState, worker: WorkerInfo) -> bool:
    """Tell whether every task lease of an unreachable worker ran out.

    Where this term never held the worker, an earlier holder may have
    renewed task leases until it had to stop for lack of log and majority.
    """
    if worker.ready or state.majority_ms < 0:
        return False
    limits = state.policy.limits
    wait_ms = limits.task_ttl_ms + limits.clock_margin_ms
    if worker.term == state.term:
        return state.confirmed_ms >= worker.lost_ms + wait_ms
    since_ms = max(worker.lost_ms, state.majority_ms)
    return state.confirmed_ms >= since_ms + 2 * wait_ms


def follow_majority(state: ShardState, now_ms: int) -> None:
    """Note since when most of the listed workers are held."""
    listed = [worker for worker in state.workers.values() if worker.listed]
    held = sum(worker.ready for worker in listed)
    if 2 * held <= len(listed):
        state.majority_ms = -1
    elif state.majority_ms < 0:
        state.majority_ms = now_ms


def _lapse_worker(
    state: ShardState,
    worker: WorkerInfo,
    now_ms: int,
) -> Commands:
    for key in tuple(worker.charges):
        yield from call_over(state, key, now_ms)


def call_over(
    state: ShardState,
    key: AttemptKey,
    now_ms: int,
) -> Commands:
    """Record an attempt as over whose outcome cannot be learned."""
    job = state.jobs.get(key.job_id)
    task = job.task(key.task_index) if job else None
    if job is None or task is None or task.attempt != key.attempt:
        return
    if task.may_run and not task.ending:
        task.ending = True
        yield Append(_lost_attempt(state.pool, job, key, now_ms))


def _lost_attempt(
    pool: str,
    job: JobInfo,
    key: AttemptKey,
    now_ms: int,
) -> Ended:
    task = job.tasks[key.task_index]
    rerun = job.spec.idempotent
    lost_state = TaskState.LAPSED if rerun else TaskState.UNKNOWN
    return Ended(
        pool,
        key.job_id,
        key.task_index,
        key.attempt,
        lost_state,
        0,
        '',
        now_ms,
        task.worker,
        task.boot,
    )
