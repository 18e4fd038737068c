"""Reconcile the run tables of workers with the scheduling state."""

from typing import Final, NamedTuple

from ._commands import StopRun
from ._contact import regain_contact
from ._crashes import count_crash_before_takeover, note_sent_suspect
from ._ends import (
    RunEnd,
    apply_end,
    discard_lost_run,
    keep_checkpoint,
    requeue,
)
from ._exoneration import clear_outlasted
from ._instances import find_answering_instance
from ._intake import find_step, steps_of
from ._log_events import log_event
from ._runs import (
    attach_run,
    note_unconfirmed_start,
    release_ended_run,
    release_worker_runs,
    stop_run,
)
from ._slow_workers import bar_worker_if_slow
from ._spec import RunKey, WorkerKey
from ._state import NEVER, CellState, Run, RunState, TaskInfo, WorkerInfo
from ._suspects import find_suspects
from ._unlisted_ends import note_unlisted_ends


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
    worker's clock when it replied. `has_all_ends` says that the worker has no more
    ends to list than these; otherwise it lists the next ones once these have been
    acknowledged.
    """

    worker: WorkerKey
    poll_sent_ms: int
    clock_ms: int
    rows: tuple[RunTableRow, ...]
    ends: tuple[RunEnd, ...]
    has_all_ends: bool = True


def expire_worker(cell: CellState, worker: WorkerInfo, now_ms: int) -> None:
    """Discard the runs of a worker whose leases have all expired."""
    for run in worker.runs.values():
        note_unconfirmed_start(run, now_ms)
    worker.lapsed_suspects += find_suspects(worker)
    worker.synced = False
    worker.has_more_ends = False
    worker.unresponsive = True
    for run in release_worker_runs(cell, worker, 'its leases expired'):
        if not run.step.job.is_final:
            requeue(cell, run.step, run.task, now_ms)


def apply_run_table(cell: CellState, table: RunTable, now_ms: int) -> bool:
    """Apply a run table and return whether it contained new ends."""
    worker = find_answering_instance(
        cell, table.worker, table.poll_sent_ms, now_ms
    )
    if worker is None or table.clock_ms < worker.table_clock_ms:
        # A newer table of this worker has already been applied.
        return False
    worker.table_clock_ms = table.clock_ms
    worker.lapsed_suspects = ()
    regain_contact(worker, now_ms)
    new_ends = [end for end in table.ends if end.number > worker.handled_end]
    for end in new_ends:
        apply_end(cell, worker, end, now_ms)
        worker.handled_end = end.number
    for row in table.rows:
        _apply_row(cell, worker, row, now_ms)
    note_unlisted_ends(cell, worker, table.has_all_ends)
    if table.has_all_ends:
        _check_missing_runs(cell, worker, table, now_ms)
        clear_outlasted(cell, worker.runs.values(), now_ms)
    if not worker.synced:
        # Leases of an earlier owner may last until this time. Without it, the
        # runs of a worker that crashes before its first lease from this owner
        # would never expire.
        worker.lease_until_ms = max(
            worker.lease_until_ms, cell.previous_orders_expire_ms
        )
    if table.has_all_ends and not worker.synced:
        worker.synced = True
        _count_earlier_crash(cell, worker, now_ms)
        cell.mark_synced(worker.worker_id)
        log_event(
            cell,
            'worker_synced',
            worker=worker.worker_id,
            started_ms=worker.key.started_ms,
            runs=len(table.rows),
            ends=len(new_ends),
        )
    return bool(new_ends)


def _check_missing_runs(
    cell: CellState, worker: WorkerInfo, table: RunTable, now_ms: int
) -> None:
    reported = {row.run for row in table.rows}
    reported.update(end.run for end in table.ends)
    for run in list(worker.runs.values()):
        if run.key not in reported:
            _check_missing_run(cell, run, table.poll_sent_ms, now_ms)
    for run_key in list(worker.orphaned_runs):
        if run_key not in reported:
            worker.orphaned_runs.pop(run_key)


def _count_earlier_crash(
    cell: CellState, worker: WorkerInfo, now_ms: int
) -> None:
    """Count a crash after which a worker has started again under its id.

    Its clock may have stepped back since, so any other start time tells of one.
    """
    earlier = cell.earlier_instances.pop(worker.worker_id, worker.key)
    if earlier.started_ms and earlier != worker.key:
        count_crash_before_takeover(cell, worker.worker_id, worker.runs, now_ms)


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
            cell.outbox.append(StopRun(worker.key, row.run))
            return
    run.listed = True
    run.earlier_crash = None
    if run.state is RunState.SENT:
        run.state = RunState.RUNNING
        run.answered_ms = now_ms
    note_sent_suspect(cell, run)
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
    release_ended_run(run)
    cell.unrecorded_jobs[run.key.task.job_id] = None
    if not run.step.job.is_final:
        requeue(cell, run.step, run.task, now_ms)
