"""Decide how long to wait before a worker that did not answer is polled again.

Load: hundreds of workers that are gone for ever, beside some that come back after
a cut of seconds.
"""

import zlib
from collections.abc import Callable
from typing import Final

from .._clock import MS_PER_SECOND
from ..workflow import CellState, WorkerInfo

DelayRule = Callable[[CellState, WorkerInfo, int], float]

# Delay before the next poll after one that was not answered.
UNANSWERED_RETRY_MS: Final = 250
# A worker that is registered is polled that often for this time, and then with
# this delay.
REGISTERED_RETRY_MS: Final = 1000
REGISTERED_PATIENCE_MS: Final = 10_000
# The delay for a worker without registration and leases grows with its silence up to
# this. Its next registration ends the delay.
MAX_RETRY_MS: Final = 60_000
# A new owner polls workers that are gone with this mean time between two of them.
FIRST_POLL_SPACING_MS: Final = 10
SILENCE_FACTOR: Final = 0.5
# Delays are shorter by up to this share, which differs between workers.
SPREAD: Final = 0.5


def retry_delay_s(cell: CellState, worker: WorkerInfo, now_ms: int) -> float:
    """Return the delay in seconds before the next poll of a silent worker."""
    if worker.listed:
        silent_ms = now_ms - worker.last_contact_ms
        is_late = silent_ms >= REGISTERED_PATIENCE_MS
        delay_ms = REGISTERED_RETRY_MS if is_late else UNANSWERED_RETRY_MS
        return delay_ms / MS_PER_SECOND
    if _may_have_leases(cell, worker):
        return UNANSWERED_RETRY_MS / MS_PER_SECOND
    since_ms = worker.silent_since_ms or worker.last_contact_ms
    longest_ms = min(SILENCE_FACTOR * (now_ms - since_ms), MAX_RETRY_MS)
    spread = 1 - SPREAD * _fraction(cell, worker)
    return max(longest_ms * spread, UNANSWERED_RETRY_MS) / MS_PER_SECOND


def _may_have_leases(cell: CellState, worker: WorkerInfo) -> bool:
    """Return whether runs may be lost unless a poll reaches the worker soon."""
    is_unsynced = worker.worker_id in cell.unsynced_workers
    has_earlier = is_unsynced and not worker.silent_since_ms
    return worker.lease_until_ms > 0 or has_earlier


def first_delay_s(cell: CellState, worker: WorkerInfo, now_ms: int) -> float:
    """Return the delay before a new owner polls a worker for the first time.

    Workers that are gone are not polled all at once. The time is short where there
    are few, as an owner of an earlier version may have had them back meanwhile.
    """
    if worker.listed or not worker.silent_since_ms:
        return 0
    window_ms = min(FIRST_POLL_SPACING_MS * len(cell.workers), MAX_RETRY_MS)
    return window_ms * _fraction(cell, worker) / MS_PER_SECOND


def _fraction(cell: CellState, worker: WorkerInfo) -> float:
    """Return a number from 0 to 1 that differs by worker and owner."""
    text = f'{worker.worker_id} {cell.fence}'
    return zlib.crc32(text.encode()) / (1 << 32)
