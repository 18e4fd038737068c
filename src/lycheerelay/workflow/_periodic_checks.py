"""Watch what runs: leases, hung runs, slow runs, leaving workers."""

from typing import Final

from ._answers import repeat_stops
from ._dispatch import next_run
from ._fit import (
    has_ticket,
    room_for,
    score,
    usable_workers,
)
from ._intake import open_due
from ._log_events import log_event
from ._run_table import expire_worker, stop_incomplete_gangs
from ._runs import start_run, stop_run
from ._state import (
    NEVER,
    CellState,
    Run,
    RunState,
    StepInfo,
    WorkerInfo,
)

# A run whose progress has not risen for this long, in ms, and for this share of
# its expected time stands still: looks show progress each second.
HUNG_MS: Final = 1500
HUNG_FACTOR: Final = 0.5
# A copy of a run is started where allowed once it takes so much longer than
# expected, and so many ms.
COPY_FACTOR: Final = 1.6
COPY_MS: Final = 300
MOST_COPIES: Final = 2
# Finished jobs are kept so much longer than callers may ask, in ms.
RETAIN_MARGIN_MS: Final = 60_000
FULL_PERCENT: Final = 100


def run_periodic_checks(cell: CellState, now_ms: int) -> None:
    """Judge everything that time alone can change."""
    for worker in list(cell.workers.values()):
        if 0 < worker.lease_until_ms < now_ms:
            _leases_over(cell, worker, now_ms)
    if not cell.loaded:
        return
    if cell.unsynced_workers and now_ms >= cell.previous_orders_expire_ms:
        log_event(cell, 'takeover_clear', missing=len(cell.unsynced_workers))
        cell.unsynced_workers.clear()
    if cell.is_synced and not cell.gangs_checked:
        cell.gangs_checked = True
        stop_incomplete_gangs(cell, now_ms)
    repeat_stops(cell, now_ms)
    for worker in list(cell.workers.values()):
        for run in list(worker.runs.values()):
            if run.state is RunState.RUNNING:
                _watch_run(cell, worker, run, now_ms)


def median_unresponsive_ms(cell: CellState, now_ms: int) -> int:
    """Return for how long half of the listed workers or more are silent.

    A worker is silent once it leaves a look or an order unanswered.
    """
    unresponsive = sorted(
        now_ms - worker.last_contact_ms if worker.unresponsive else 0
        for worker in cell.workers.values()
        if worker.listed
    )
    return unresponsive[len(unresponsive) // 2] if unresponsive else 0


def _leases_over(cell: CellState, worker: WorkerInfo, now_ms: int) -> None:
    worker.lease_until_ms = 0
    if worker.runs or worker.synced:
        expire_worker(cell, worker, now_ms)


def _watch_run(
    cell: CellState,
    worker: WorkerInfo,
    run: Run,
    now_ms: int,
) -> None:
    step = run.step
    if worker.draining and step.spec.lasts:
        _move_lasting(cell, worker, run, now_ms)
        return
    if _is_hung(worker, run, now_ms):
        worker.failures_in_row[f'hung:{step.job.spec.job_id}'] = None
        run.task.avoid = worker.worker_id
        log_event(
            cell,
            'run_hung',
            run=run.key,
            worker=worker.worker_id,
            percent=run.percent,
            still_ms=now_ms - run.percent_ms,
        )
        stop_run(cell, run, now_ms, 'it stands still')
    elif step.spec.copies and len(run.task.runs) < MOST_COPIES:
        _copy(cell, run, now_ms)


def _is_hung(worker: WorkerInfo, run: Run, now_ms: int) -> bool:
    if worker.unresponsive or worker.last_contact_ms <= run.percent_ms:
        return False
    if run.step.spec.lasts and run.percent >= FULL_PERCENT:
        return False
    if run.step.spec.fills:
        return False
    still_ms = worker.last_contact_ms - run.percent_ms
    limit_ms = max(HUNG_MS, HUNG_FACTOR * run.step.spec.expected_ms)
    return still_ms > limit_ms and now_ms - run.sent_ms > limit_ms


def _move_lasting(
    cell: CellState,
    worker: WorkerInfo,
    run: Run,
    now_ms: int,
) -> None:
    others = [
        other
        for other in usable_workers(cell, run.step, now_ms)
        if room_for(run.step, other, {}, now_ms)
    ]
    if others:
        stop_run(cell, run, now_ms, 'its worker leaves')


def _copy(cell: CellState, run: Run, now_ms: int) -> None:
    step: StepInfo = run.step
    taken_ms = now_ms - run.sent_ms
    usual_ms = COPY_FACTOR * step.spec.expected_ms + COPY_MS
    if taken_ms < usual_ms and not run.worker.unresponsive:
        return
    task = run.task
    if task.done or step.job.is_final or step.spec.gang:
        return
    others = [
        other
        for other in usable_workers(cell, step, now_ms)
        if other is not run.worker
        and has_ticket(step, other, now_ms)
        and room_for(step, other, {}, now_ms)
    ]
    if not others:
        return
    best = min(others, key=lambda other: score(step, other, task))
    number = next_run([task])
    log_event(
        cell,
        'run_copied',
        run=run.key,
        worker=best.worker_id,
        number=number,
        taken_ms=taken_ms,
    )
    start_run(cell, step, task, best, number, now_ms)


def open_occurrences(cell: CellState, wall_ms: int) -> int:
    """Open every occurrence that is due; return when the next one is."""
    dues = [
        open_due(cell, job, wall_ms)
        for job in cell.jobs.values()
        if job.spec.occurrences and not job.is_final
    ]
    return min((due for due in dues if due != NEVER), default=NEVER)


def expire_jobs(cell: CellState, retain_ms: int, now_ms: int) -> list[str]:
    """Forget jobs whose final state no caller may ask for any more."""
    limit_ms = now_ms - retain_ms - RETAIN_MARGIN_MS
    expired = [
        job_id
        for job_id, job in cell.jobs.items()
        if job.is_final and job.finalized_ms < limit_ms
    ]
    for job_id in expired:
        cell.jobs.pop(job_id)
    return expired
