"""Decide whether a job of a tenant that is over its rate is admitted.

Load: about 43 entry VMs each see a part of the calls of a tenant that sends
several times its rate, beside the calls of tenants within theirs.

A job is refused only if a row of the owner about its tenant and pool is at most
MAX_ROW_AGE_MS old and leaves the tenant no token at the time at which the VM got the
job. The owner marks accepted jobs as over the rate by that same time, so that no job
within the rate is refused.

While a row exists, the owner is asked about each job of its tenant. It has read the
store to its end by then, counts the tokens that it granted to jobs that it has not
read, and answers with a row for this job. Too many jobs are accepted only where a
VM has no row: what the tenant sends there until the VM hears of the shortage, and
after it has lost the owner. With a row, a job that is admitted takes a token once it
is read.
"""

import math
from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from .._clock import MS_PER_SECOND
from .._hashing import number_of
from ..workflow import WorkflowSpec

# A row older than this refuses nothing, so that a VM that is cut off from the
# owner accepts jobs.
MAX_ROW_AGE_MS: Final = 2000
# Retries of refused callers are spread over this share of the wait, but over
# MIN_SPREAD_MS at least, since `Retry-After` has whole seconds only.
RETRY_SPREAD: Final = 0.5
MIN_SPREAD_MS: Final = 2000
# Longest wait that is told to callers. Runs, versions and other tenants change
# within that time, so longer forecasts are not reliable.
MAX_WAIT_MS: Final = 60_000
PERCENT: Final = 100
# A pool becomes short once a job over the rate has waited for capacity for half
# of the time that its objective allows: the rest is left to jobs that were
# accepted already. It is no longer short once none has waited for a quarter, so
# that the backlog halves before new jobs are admitted.
SHORT_FROM_SHARE: Final = 0.5
SHORT_UNTIL_SHARE: Final = 0.25
# Shorter waits come and go within a few scheduling cycles.
MIN_SHORT_WAIT_MS: Final = 1000


class Applicant(NamedTuple):
    """Job of a tenant that is about to be submitted."""

    job_id: str
    tenant: str
    accepted_ms: int


class TenantRow(NamedTuple):
    """What the owner publishes about a tenant over its rate in a short pool.

    `backlog` is the number of its jobs over the rate that wait, and
    `served_in_ms` the time until a further one would be served. `tokens` is the
    number of further jobs that are within the rate, `rate` its growth per second.
    """

    tenant: str
    pool: str
    backlog: int
    served_in_ms: int
    tokens: float
    rate: float


class TenantRows(NamedTuple):
    """Rows by tenant and pool.

    `sent_ms` is when the call for them was sent. Their tokens are at least as new,
    the rest was computed up to `owner_age_ms` earlier.
    """

    rows: dict[tuple[str, str], TenantRow]
    sent_ms: int = 0
    owner_age_ms: int = 0

    def age_ms(self, now_ms: int) -> int:
        """Return how old the rows may be."""
        return now_ms - self.sent_ms + self.owner_age_ms

    def find(self, tenant: str, pool: str, now_ms: int) -> TenantRow | None:
        """Return the row about a tenant unless it is too old."""
        if self.age_ms(now_ms) > MAX_ROW_AGE_MS:
            return None
        return self.rows.get((tenant, pool))


NO_ROWS: Final = TenantRows({})


def encode_rows(rows: Iterable[TenantRow], age_ms: int) -> dict[str, Any]:
    """Encode rows for another VM."""
    return {'age_ms': age_ms, 'rows': [list(row) for row in rows]}


def decode_rows(raw: dict[str, Any], sent_ms: int) -> TenantRows:
    """Decode rows in the response to a call that was sent at a time.

    Raises ValueError, TypeError or KeyError if they are malformed.
    """
    rows = (
        TenantRow(
            str(tenant),
            str(pool),
            int(backlog),
            int(ms),
            float(left),
            float(rate),
        )
        for tenant, pool, backlog, ms, left, rate in raw['rows']
    )
    by_key = {(row.tenant, row.pool): row for row in rows}
    return TenantRows(by_key, sent_ms, max(int(raw['age_ms']), 0))


def has_token(row: TenantRow) -> bool:
    """Return whether a further job is within the rate of the tenant."""
    return row.tokens >= 1


def encode_applicant(spec: WorkflowSpec) -> dict[str, Any]:
    """Return the fields of a call about a job that is about to be submitted."""
    admit = {'tenant': spec.tenant, 'accepted_ms': spec.accepted_ms}
    return {'job': spec.job_id, 'admit': admit}


def decode_applicant(body: dict[str, Any]) -> Applicant | None:
    """Return the job that a call asks to admit, if it does."""
    admit = body.get('admit')
    if admit is None:
        return None
    return Applicant(
        str(body['job']), str(admit['tenant']), int(admit['accepted_ms'])
    )


def retry_after_s(row: TenantRow, job_id: str, age_ms: int) -> int:
    """Return after how many seconds the caller of a refused job may retry."""
    wait_ms = min(max(row.served_in_ms - age_ms, 0), MAX_WAIT_MS)
    spread_ms = max(wait_ms * RETRY_SPREAD, MIN_SPREAD_MS)
    share = number_of(job_id) % PERCENT / PERCENT
    return max(math.ceil((wait_ms + share * spread_ms) / MS_PER_SECOND), 1)


def is_short(was_short: bool, waited_ms: int, slack_ms: int) -> bool:
    """Return whether a pool is short of capacity for jobs over the rate.

    `waited_ms` is the wait of the one that has waited longest, `slack_ms` what
    its objective allows.
    """
    share = SHORT_UNTIL_SHARE if was_short else SHORT_FROM_SHARE
    limit_ms = max(
        slack_ms * share, MIN_SHORT_WAIT_MS * share / SHORT_FROM_SHARE
    )
    return waited_ms >= limit_ms
