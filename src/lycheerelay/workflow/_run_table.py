"""Compare what workers say they run with the books."""

from typing import Final, NamedTuple

from .._resources import Resources
from ._commands import StopRun
from ._ends import (
    RunEnd,
    apply_end,
    find_step,
    keep_checkpoint,
    requeue,
    run_vanished,
)
from ._intake import steps_of
from ._log_events import log_event
from ._runs import adopt, release_run, release_worker_runs, stop_run
from ._slow_workers import judge_pace
from ._spec import RunKey
from ._state import NEVER, CellState, Run, RunState, TaskInfo, WorkerInfo


class RunTableRow(NamedTuple):
    """Tell one run as its worker lists it.

    `load` is the tail of response times in ms for a task that serves, else
    the thousandths of a core in use.
    """

    run: RunKey
    checkpoint: str
    percent: int
    load: int


class RunTable(NamedTuple):
    """Tell all that a worker runs and which ends it still lists.

    `asked_ms` is the own time of the question, `clock_ms` the worker's clock
    at the answer.
    """

    worker_id: str
    asked_ms: int
    clock_ms: int
    rows: tuple[RunTableRow, ...]
    ends: tuple[RunEnd, ...]


class WorkerListing(NamedTuple):
    """Describe one life of a worker as it registered itself."""

    worker_id: str
    address: str
    pool: str
    domain: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    draining: bool


def list_worker(cell: CellState, entry: WorkerListing, now_ms: int) -> None:
    """Take in a new or changed registration."""
    if entry.worker_id in cell.removed_workers:
        return
    worker = cell.workers.get(entry.worker_id)
    if worker is None:
        worker = WorkerInfo(
            entry.worker_id,
            entry.address,
            entry.pool,
            entry.rack,
            entry.labels,
            entry.capacity,
            entry.domain,
            free=entry.capacity,
            last_contact_ms=now_ms,
        )
        cell.workers[entry.worker_id] = worker
        log_event(
            cell, 'worker_listed', worker=entry.worker_id, pool=entry.pool
        )
    elif entry.capacity != worker.capacity:
        used = worker.capacity.minus(worker.free)
        worker.capacity = entry.capacity
        worker.free = entry.capacity.minus(used)
    worker.pool = entry.pool
    worker.rack = entry.rack
    worker.labels = entry.labels
    worker.domain = entry.domain
    worker.listed = True
    if entry.draining and not worker.draining:
        worker.draining = True
        log_event(cell, 'worker_draining', worker=entry.worker_id)


def unlist_worker(cell: CellState, worker_id: str) -> None:
    """Start nothing more on a worker whose registration is gone."""
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
    """Forget a worker whose life is proved to be over."""
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
    """Forget a worker at whose address another life answers."""
    remove_worker(cell, worker_id, now_ms, 'another life answers there')


def expire_worker(cell: CellState, worker: WorkerInfo, now_ms: int) -> None:
    """Give up the runs of a worker after every lease there has run out."""
    worker.synced = False
    worker.unresponsive = True
    for run in release_worker_runs(cell, worker, 'leases ran out'):
        if not run.step.job.is_final:
            requeue(cell, run.step, run.task, now_ms)


def apply_run_table(cell: CellState, table: RunTable, now_ms: int) -> bool:
    """Bring the books in line with a table; return whether ends came."""
    worker = cell.workers.get(table.worker_id)
    if worker is None or table.clock_ms < worker.table_clock_ms:
        # An answer that a later one has overtaken tells nothing new.
        return False
    worker.table_clock_ms = table.clock_ms
    worker.last_contact_ms = now_ms
    worker.unresponsive = False
    fresh = [end for end in table.ends if end.number > worker.handled_end]
    for end in fresh:
        apply_end(cell, worker, end, now_ms)
        worker.handled_end = end.number
    shown = {row.run for row in table.rows}
    shown.update(end.run for end in table.ends)
    for row in table.rows:
        _apply_row(cell, worker, row, now_ms)
    for run in list(worker.runs.values()):
        if run.key not in shown:
            _judge_absent(cell, run, table.asked_ms, now_ms)
    for stray in list(worker.orphaned_runs):
        if stray not in shown:
            worker.orphaned_runs.pop(stray)
    if not worker.synced:
        worker.synced = True
        # Leases of an earlier owner may last until then; without this a worker
        # that dies before its first own lease would never be given up.
        worker.lease_until_ms = max(
            worker.lease_until_ms, cell.previous_orders_expire_ms
        )
        cell.unsynced_workers.pop(worker.worker_id, None)
        log_event(
            cell,
            'worker_synced',
            worker=worker.worker_id,
            runs=len(table.rows),
            ends=len(fresh),
        )
    return bool(fresh)


def _apply_row(
    cell: CellState,
    worker: WorkerInfo,
    row: RunTableRow,
    now_ms: int,
) -> None:
    run = worker.runs.get(row.run)
    if run is None:
        run = _take_in(cell, worker, row.run, now_ms)
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
    judge_pace(cell, worker, run, now_ms)
    if row.checkpoint and row.checkpoint != run.task.checkpoint:
        keep_checkpoint(run.step, run.task, row.checkpoint)


def _take_in(
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
    is_spare = bool(others) and not step.spec.copies
    if not step.spec.gang and is_spare:
        newest = max(others)
        if newest > key.number:
            adopt(run)
            stop_run(cell, run, now_ms, 'a later run is in place')
            return run
        stop_run(cell, others[newest], now_ms, 'a later run is in place')
    adopt(run)
    step.job.started = True
    step.waiting.pop(key.task.member, None)
    if step.job.is_final or step.tasks[key.task.member].done:
        stop_run(cell, run, now_ms, 'not wanted any more')
    log_event(cell, 'run_adopted', run=key, worker=worker.worker_id)
    return run


# A worker's clock may run slow and messages take their time: an unanswered
# start counts as void only so many ms after its deadline.
VOID_MARGIN_MS: Final = 300


def _judge_absent(
    cell: CellState,
    run: Run,
    asked_ms: int,
    now_ms: int,
) -> None:
    is_answered = run.answered_ms != NEVER
    if is_answered and run.answered_ms < asked_ms:
        run_vanished(cell, run, now_ms, 'its worker does not list it')
        return
    if run.stop_answered_ms != NEVER and run.stop_answered_ms < asked_ms:
        run_vanished(cell, run, now_ms, 'stopped before it began')
        return
    if run.state is RunState.SENT and NEVER < run.start_unknown_ms <= asked_ms:
        stop_run(cell, run, now_ms, 'its start was not answered')
        return
    expires_ms = run.start_expires_ms
    if is_answered or expires_ms == NEVER:
        return
    if expires_ms + VOID_MARGIN_MS < asked_ms:
        run_vanished(cell, run, now_ms, 'its start expired unanswered')


def stop_incomplete_gangs(cell: CellState, now_ms: int) -> None:
    """Stop gangs of an earlier owner of which members are missing."""
    for job in cell.jobs.values():
        for step in steps_of(job):
            if step.spec.gang and step.has_runs and not step.is_done:
                _settle_gang(cell, step.tasks, now_ms)


def _settle_gang(cell: CellState, members: list[TaskInfo], now_ms: int) -> None:
    numbers = [set(member.runs) for member in members]
    if not set.intersection(*numbers):
        for member in members:
            for run in list(member.runs.values()):
                stop_run(cell, run, now_ms, 'members are missing')


def drop_run(cell: CellState, run: Run, now_ms: int) -> None:
    """Release a run that its worker refused to start."""
    release_run(run)
    if not run.step.job.is_final:
        requeue(cell, run.step, run.task, now_ms)
