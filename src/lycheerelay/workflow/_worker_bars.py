"""Keep tasks away from workers on which everything fails.

Load: jobs that fail wherever they run, beside sound ones. Each worker sees runs of
several jobs fail in a row, and no success tells its own faults from theirs, as nothing
else runs there.

A job that fails on several workers without a success says more about itself than
about them. At most a part of a pool is barred, and a bar is advice only: a barred
worker is the last resort of a step that no other worker can run.
"""

from typing import Final

from ._log_events import log_event
from ._state import CellState, StepInfo, WorkerInfo

# A worker is barred temporarily after runs of this many different jobs failed on
# it in a row. Failures of a single job may be caused by the job itself.
FAILED_JOBS_TO_BAR: Final = 2
FAILURE_BAR_MS: Final = 2500
MAX_FAILURE_BAR_MS: Final = 10000
# Part of a pool that is barred at the same time, though always one worker. If more
# look bad, the jobs are the cause, or the whole pool is.
MAX_BARRED_SHARE: Final = 0.25


def clear_failures(worker: WorkerInfo) -> None:
    """Note that a run has succeeded on a worker."""
    worker.failures_in_row.clear()
    worker.bar_count = 0


def count_failure(
    cell: CellState, worker: WorkerInfo, step: StepInfo, now_ms: int
) -> None:
    """Count a failed run, and bar its worker after those of several jobs."""
    job = step.job
    job.failed_on[worker.key] = None
    if len(job.failed_on) > 1 and not step.done_count:
        return
    worker.failures_in_row[job.spec.job_id] = None
    if len(worker.failures_in_row) < FAILED_JOBS_TO_BAR:
        return
    if not _may_bar(cell, worker, now_ms):
        return
    worker.bar_count += 1
    bar_ms = min(FAILURE_BAR_MS * worker.bar_count, MAX_FAILURE_BAR_MS)
    worker.barred_until_ms = now_ms + bar_ms
    jobs = len(worker.failures_in_row)
    worker.failures_in_row.clear()
    log_event(
        cell,
        'worker_barred',
        worker=worker.worker_id,
        jobs=jobs,
        for_ms=bar_ms,
    )


def _may_bar(cell: CellState, worker: WorkerInfo, now_ms: int) -> bool:
    """Return whether few enough others are barred; slow ones do not count."""
    pool = [
        other for other in cell.workers.values() if other.pool == worker.pool
    ]
    others = sum(
        other.barred_until_ms > now_ms and other.bar_count > 0
        for other in pool
        if other is not worker
    )
    return not others or others + 1 <= MAX_BARRED_SHARE * len(pool)
