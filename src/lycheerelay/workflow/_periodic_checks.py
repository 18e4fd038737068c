"""Check leases, hung runs, slow runs and draining workers."""

from typing import Final

from ._answers import repeat_stops
from ._contact import may_copy_runs
from ._fit import (
    count_fitting,
    has_ticket,
    score_worker,
    usable_workers,
)
from ._log_events import log_event
from ._probation import is_on_probation
from ._quota import may_copy
from ._run_table import expire_worker, stop_incomplete_gangs
from ._runs import start_run, stop_run
from ._starting import next_run_number
from ._state import (
    CellState,
    Run,
    RunState,
    StepInfo,
    WorkerInfo,
)
from ._unknown_runs import end_takeover
from ._unlisted_ends import may_have_ended

# A run is hung if its progress has not changed for this time and for this share
# of its expected time. Polls report progress every second.
MIN_HUNG_MS: Final = 1500
HUNG_DURATION_FACTOR: Final = 0.5
# Where copies are allowed, a copy of a run is started once the run takes longer
# than this multiple of its expected time plus COPY_EXTRA_DELAY_MS.
COPY_DELAY_FACTOR: Final = 1.6
COPY_EXTRA_DELAY_MS: Final = 300
MAX_RUNS_PER_TASK: Final = 2
FULL_PERCENT: Final = 100
# A worker that is up may have answered last this long ago, as a poll waits there
# for a second and registrations are read three times a second.
MAX_ANSWER_AGE_MS: Final = 1400


def run_periodic_checks(cell: CellState, now_ms: int) -> None:
    """Run every check that depends only on the passage of time."""
    for worker in list(cell.workers.values()):
        if 0 < worker.lease_until_ms < now_ms:
            _expire_leases(cell, worker, now_ms)
    if not cell.loaded:
        return
    if cell.unsynced_workers and now_ms >= cell.previous_orders_expire_ms:
        end_takeover(cell)
    if cell.is_synced and not cell.gangs_checked:
        cell.gangs_checked = True
        stop_incomplete_gangs(cell, now_ms)
    repeat_stops(cell, now_ms)
    for worker in list(cell.workers.values()):
        for run in list(worker.runs.values()):
            if run.state is RunState.RUNNING:
                _check_run(cell, worker, run, now_ms)


def median_unresponsive_ms(cell: CellState, now_ms: int) -> int:
    """Return the median time for which listed workers cannot be reached.

    Only those that have answered an owner count: anyone may register an address that
    answers nobody, and another owner would not reach it either. A worker that leaves polls or orders unanswered, but has registered well after
    its last answer, is up and cannot be reached from here; the others count as 0 ms.
    The upper median is used.
    """
    unresponsive = sorted(
        now_ms - worker.last_contact_ms if _is_up_but_unreachable(worker) else 0
        for worker in cell.workers.values()
        if worker.listed and worker.has_answered
    )
    return unresponsive[len(unresponsive) // 2] if unresponsive else 0


def _is_up_but_unreachable(worker: WorkerInfo) -> bool:
    since_answer_ms = worker.registered_ms - worker.last_contact_ms
    return worker.unresponsive and since_answer_ms > MAX_ANSWER_AGE_MS


def _expire_leases(cell: CellState, worker: WorkerInfo, now_ms: int) -> None:
    worker.lease_until_ms = 0
    if worker.runs or worker.synced or worker.has_more_ends:
        expire_worker(cell, worker, now_ms)


def _check_run(
    cell: CellState,
    worker: WorkerInfo,
    run: Run,
    now_ms: int,
) -> None:
    step = run.step
    if worker.draining and step.spec.lasts:
        _stop_on_draining_worker(cell, worker, run, now_ms)
        return
    if may_have_ended(worker):
        return
    if _is_hung(worker, run, now_ms):
        worker.failures_in_row[f'hung:{step.job.spec.job_id}'] = None
        for member in step.tasks if step.spec.gang else (run.task,):
            member.avoided_worker = worker.key
        log_event(
            cell,
            'run_hung',
            run=run.key,
            worker=worker.worker_id,
            percent=run.percent,
            still_ms=now_ms - run.percent_ms,
        )
        stop_run(cell, run, now_ms, 'it made no progress')
    elif step.spec.copies and len(run.task.runs) < MAX_RUNS_PER_TASK:
        _copy_if_slow(cell, run, now_ms)


def _is_hung(worker: WorkerInfo, run: Run, now_ms: int) -> bool:
    if worker.unresponsive or worker.last_contact_ms <= run.percent_ms:
        return False
    if run.step.spec.lasts and run.percent >= FULL_PERCENT:
        return False
    if run.step.spec.fills:
        return False
    stalled_ms = worker.last_contact_ms - run.percent_ms
    limit_ms = max(
        MIN_HUNG_MS, HUNG_DURATION_FACTOR * run.step.spec.expected_ms
    )
    return stalled_ms > limit_ms and now_ms - run.sent_ms > limit_ms


def _stop_on_draining_worker(
    cell: CellState,
    worker: WorkerInfo,
    run: Run,
    now_ms: int,
) -> None:
    others = [
        other
        for other in usable_workers(cell, run.step, now_ms)
        if count_fitting(run.step, other, {}, now_ms)
    ]
    if others:
        stop_run(cell, run, now_ms, 'its worker is draining')


def _copy_if_slow(cell: CellState, run: Run, now_ms: int) -> None:
    step: StepInfo = run.step
    elapsed_ms = now_ms - run.sent_ms
    limit_ms = COPY_DELAY_FACTOR * step.spec.expected_ms + COPY_EXTRA_DELAY_MS
    if elapsed_ms < limit_ms and not may_copy_runs(run.worker, now_ms):
        return
    task = run.task
    if task.index in step.suspects or is_on_probation(task):
        return
    if task.done or step.job.is_final or step.spec.gang or not may_copy(step):
        return
    others = [
        other
        for other in usable_workers(cell, step, now_ms)
        if other is not run.worker
        and has_ticket(step, other, now_ms)
        and count_fitting(step, other, {}, now_ms)
    ]
    if not others:
        return
    best = min(others, key=lambda other: score_worker(step, other, task))
    number = next_run_number([task])
    log_event(
        cell,
        'run_copied',
        run=run.key,
        worker=best.worker_id,
        number=number,
        taken_ms=elapsed_ms,
    )
    start_run(cell, step, task, best, number, now_ms)
