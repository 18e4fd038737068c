"""Follow workers, their leases and the right to place."""

from ._commands import Append, StartTask, StopTask
from ._events import (
    Configured,
    LeaseHeld,
    LeaseLost,
    WorkerListed,
    WorkerUnlisted,
)
from ._handle_tasks import take_report
from ._handlers import FOLDS, HANDLERS, Commands
from ._jobs import AttemptKey, TaskState
from ._records import Ended, TermTaken
from ._state import JobBook, ShardState, TaskBook, WorkerBook


@HANDLERS.register(WorkerListed)
def on_listed(
    state: ShardState,
    event: WorkerListed,
    now_ms: int,
) -> Commands:
    """Open or update the book of a worker."""
    known = state.workers.get(event.spec.name)
    if known is None:
        known = WorkerBook(
            event.spec,
            event.spec.capacity,
            lost_ms=now_ms,
            ledger=state.ledger,
        )
        state.workers[event.spec.name] = known
        _charge_recorded(state, known)
    known.leaving = known.leaving or event.spec.leaving
    known.spec = event.spec
    yield from ()


def _charge_recorded(state: ShardState, worker: WorkerBook) -> None:
    for job_id, job in state.jobs.items():
        for index, task in enumerate(job.tasks):
            if task.is_live and task.worker == worker.spec.name:
                key = AttemptKey(job_id, index, task.attempt)
                worker.charge(key, job.spec.demand)


@HANDLERS.register(WorkerUnlisted)
def on_unlisted(
    state: ShardState,
    event: WorkerUnlisted,
    now_ms: int,
) -> Commands:
    """Give a worker no new work once the list drops it."""
    worker = state.workers.get(event.worker)
    if worker is not None:
        worker.leaving = True
    yield from ()


@HANDLERS.register(Configured)
def on_configured(
    state: ShardState,
    event: Configured,
    now_ms: int,
) -> Commands:
    """Use a newer configuration; an older one never comes back."""
    if event.policy.version > state.policy.version:
        state.policy = event.policy
    yield from ()


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
    yield from ()


@HANDLERS.register(LeaseHeld)
def on_lease_held(
    state: ShardState,
    event: LeaseHeld,
    now_ms: int,
) -> Commands:
    """Compare the books with the worker's own table, then place there."""
    worker = state.workers.get(event.worker)
    if worker is None or event.term != state.term or not state.is_owner:
        return
    worker.ready = True
    state.ledger.touched[event.worker] = None
    worker.term = event.term
    worker.boot = event.boot
    worker.leaving = worker.leaving or event.leaving
    for report in event.table:
        yield from take_report(state, report, now_ms)
        yield from _stop_unwanted(state, worker, report.key)
    present = {report.key for report in event.table}
    for key in tuple(worker.charges):
        if key not in present:
            yield from _resolve_absent(state, worker, key, now_ms)


def _stop_unwanted(
    state: ShardState,
    worker: WorkerBook,
    key: AttemptKey,
) -> Commands:
    job = state.jobs.get(key.job_id)
    if job is None or not job.tasks[key.task_index].is_live:
        return
    if job.cancel_asked:
        yield StopTask(worker.spec.name, state.term, key, checkpoint=False)


def _resolve_absent(
    state: ShardState,
    worker: WorkerBook,
    key: AttemptKey,
    now_ms: int,
) -> Commands:
    job = state.jobs[key.job_id]
    task = job.tasks[key.task_index]
    if not task.recorded or task.ending or task.attempt != key.attempt:
        return
    if task.boot != worker.boot:
        task.ending = True
        yield Append(_lost_attempt(state.pool, job, key, now_ms))
    elif job.cancel_asked:
        yield StopTask(worker.spec.name, state.term, key, checkpoint=False)
    else:
        yield StartTask(worker.spec.name, state.term, key, job.spec)


def _lost_attempt(
    pool: str,
    job: JobBook,
    key: AttemptKey,
    now_ms: int,
) -> Ended:
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
    )


@FOLDS.register(TermTaken)
def fold_term(
    state: ShardState,
    record: TermTaken,
    now_ms: int,
) -> Commands:
    """Accept a higher term; drop what an older term only planned."""
    if record.term <= state.term:
        return
    state.term = record.term
    state.owner = record.owner
    for worker in state.workers.values():
        worker.ready = False
        worker.lost_ms = now_ms
    for job_id, job in state.jobs.items():
        for index, task in enumerate(job.tasks):
            if task.is_live and not task.recorded:
                _drop_plan(state, AttemptKey(job_id, index, task.attempt), task)
    yield from ()


def _drop_plan(state: ShardState, key: AttemptKey, task: TaskBook) -> None:
    worker = state.workers.get(task.worker)
    if worker is not None:
        worker.release(key)
    task.state = TaskState.QUEUED
    state.waiting[key.job_id] = None
