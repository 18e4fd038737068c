"""Compute the interval of lease renewals from the control-traffic budget."""

from typing import Final, NamedTuple

from ._clock import MS_PER_SECOND

RENEWAL_BYTES: Final = 700
BUDGET_BYTES_PER_S: Final = 2500
MIN_WAIT_MS: Final = 3000
MIN_TTL_MS: Final = 10_000
TTL_SLACK_MS: Final = 4000
RENEWALS_PER_TASK_TTL: Final = 3


class RenewalInterval(NamedTuple):
    """Set the wait of one long poll and the lifetimes that it renews."""

    wait_ms: int
    ttl_ms: int
    task_ttl_ms: int


def interval_for(workers: int, task_ttl_ms: int) -> RenewalInterval:
    """Return the renewal interval of an owner with this number of workers.

    A poll waits at most a third of the task lease, so that tasks survive
    two lost renewals in a row.
    """
    needed_ms = workers * RENEWAL_BYTES * MS_PER_SECOND // BUDGET_BYTES_PER_S
    max_wait_ms = task_ttl_ms // RENEWALS_PER_TASK_TTL
    wait_ms = max(min(needed_ms, max_wait_ms), min(MIN_WAIT_MS, max_wait_ms))
    ttl_ms = max(MIN_TTL_MS, 2 * wait_ms + TTL_SLACK_MS)
    return RenewalInterval(wait_ms, ttl_ms, task_ttl_ms)
