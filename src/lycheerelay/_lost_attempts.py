"""Record attempts as ended whose worker can no longer report on them."""

from ._commands import Append
from ._events import LeaseLost, OwnershipConfirmed
from ._handlers import EVENT_HANDLERS, Commands
from ._jobs import AttemptKey, TaskState
from ._records import Ended
from ._state import JobInfo, ShardState, WorkerInfo


@EVENT_HANDLERS.register(LeaseLost)
def on_lease_lost(
    state: ShardState,
    event: LeaseLost,
    now_ms: int,
) -> Commands:
    """Stop placing on a worker until its lease is held again."""
    worker = state.workers.get(event.worker)
    if worker is not None and worker.ready:
        worker.ready = False
        worker.lost_ms = now_ms
        update_majority(state, now_ms)
    yield from ()


@EVENT_HANDLERS.register(OwnershipConfirmed)
def on_confirmed(
    state: ShardState,
    event: OwnershipConfirmed,
    now_ms: int,
) -> Commands:
    """Record attempts as lost on workers whose task leases expired."""
    if not state.is_owner or event.term != state.term:
        return
    state.confirmed_ms = max(state.confirmed_ms, event.at_ms)
    if state.majority_ms < 0:
        return
    for worker in state.workers.values():
        if worker.charges and are_leases_expired(state, worker):
            yield from _end_worker_attempts(state, worker, now_ms)


def are_leases_expired(state: ShardState, worker: WorkerInfo) -> bool:
    """Return whether every task lease of an unreachable worker expired.

    If this term never held the worker's lease, an earlier owner may have
    renewed task leases until it lost the log and the majority of workers. The
    wait is then doubled and starts when this term holds a majority, or later.
    """
    if worker.ready or state.majority_ms < 0:
        return False
    limits = state.policy.limits
    wait_ms = limits.task_ttl_ms + limits.clock_margin_ms
    if worker.term == state.term:
        return state.confirmed_ms >= worker.lost_ms + wait_ms
    since_ms = max(worker.lost_ms, state.majority_ms)
    return state.confirmed_ms >= since_ms + 2 * wait_ms


def update_majority(state: ShardState, now_ms: int) -> None:
    """Track since when this node holds leases of most listed workers."""
    listed = [worker for worker in state.workers.values() if worker.listed]
    held = sum(worker.ready for worker in listed)
    if 2 * held <= len(listed):
        state.majority_ms = -1
    elif state.majority_ms < 0:
        state.majority_ms = now_ms


def _end_worker_attempts(
    state: ShardState,
    worker: WorkerInfo,
    now_ms: int,
) -> Commands:
    for key in tuple(worker.charges):
        yield from record_lost_attempt(state, key, now_ms)


def record_lost_attempt(
    state: ShardState,
    key: AttemptKey,
    now_ms: int,
) -> Commands:
    """Record the end of an attempt whose outcome cannot be determined."""
    job = state.jobs.get(key.job_id)
    task = job.task(key.task_index) if job else None
    if job is None or task is None or task.attempt != key.attempt:
        return
    if task.may_run and not task.ending:
        task.ending = True
        yield Append(_lost_attempt_record(state.pool, job, key, now_ms))


def _lost_attempt_record(
    pool: str,
    job: JobInfo,
    key: AttemptKey,
    now_ms: int,
) -> Ended:
    task = job.tasks[key.task_index]
    may_rerun = job.spec.idempotent
    lost_state = TaskState.LAPSED if may_rerun else TaskState.UNKNOWN
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
