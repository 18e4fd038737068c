"""Distinguish slow workers from long tasks."""

import statistics
from typing import Final

from ._log_events import log_event
from ._state import CellState, Run, RunState, WorkerInfo

# A worker is slow if a run there takes this many times as long as tasks of the
# same step on other workers. Such tasks differ little, and remote data adds only
# half. Expected times are not used because they can be wrong by any factor.
SLOW_FACTOR: Final = 3
# Runs are not evaluated before this time.
MIN_RUN_TIME_MS: Final = 300
# No runs are started on a slow worker for this time.
SLOW_BAR_MS: Final = 2500
# No slow worker is barred beyond this share of its pool. If more look slow, the
# estimates are wrong or the whole pool is slow.
MAX_BARRED_SHARE: Final = 0.25
FULL_PERCENT: Final = 100


def bar_worker_if_slow(
    cell: CellState,
    worker: WorkerInfo,
    run: Run,
    now_ms: int,
) -> None:
    """Bar a worker temporarily if a run on it is far too slow."""
    spec = run.step.spec
    elapsed_ms = now_ms - run.sent_ms
    is_comparable = run.state is RunState.RUNNING and run.pace == FULL_PERCENT
    if not is_comparable or spec.lasts or spec.fills or not run.percent:
        return
    if elapsed_ms < MIN_RUN_TIME_MS:
        return
    projected_ms = elapsed_ms * FULL_PERCENT // run.percent
    step = run.step
    step.duration_by_worker_ms[worker.key] = projected_ms
    if worker.barred_until_ms > now_ms:
        return
    others_ms = [
        duration_ms
        for key, duration_ms in step.duration_by_worker_ms.items()
        if key != worker.key
    ]
    if not others_ms:
        return
    usual_ms = statistics.median_high(others_ms)
    if projected_ms < SLOW_FACTOR * max(usual_ms, MIN_RUN_TIME_MS):
        return
    if not _may_bar(cell, worker, now_ms):
        return
    worker.barred_until_ms = now_ms + SLOW_BAR_MS
    log_event(
        cell,
        'worker_slow',
        worker=worker.worker_id,
        run=run.key,
        percent=run.percent,
        passed_ms=elapsed_ms,
        usual_ms=usual_ms,
        for_ms=SLOW_BAR_MS,
    )


def _may_bar(cell: CellState, worker: WorkerInfo, now_ms: int) -> bool:
    pool = [
        other for other in cell.workers.values() if other.pool == worker.pool
    ]
    barred = sum(other.barred_until_ms > now_ms for other in pool)
    return barred + 1 <= MAX_BARRED_SHARE * len(pool)
