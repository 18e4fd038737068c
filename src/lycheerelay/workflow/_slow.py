"""Tell workers that are slow from work that is long."""

from typing import Final

from ._notes import note
from ._state import CellState, Run, RunState, WorkerBook

# A run that needs so many times its expected time is slowed by its worker:
# estimates are off by less than 2, and data far away costs half as much again.
SLOW_FACTOR: Final = 4
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
    worker: WorkerBook,
    run: Run,
    now_ms: int,
) -> None:
    """Leave a worker alone for a while on which a run goes far too slowly."""
    spec = run.step.spec
    passed_ms = now_ms - run.sent_ms
    is_telling = run.state is RunState.RUNNING and run.pace == FULL
    if not is_telling or spec.lasts or spec.fills or not run.percent:
        return
    if passed_ms < max(LEAST_MS, spec.expected_ms):
        return
    needed_ms = passed_ms * FULL / run.percent
    if needed_ms < SLOW_FACTOR * max(spec.expected_ms, LEAST_MS):
        return
    if worker.barred_until_ms > now_ms or not _may_bar(cell, worker, now_ms):
        return
    worker.barred_until_ms = now_ms + BAR_MS
    note(
        cell,
        'worker_slow',
        worker=worker.worker_id,
        run=run.key,
        percent=run.percent,
        passed_ms=passed_ms,
        expected_ms=spec.expected_ms,
        for_ms=BAR_MS,
    )


def _may_bar(cell: CellState, worker: WorkerBook, now_ms: int) -> bool:
    pool = [
        other for other in cell.workers.values() if other.pool == worker.pool
    ]
    barred = sum(other.barred_until_ms > now_ms for other in pool)
    return barred + 1 <= MOST_SHARE * len(pool)
