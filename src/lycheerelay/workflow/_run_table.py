"""Reconcile the run tables of workers with the scheduling state."""

from typing import Final, NamedTuple

from .._resources import Resources
from ._commands import StopRun
from ._contact import regain_contact
from ._ends import (
    RunEnd,
    apply_end,
    discard_lost_run,
    find_step,
    keep_checkpoint,
    requeue,
)
from ._intake import steps_of
from ._log_events import log_event
from ._runs import attach_run, release_run, release_worker_runs, stop_run
from ._slow_workers import bar_worker_if_slow
from ._spec import RunKey
from ._state import NEVER, CellState, Run, RunState, TaskInfo, WorkerInfo


class RunTableRow(NamedTuple):
    """One run as listed by its worker.

    `load` is the tail latency in ms for a task with a tail latency target,
    otherwise the cores in use, in thousandths.
    """

    run: RunKey
    checkpoint: str
    percent: int
    load: int


class RunTable(NamedTuple):
    """The runs of a worker and the run ends that it still lists.

    `poll_sent_ms` is the local time at which the poll was sent, `clock_ms` the
    worker's clock when it replied. `born_ms` is the Unix time at which the
    worker started, or 0 if it does not tell.
    """

    worker_id: str
    poll_sent_ms: int
    clock_ms: int
    rows: tuple[RunTableRow, ...]
    ends: tuple[RunEnd, ...]
    born_ms: int = 0


class WorkerListing(NamedTuple):
    """Registration of one worker instance."""

    worker_id: str
    address: str
    pool: str
    domain: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    draining: bool


def list_worker(cell: CellState, listing: WorkerListing, now_ms: int) -> None:
    """Apply a new or changed registration."""
    if listing.worker_id in cell.removed_workers:
        return
    worker = cell.workers.get(listing.worker_id)
    if worker is None:
        worker = WorkerInfo(
            listing.worker_id,
            listing.address,
            listing.pool,
            listing.rack,
            listing.labels,
            listing.capacity,
            listing.domain,
            free=listing.capacity,
            last_contact_ms=now_ms,
        )
        cell.workers[listing.worker_id] = worker
        log_event(
            cell, 'worker_listed', worker=listing.worker_id, pool=listing.pool
        )
    elif listing.capacity != worker.capacity:
        used = worker.capacity.minus(worker.free)
        worker.capacity = listing.capacity
        worker.free = listing.capacity.minus(used)
    worker.pool = listing.pool
    worker.rack = listing.rack
    worker.labels = listing.labels
    worker.domain = listing.domain
    worker.listed = True
    if listing.draining and not worker.draining:
        worker.draining = True
        log_event(cell, 'worker_draining', worker=listing.worker_id)


def unlist_worker(cell: CellState, worker_id: str) -> None:
    """Stop starting runs on a worker whose registration is gone."""
    worker = cell.workers.get(worker_id)
    if worker is not None and worker.listed:
        worker.listed = False
        log_event(cell, 'worker_unlisted', worker=worker_id)


def remove_worker(
    cell: CellState,
    worker_id: str,
    now_ms: int,
    reason: str,
) -> None:
    """Remove a worker instance that is known to have ended."""
    cell.unsynced_workers.pop(worker_id, None)
    cell.removed_workers[worker_id] = None
    worker = cell.workers.pop(worker_id, None)
    if worker is None:
        return
    for run in release_worker_runs(cell, worker, reason):
        if not run.step.job.is_final:
            requeue(cell, run.step, run.task, now_ms)


def remove_replaced_worker(
    cell: CellState, worker_id: str, now_ms: int
) -> None:
    """Remove a worker whose address is served by another instance."""
    remove_worker(
        cell, worker_id, now_ms, 'replaced by another instance at its address'
    )


def expire_worker(cell: CellState, worker: WorkerInfo, now_ms: int) -> None:
    """Discard the runs of a worker whose leases have all expired."""
    worker.synced = False
    worker.unresponsive = True
    for run in release_worker_runs(cell, worker, 'its leases expired'):
        if not run.step.job.is_final:
            requeue(cell, run.step, run.task, now_ms)


def apply_run_table(cell: CellState, table: RunTable, now_ms: int) -> bool:
    """Apply a run table and return whether it contained new ends."""
    worker = cell.workers.get(table.worker_id)
    if worker is not None and table.born_ms != worker.born_ms:
        _log_start_of_worker(cell, worker, table)
    if worker is None or table.clock_ms < worker.table_clock_ms:
        # A newer table of this worker has already been applied.
        return False
    worker.table_clock_ms = table.clock_ms
    regain_contact(worker, now_ms)
    new_ends = [end for end in table.ends if end.number > worker.handled_end]
    for end in new_ends:
        apply_end(cell, worker, end, now_ms)
        worker.handled_end = end.number
    reported = {row.run for row in table.rows}
    reported.update(end.run for end in table.ends)
    for row in table.rows:
        _apply_row(cell, worker, row, now_ms)
    for run in list(worker.runs.values()):
        if run.key not in reported:
            _check_missing_run(cell, run, table.poll_sent_ms, now_ms)
    for run_key in list(worker.orphaned_runs):
        if run_key not in reported:
            worker.orphaned_runs.pop(run_key)
    if not worker.synced:
        worker.synced = True
        # Leases of an earlier owner may last until this time. Without it, the
        # runs of a worker that crashes before its first lease from this owner
        # would never expire.
        worker.lease_until_ms = max(
            worker.lease_until_ms, cell.previous_orders_expire_ms
        )
        cell.unsynced_workers.pop(worker.worker_id, None)
        log_event(
            cell,
            'worker_synced',
            worker=worker.worker_id,
            runs=len(table.rows),
            ends=len(new_ends),
        )
    return bool(new_ends)


