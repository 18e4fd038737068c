"""Handle the VM list, worker leases and claims of ownership."""

from ._allocations import drop_plans, has_queued_task, transfer_unlisted_charges
from ._commands import StartTask
from ._events import Configured, LeaseHeld, WorkerListed, WorkerUnlisted
from ._handlers import EVENT_HANDLERS, RECORD_HANDLERS, Commands
from ._jobs import AttemptKey
from ._lost_attempts import record_lost_attempt, update_majority
from ._quarantine import reset_worker_failures
from ._records import TermTaken
from ._reports import (
    INCONCLUSIVE_STATES,
    ReportSender,
    apply_report,
    stop_command,
)
from ._retire import retire_worker
from ._state import JobInfo, ShardState, WorkerInfo


@EVENT_HANDLERS.register(WorkerListed)
def on_listed(
    state: ShardState,
    event: WorkerListed,
    now_ms: int,
) -> Commands:
    """Add or update a worker."""
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
        transfer_unlisted_charges(state, name)
    elif known.spec.capacity != event.spec.capacity:
        growth = event.spec.capacity.minus(known.spec.capacity)
        known.free = known.free.plus(growth)
    known.listed = True
    state.ledger.touched[name] = None
    known.spec = event.spec
    known.update_leaving()
    update_majority(state, now_ms)
    yield from ()


@EVENT_HANDLERS.register(WorkerUnlisted)
def on_unlisted(
    state: ShardState,
    event: WorkerUnlisted,
    now_ms: int,
) -> Commands:
    """Stop placing on a worker that the VM list dropped."""
    worker = state.workers.get(event.worker)
    if worker is not None:
        worker.listed = False
        worker.update_leaving()
        update_majority(state, now_ms)
        retire_worker(state, worker)
    yield from ()


@EVENT_HANDLERS.register(Configured)
def on_configured(
    state: ShardState,
    event: Configured,
    now_ms: int,
) -> Commands:
    """Apply a configuration if it is newer than the current one."""
    if event.policy.version > state.policy.version:
        state.policy = event.policy
    yield from ()


@EVENT_HANDLERS.register(LeaseHeld)
def on_lease_held(
    state: ShardState,
    event: LeaseHeld,
    now_ms: int,
) -> Commands:
    """Reconcile the state with a worker's run table; allow placement there."""
    worker = state.workers.get(event.worker)
    if worker is None or event.term != state.term or not state.is_owner:
        return
    _update_lease(state, worker, event)
    update_majority(state, now_ms)
    sender = ReportSender(event.worker, event.boot)
    present = set()
    for report in event.table:
        if report.state not in INCONCLUSIVE_STATES:
            present.add(report.key)
        yield from apply_report(state, sender, report, now_ms)
    for key in tuple(worker.charges):
        yield from _reconcile_attempt(
            state, worker, key, key in present, now_ms
        )


def _update_lease(
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
    worker.update_leaving()
    worker.strays.clear()


def _reconcile_attempt(
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
        yield from record_lost_attempt(state, key, now_ms)
    elif job.cancel_asked or job.restarting:
        yield stop_command(state, job, key.task_index)
    elif not is_present:
        yield _start_command(state, job, key)


def _start_command(
    state: ShardState,
    job: JobInfo,
    key: AttemptKey,
) -> StartTask:
    task = job.tasks[key.task_index]
    return StartTask(task.worker, state.term, key, job.spec, task.boot)


@RECORD_HANDLERS.register(TermTaken)
def apply_term(
    state: ShardState,
    record: TermTaken,
    now_ms: int,
) -> Commands:
    """Apply a higher term; discard the plans of the older one."""
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
            _reset_job(state, job)
    yield from ()


def _reset_job(state: ShardState, job: JobInfo) -> None:
    drop_plans(state, job)
    for task in job.tasks:
        task.ending = False
    if has_queued_task(job) and not job.cancel_asked:
        state.waiting[job.spec.job_id] = None
