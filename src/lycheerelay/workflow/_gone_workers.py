"""Forget workers that are gone for good.

Load: workers leave for ever, hundreds a day, and others are cut off for an hour
and come back. Nothing of a worker may be in effect any more when it is forgotten:
its runs are requeued, and an order or a lease that it has been sent is over. One
that comes back is taken in like a new one.
"""

from typing import Final

from ._log_events import log_event
from ._runs import LATE_ORDER_MS
from ._state import CellState, WorkerInfo

# A worker without a registration that has been silent for this time is gone. The
# record has since when, so that the time goes on under the next owner.
GONE_MS: Final = 60_000
# It is forgotten after this time.
FORGET_MS: Final = 300_000
# But never before this owner itself has waited for it for this time, which is
# longer than any lease, and than an order may be under way.
MIN_WAIT_MS: Final = 2 * LATE_ORDER_MS


def forget_gone_workers(cell: CellState, now_ms: int) -> int:
    """Forget the workers that are gone for long; return how many are gone."""
    if not cell.loaded or now_ms < cell.previous_orders_expire_ms:
        return 0
    gone = 0
    for worker in list(cell.workers.values()):
        if _is_gone(worker, now_ms):
            gone += 1
            if _may_forget(worker, now_ms):
                _forget(cell, worker, now_ms)
    return gone


def _is_gone(worker: WorkerInfo, now_ms: int) -> bool:
    """Return whether a worker is gone, and note since when it has been silent."""
    known_ms = max(worker.last_contact_ms, worker.registered_ms)
    if worker.listed or now_ms - known_ms < MIN_WAIT_MS:
        return False
    if worker.silent_since_ms:
        return True
    if now_ms - known_ms >= GONE_MS:
        worker.silent_since_ms = known_ms
    return worker.silent_since_ms > 0


def _may_forget(worker: WorkerInfo, now_ms: int) -> bool:
    if worker.runs or worker.lease_until_ms or worker.has_more_ends:
        return False
    given_up_ms = max(worker.unconfirmed_starts.values(), default=0)
    if now_ms - given_up_ms < LATE_ORDER_MS:
        return False
    return now_ms - worker.silent_since_ms >= FORGET_MS


def _forget(cell: CellState, worker: WorkerInfo, now_ms: int) -> None:
    cell.pop_worker(worker.key)
    if worker.worker_id not in cell.instances:
        cell.mark_synced(worker.worker_id)
        cell.earlier_instances.pop(worker.worker_id, None)
    log_event(
        cell,
        'worker_forgotten',
        worker=worker.worker_id,
        started_ms=worker.key.started_ms,
        silent_ms=now_ms - worker.silent_since_ms,
    )
