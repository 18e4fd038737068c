"""Watch at the owner what tenants use and wait for, and publish rows.

Load: about 43 entry VMs ask for the same tenant within a round trip, while the
jobs that they admit are not read back from the store yet.
"""

import logging
from collections.abc import Callable
from typing import Any, Final, NamedTuple, final

from ..workflow.tenants import (
    Hold,
    HoldCause,
    PoolBacklog,
    TenantView,
    over_rate_backlogs,
    view_tenants,
)
from ._context import OwnerContext
from ._tenant_admission import (
    Applicant,
    TenantRow,
    encode_rows,
    has_token,
    is_short,
)

logger = logging.getLogger('lycheerelay.tenants')

# Ticks of the owner, of 100 ms each, between two computations of the rows, and
# between two views of all tenants.
ROW_TICKS: Final = 3
VIEW_TICKS: Final = 10
# A token that was granted to a submission is not granted again within this time
# unless the job was read. An append takes less, and later the job either was read
# or its caller got no success.
GRANT_MS: Final = 1000
# Rows carry this instead of an unlimited number of tokens, which JSON lacks.
MANY_TOKENS: Final = float(1 << 30)
CORES_MILLI: Final = 1000

HoldKey = tuple[str, HoldCause, str]


class Grant(NamedTuple):
    """A token that was granted to a submission that is not read yet."""

    tenant: str
    accepted_ms: int
    until_ms: int


class Shortage(NamedTuple):
    """A pool that is short of capacity, and since when."""

    backlog: PoolBacklog
    since_ms: int


