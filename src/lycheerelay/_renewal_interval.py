"""Pace lease renewals so that control traffic stays within its budget."""

from typing import Final, NamedTuple

from ._clock import MS_PER_SECOND

RENEWAL_BYTES: Final = 700
BUDGET_BYTES_PER_S: Final = 2500
MIN_WAIT_MS: Final = 3000
MIN_TTL_MS: Final = 10_000
TRY_SLACK_MS: Final = 4000
TRIES_PER_TASK_TTL: Final = 3


class RenewalInterval(NamedTuple):
    """Set how long a poll waits and how long what it renews lives."""

    wait_ms: int
    ttl_ms: int
    task_ttl_ms: int


def interval_for(workers: int, task_ttl_ms: int) -> RenewalInterval:
    """Return the pace of an owner of so many workers.

    A poll never waits longer than a third of the life of a task, so that
    two lost renewals end no task.
    """
    needed_ms = workers * RENEWAL_BYTES * MS_PER_SECOND // BUDGET_BYTES_PER_S
    longest_ms = task_ttl_ms // TRIES_PER_TASK_TTL
    wait_ms = max(min(needed_ms, longest_ms), min(MIN_WAIT_MS, longest_ms))
    ttl_ms = max(MIN_TTL_MS, 2 * wait_ms + TRY_SLACK_MS)
    return RenewalInterval(wait_ms, ttl_ms, task_ttl_ms)
