"""Follow workers, their leases and the right to place."""

from ._allocations import drop_plans, has_queued, take_unlisted
from ._commands import StartTask
from ._events import Configured, LeaseHeld, WorkerListed, WorkerUnlisted
from ._handlers import FOLDS, HANDLERS, Commands
from ._jobs import AttemptKey
from ._lapse import call_over, follow_majority
from ._quarantine import reset_worker_failures
from ._records import TermTaken
from ._reports import OPEN_STATES, Sender, stop_task, take_report
from ._retire import retire_worker
from ._state import JobInfo, ShardState, WorkerInfo


@HANDLERS.register(WorkerListed)
def on_listed(
    state: ShardState,
    event: WorkerListed,
    now_ms: int,
) -> Commands:
    """Open or update the book of a worker."""
    name = event.spec.name
    known = state.workers.get(name)
    if known is None:
        known = WorkerInfo(
            event.spec,
            event.spec.capacity,
            lost_ms=now_ms,
            ledger=state.ledger,
        )
        state.workers[name] = known
        take_unlisted(state, name)
    elif known.spec.capacity != event.spec.capacity:
        grown = event.spec.capacity.minus(known.spec.capacity)
        known.free = known.free.plus(grown)
    known.listed = True
    state.ledger.touched[name] = None
    known.spec = event.spec
    known.follow_leaving()
    follow_majority(state, now_ms)
    yield from ()


@HANDLERS.register(WorkerUnlisted)
def on_unlisted(
    state: ShardState,
    event: WorkerUnlisted,
    now_ms: int,
) -> Commands:
    """Give a worker no new work once the list drops it."""
    worker = state.workers.get(event.worker)
    if worker is not None:
        worker.listed = False
        worker.follow_leaving()
        follow_majority(state, now_ms)
        retire_worker(state, worker)
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
    _take_lease(state, worker, event)
    follow_majority(state, now_ms)
    sender = Sender(event.worker, event.boot)
    present = set()
    for report in event.table:
        if report.state not in OPEN_STATES:
            present.add(report.key)
        yield from take_report(state, sender, report, now_ms)
    for key in tuple(worker.charges):
        yield from _resolve(state, worker, key, key in present, now_ms)


def _take_lease(
    state: ShardState,
    worker: WorkerInfo,
    event: LeaseHeld,
) -> None:
    if worker.boot not in {'', event.boot}:
        reset_worker_failures(state, worker)
    worker.ready = True
    state.ledger.touched[event.worker] = None
    worker.term = event.term
    worker.boot = event.boot
    worker.told_leaving = event.leaving
    worker.follow_leaving()
    worker.strays.clear()


def _resolve(
    state: ShardState,
    worker: WorkerInfo,
    key: AttemptKey,
    is_present: bool,
    now_ms: int,
) -> Commands:
    job = state.jobs.get(key.job_id)
    task = job.task(key.task_index) if job else None
    if job is None or task is None or task.ending:
        return
    if not task.may_run or task.attempt != key.attempt:
        return
    if task.boot != worker.boot:
        yield from call_over(state, key, now_ms)
    elif job.cancel_asked or job.restarting:
        yield stop_task(state, job, key.task_index)
    elif not is_present:
        yield _repeat_start(state, job, key)


def _repeat_start(
    state: ShardState,
    job: JobInfo,
    key: AttemptKey,
) -> StartTask:
    task = job.tasks[key.task_index]
    return StartTask(task.worker, state.term, key, job.spec, task.boot)


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
    state.majority_ms = -1
    state.confirmed_ms = -1
    for worker in state.workers.values():
        worker.ready = False
        worker.lost_ms = now_ms
        worker.strays.clear()
    for job in state.jobs.values():
        if not job.is_final:
            _start_over(state, job)
    yield from ()


def _start_over(state: ShardState, job: JobInfo) -> None:
    drop_plans(state, job)
    for task in job.tasks:
        task.ending = False
    if has_queued(job) and not job.cancel_asked:
        state.waiting[job.spec.job_id] = None
