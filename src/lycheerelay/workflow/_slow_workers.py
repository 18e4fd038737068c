"""Tell workers that are slow from work that is long."""

import statistics
from typing import Final

from ._log_events import log_event
from ._state import CellState, Run, RunState, WorkerInfo

# A run that needs so many times as long as tasks of its step on other workers is
# slowed by its worker: like tasks differ little, and data far away costs half as
# much again. Estimates tell nothing here, they are off by any factor.
SLOW_FACTOR: Final = 3
# Below this time, in ms, a run tells nothing.
LEAST_MS: Final = 300
# A slow worker gets nothing new for so long, in ms, then is tried again.
BAR_MS: Final = 2500
# More than this share of a pool is never left alone for being slow: then the
# estimates are wrong, or the whole pool is.
MOST_SHARE: Final = 0.25
FULL: Final = 100


def judge_pace(
    cell: CellState,
    worker: WorkerInfo,
    run: Run,
    now_ms: int,
) -> None:
    """Leave a worker alone for a while on which a run goes far too slowly."""
    spec = run.step.spec
    passed_ms = now_ms - run.sent_ms
    is_telling = run.state is RunState.RUNNING and run.pace == FULL
    if not is_telling or spec.lasts or spec.fills or not run.percent:
        return
    if passed_ms < LEAST_MS:
        return
    needed_ms = passed_ms * FULL // run.percent
    step = run.step
    step.needed_ms[worker.worker_id] = needed_ms
    if worker.barred_until_ms > now_ms:
        return
    others_ms = [
        taken_ms
        for worker_id, taken_ms in step.needed_ms.items()
        if worker_id != worker.worker_id
    ]
    if not others_ms:
        return
    usual_ms = statistics.median_high(others_ms)
    if needed_ms < SLOW_FACTOR * max(usual_ms, LEAST_MS):
        return
    if not _may_bar(cell, worker, now_ms):
        return
    worker.barred_until_ms = now_ms + BAR_MS
    log_event(
        cell,
        'worker_slow',
        worker=worker.worker_id,
        run=run.key,
        percent=run.percent,
        passed_ms=passed_ms,
        usual_ms=usual_ms,
        for_ms=BAR_MS,
    )


def _may_bar(cell: CellState, worker: WorkerInfo, now_ms: int) -> bool:
    pool = [
        other for other in cell.workers.values() if other.pool == worker.pool
    ]
    barred = sum(other.barred_until_ms > now_ms for other in pool)
    return barred + 1 <= MOST_SHARE * len(pool)