@final
class TenantMonitor:
    """Track shortages, grants and the causes for which tenants wait."""

    def __init__(self, context: OwnerContext) -> None:
        """Start without tenants."""
        self.context = context
        self.shortages: dict[str, Shortage] = {}
        self.computed_ms = context.now_ms
        self.grants: dict[str, Grant] = {}
        self.views: tuple[TenantView, ...] = ()
        self.held_since_ms: dict[HoldKey, int] = {}
        self.logged_shares: set[HoldKey] = set()

    @property
    def has_tenants(self) -> bool:
        """Return whether the configuration in force defines tenants."""
        ledger = self.context.cell.tenants
        return bool(ledger.accounts) and ledger.is_enforced

    def tick(self, ticks: int, now_ms: int) -> None:
        """Compute what is due; nothing without tenants."""
        if not self.has_tenants:
            if self.views or self.shortages:
                self._clear(now_ms)
            return
        try:
            self._update(ticks, now_ms)
        except Exception:
            # Any owner would meet the same fault, and no start depends on this.
            self.shortages = {}
            logger.exception('tenant_views_crashed')

    def _update(self, ticks: int, now_ms: int) -> None:
        if ticks % ROW_TICKS == 0:
            self._update_shortages(now_ms)
        if ticks % VIEW_TICKS == 0:
            self._update_views(now_ms)

    def published(self, applicant: Applicant | None = None) -> dict[str, Any]:
        """Return the field for responses to other VMs; none without tenants.

        An applicant gets one of the tokens of its tenant, if there is one left.
        """
        if not self.has_tenants:
            return {}
        now_ms = self.context.now_ms
        rows = self.rows(now_ms, applicant)
        if applicant is not None and any(
            row.tenant == applicant.tenant and has_token(row) for row in rows
        ):
            self.grants[applicant.job_id] = Grant(
                applicant.tenant, applicant.accepted_ms, now_ms + GRANT_MS
            )
        return {'tenants': encode_rows(rows, now_ms - self.computed_ms)}

    def rows(
        self, now_ms: int, applicant: Applicant | None = None
    ) -> list[TenantRow]:
        """Return the rows with the tokens of this moment.

        For the tenant of an applicant they are those at its acceptance, and a
        grant to it counts as free.
        """
        ledger = self.context.cell.tenants
        granted = self._granted_times(now_ms, applicant)
        rows = []
        for pool, shortage in self.shortages.items():
            for tenant, count in shortage.backlog.jobs.items():
                account = ledger.accounts[tenant]
                is_own = applicant is not None and applicant.tenant == tenant
                at_ms = (
                    applicant.accepted_ms if applicant and is_own else now_ms
                )
                tokens = ledger.tokens_left(
                    account, at_ms, granted.get(tenant, ())
                )
                rows.append(
                    TenantRow(
                        tenant,
                        pool,
                        count,
                        shortage.backlog.drain_ms,
                        min(tokens, MANY_TOKENS),
                        account.policy.weight,
                    )
                )
        return rows

    def end(self) -> None:
        """Remove the gauges by tenant, which another owner now sets."""
        for name in _GAUGES:
            self.context.metrics.gauge_tenants(name, {})

    def _clear(self, now_ms: int) -> None:
        """Forget the tenants, which the configuration in force does not have."""
        self._replace_shortages({}, now_ms)
        self.views = ()
        self.held_since_ms = {}
        self._log_shares(now_ms)
        self.end()

    def _granted_times(
        self, now_ms: int, applicant: Applicant | None
    ) -> dict[str, list[int]]:
        """Return the acceptance times of other jobs with a grant, by tenant."""
        jobs = self.context.cell.jobs
        self.grants = {
            other: grant
            for other, grant in self.grants.items()
            if grant.until_ms > now_ms and other not in jobs
        }
        times: dict[str, list[int]] = {}
        for other, grant in self.grants.items():
            if applicant is None or other != applicant.job_id:
                times.setdefault(grant.tenant, []).append(grant.accepted_ms)
        return times

    def _update_shortages(self, now_ms: int) -> None:
        backlogs = over_rate_backlogs(self.context.cell, now_ms)
        shortages = {}
        for pool, backlog in backlogs.items():
            known = self.shortages.get(pool)
            may_begin = known is not None or backlog.lacks_room
            if may_begin and is_short(
                known is not None, backlog.waited_ms, backlog.slack_ms
            ):
                since_ms = now_ms if known is None else known.since_ms
                shortages[pool] = Shortage(backlog, since_ms)
        self._replace_shortages(shortages, now_ms)

    def _replace_shortages(
        self, shortages: dict[str, Shortage], now_ms: int
    ) -> None:
        before = self.shortages
        self.shortages = shortages
        self.computed_ms = now_ms
        for pool in self.shortages.keys() - before.keys():
            _log_shortage('pool_short', self.shortages[pool], now_ms)
        for pool in before.keys() - self.shortages.keys():
            _log_shortage('pool_not_short', before[pool], now_ms)

    def _update_views(self, now_ms: int) -> None:
        self.views = tuple(view_tenants(self.context.cell, now_ms))
        holds: dict[HoldKey, Hold] = {
            (view.name, hold.cause, hold.subject): hold
            for view in self.views
            for hold in view.holds
        }
        self.held_since_ms = {
            key: self.held_since_ms.get(key, now_ms) for key in holds
        }
        self._log_shares(now_ms)
        for name, value_of in _GAUGES.items():
            values = {view.name: value_of(view) for view in self.views}
            self.context.metrics.gauge_tenants(name, values)

    def _log_shares(self, now_ms: int) -> None:
        """Log each tenant that was above its share in two views, and the end."""
        views = {view.name: view for view in self.views}
        held = {
            key
            for key, since_ms in self.held_since_ms.items()
            if key[1] is HoldCause.SHARE and since_ms < now_ms
        }
        for message, keys in (
            ('share_reached', held - self.logged_shares),
            ('share_left', self.logged_shares - held),
        ):
            for tenant, _, pool in sorted(keys):
                fields: dict[str, str] = {'tenant': tenant, 'pool': pool}
                view = views.get(tenant)
                if view is not None:
                    fields['share'] = f'{view.share:.3f}'
                    fields['fair_share'] = f'{view.fair_share:.3f}'
                logger.info(message, extra=fields)
        self.logged_shares = held


_GAUGES: Final[dict[str, Callable[[TenantView], float]]] = {
    'tenant_cores': lambda view: view.account.used.cores_milli / CORES_MILLI,
    'tenant_dominant_share': lambda view: round(view.share, 4),
    'tenant_waiting_jobs': lambda view: view.waiting_jobs,
    'tenant_over_rate_waiting_jobs': lambda view: view.over_rate_jobs,
}


def _log_shortage(message: str, shortage: Shortage, now_ms: int) -> None:
    backlog = shortage.backlog
    logger.info(
        message,
        extra={
            'pool': backlog.pool,
            'jobs': sum(backlog.jobs.values()),
            'tenants': sorted(backlog.jobs),
            'waited_ms': backlog.waited_ms,
            'slack_ms': backlog.slack_ms,
            'drain_ms': backlog.drain_ms,
            'since_ms': shortage.since_ms,
            'after_ms': now_ms - shortage.since_ms,
        },
    )