def _log_start_of_worker(
    cell: CellState, worker: WorkerInfo, table: RunTable
) -> None:
    log_event(
        cell,
        'worker_born',
        worker=worker.worker_id,
        born=table.born_ms,
        before=worker.born_ms,
        handled_end=worker.handled_end,
        listed_ends=tuple(end.number for end in table.ends),
        clock_ms=table.clock_ms,
        before_clock_ms=worker.table_clock_ms,
        runs=len(worker.runs),
    )
    worker.born_ms = table.born_ms


def _apply_row(
    cell: CellState,
    worker: WorkerInfo,
    row: RunTableRow,
    now_ms: int,
) -> None:
    run = worker.runs.get(row.run)
    if run is None:
        run = _adopt_run(cell, worker, row.run, now_ms)
        if run is None:
            worker.orphaned_runs[row.run] = None
            cell.outbox.append(StopRun(worker.worker_id, row.run))
            return
    if run.state is RunState.SENT:
        run.state = RunState.RUNNING
        run.answered_ms = now_ms
    if run.state is RunState.STOPPING:
        stop_run(cell, run, now_ms, run.stop_reason)
    if row.percent != run.percent:
        run.percent = row.percent
        run.percent_ms = now_ms
    run.load = row.load
    bar_worker_if_slow(cell, worker, run, now_ms)
    if row.checkpoint and row.checkpoint != run.task.checkpoint:
        keep_checkpoint(run.step, run.task, row.checkpoint)


def _adopt_run(
    cell: CellState,
    worker: WorkerInfo,
    key: RunKey,
    now_ms: int,
) -> Run | None:
    step = find_step(cell, key)
    if step is None:
        return None
    run = Run(key, worker, step, step.spec.demand, now_ms)
    run.state = RunState.RUNNING
    run.answered_ms = now_ms
    others = step.tasks[key.task.member].runs
    is_extra = bool(others) and not step.spec.copies
    if not step.spec.gang and is_extra:
        newest = max(others)
        if newest > key.number:
            attach_run(run)
            stop_run(cell, run, now_ms, 'a later run of the task exists')
            return run
        stop_run(cell, others[newest], now_ms, 'a later run of the task exists')
    attach_run(run)
    step.job.started = True
    step.waiting.pop(key.task.member, None)
    if step.job.is_final or step.tasks[key.task.member].done:
        stop_run(cell, run, now_ms, 'its job or task is already finished')
    log_event(cell, 'run_adopted', run=key, worker=worker.worker_id)
    return run


# An unanswered start is considered void only this long after its deadline, to
# allow for a slow worker clock and network latency.
START_EXPIRY_MARGIN_MS: Final = 300


def _check_missing_run(
    cell: CellState,
    run: Run,
    poll_sent_ms: int,
    now_ms: int,
) -> None:
    is_answered = run.answered_ms != NEVER
    if is_answered and run.answered_ms < poll_sent_ms:
        discard_lost_run(cell, run, now_ms, 'its worker no longer lists it')
        return
    if run.stop_answered_ms != NEVER and run.stop_answered_ms < poll_sent_ms:
        discard_lost_run(cell, run, now_ms, 'stopped before it started')
        return
    if (
        run.state is RunState.SENT
        and NEVER < run.start_unknown_ms <= poll_sent_ms
    ):
        stop_run(cell, run, now_ms, 'its start order was not answered')
        return
    expires_ms = run.start_expires_ms
    if is_answered or expires_ms == NEVER:
        return
    if expires_ms + START_EXPIRY_MARGIN_MS < poll_sent_ms:
        discard_lost_run(
            cell, run, now_ms, 'its start order expired without an answer'
        )


def stop_incomplete_gangs(cell: CellState, now_ms: int) -> None:
    """Stop gangs started by an earlier owner that lack a member."""
    for job in cell.jobs.values():
        for step in steps_of(job):
            if step.spec.gang and step.has_runs and not step.is_done:
                _stop_if_incomplete(cell, step.tasks, now_ms)


def _stop_if_incomplete(
    cell: CellState, members: list[TaskInfo], now_ms: int
) -> None:
    numbers = [set(member.runs) for member in members]
    if not set.intersection(*numbers):
        for member in members:
            for run in list(member.runs.values()):
                stop_run(cell, run, now_ms, 'gang members are missing')


def drop_run(cell: CellState, run: Run, now_ms: int) -> None:
    """Release a run that its worker did not start."""
    release_run(run)
    if not run.step.job.is_final:
        requeue(cell, run.step, run.task, now_ms)
