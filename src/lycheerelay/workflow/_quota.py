"""Hold back the waiting steps of tenants that have reached their quota.

Load: tenants with far more work than their quota, beside others with little, and
gangs as wide as a good part of the quota beside a stream of small steps of the
same tenant.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from .._resources import Resources
from ._fit import expected_end_ms
from ._log_events import log_event
from ._state import (
    INACTIVE_TENANT,
    NEVER,
    WAITING_GANG,
    CellState,
    StepInfo,
)
from ._tenants import (
    UNLIMITED,
    Shortage,
    TenantAccount,
    count_fitting_tasks,
)

# Held steps of a tenant and pool that may make their first call for advice, so
# that they can start at once when their quota frees up. More calls would occupy
# the advisor for work that cannot start.
CALLS_AHEAD: Final = 8
# A tenant counts as no longer held back after this time. A shorter one would log
# two events for each task end of a tenant that is at its quota.
HELD_LINGER_MS: Final = 1000
# A gang may keep its tenant below half of the quota for this time, in which most
# runs end. Then later steps start up to that half: with more of the quota unused
# no step may wait for 3 s. For the same reason a gang that waits for capacity holds
# back others only for this time before its expected start.
MAX_GANG_WAIT_MS: Final = 2000


class GangStart(NamedTuple):
    """Expected start of a waiting gang, in ms.

    Later steps of its tenant that do not end before may raise the usage to
    `ceiling` without delaying it.
    """

    at_ms: int
    ceiling: Resources


@dataclass(slots=True, eq=False)
class AccountCycle:
    """Track the steps of one account in one scheduling cycle.

    `gang` is the first gang of the tenant that waits, for its quota or for planned
    capacity. `asking` holds, by pool, the demand of earlier steps that wait for
    advice, `reserved` that of those with reserved capacity, and `calls_ahead` how
    many held steps may have made their first call.
    """

    gang: StepInfo | None = None
    gang_start: GangStart | None = None
    asking: dict[str, Resources] = field(default_factory=dict)
    reserved: dict[str, Resources] = field(default_factory=dict)
    calls_ahead: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class QuotaCycle:
    """Apply the quotas to one scheduling cycle over the steps of all pools.

    `judged` is the last step that was compared with its quota.
    """

    cell: CellState
    now_ms: int
    accounts: dict[TenantAccount, AccountCycle] = field(default_factory=dict)
    judged: StepInfo | None = None

    def keep_held(self, account: TenantAccount) -> None:
        """Note that an unchanged account still holds a step back."""
        self.cell.tenants.held[account.policy.name] = self.now_ms

    def may_start(self, step: StepInfo) -> bool:
        """Return whether the quota lets any task start, or the whole gang."""
        account = step.job.account
        if account is None:
            return True
        self.judged = step
        if step.quota_needed.fits_in(account.free):
            state = self.accounts.get(account)
            if state is None or state.gang is None:
                return True
            start = state.gang_start
            if start and step.quota_needed.fits_in(
                start.ceiling.minus(account.used)
            ):
                return True
        return self.count_startable(step) > 0

    def count_startable(self, step: StepInfo) -> int:
        """Return how many waiting tasks the quota lets start; a gang all or none."""
        account = step.job.account
        if account is None:
            return len(step.waiting)
        self.judged = step
        startable = account.count_startable(step.spec.charged_demand)
        if startable:
            startable = min(startable, self._count_beside_gang(step, account))
        if not step.spec.gang:
            return min(startable, len(step.waiting))
        # A gang with runs starts only once they have ended.
        if startable >= len(step.tasks) or step.has_runs:
            return len(step.tasks)
        return 0

    def may_call_first(self, step: StepInfo) -> bool:
        """Return whether a step may make its first call for advice.

        A few held steps may, so that they can start at once later.
        """
        account = step.job.account
        if account is None or (self.may_start(step) and self.may_ask(step)):
            return True
        calls_ahead = self._cycle_of(account).calls_ahead
        pool = step.job.spec.pool
        calls_ahead[pool] = calls_ahead.get(pool, 0) + 1
        return account.is_active and calls_ahead[pool] <= CALLS_AHEAD

    def may_ask(self, step: StepInfo) -> bool:
        """Return whether the quota suffices beside earlier steps that ask.

        Calls for more steps than can start would only occupy the advisor.
        """
        account = step.job.account
        if account is None:
            return True
        asking = self._cycle_of(account).asking.get(step.job.spec.pool)
        return _fits_beside(step, account, asking)

    def may_reserve(self, step: StepInfo) -> bool:
        """Return whether the quota suffices beside steps with reservations."""
        account = step.job.account
        if account is None:
            return True
        reserved = self._cycle_of(account).reserved.get(step.job.spec.pool)
        return _fits_beside(step, account, reserved)

    def finish_step(
        self, step: StepInfo, account: TenantAccount, has_reserved: bool
    ) -> None:
        """Mark a step that its quota holds back, after it was decided on."""
        if self.judged is not step and step.held_by_quota_ms == NEVER:
            # It waits for capacity; the quota has made no difference.
            return
        state = self._cycle_of(account)
        if step.waiting and not self.may_start(step):
            self._hold(step, account)
            if step.held_by_quota != WAITING_GANG:
                self._note_gang(step, state)
            return
        step.held_by_quota_ms = NEVER
        step.held_by_quota = ''
        step.held_epoch = NEVER
        if has_reserved:
            _add_demand(state.reserved, step)
        if step.pending_calls:
            _add_demand(state.asking, step)
        if self._is_planned_soon(step):
            self._note_gang(step, state)

    def finish(self) -> None:
        """End the cycle; log the tenants that are no longer held back."""
        ledger = self.cell.tenants
        for account in ledger.accounts.values():
            state = self.accounts.get(account)
            account.has_waiting_gang = state is not None and bool(state.gang)
            if (
                not account.has_waiting_gang
                or min(account.free_below_half) <= 0
            ):
                account.below_half_since_ms = NEVER
            elif account.below_half_since_ms == NEVER:
                account.below_half_since_ms = self.now_ms
        for name, held_ms in list(ledger.held.items()):
            if self.now_ms - held_ms >= HELD_LINGER_MS:
                ledger.held.pop(name)
                log_event(self.cell, 'quota_available', tenant=name)

    def _cycle_of(self, account: TenantAccount) -> AccountCycle:
        state = self.accounts.get(account)
        if state is None:
            state = AccountCycle()
            self.accounts[account] = state
        return state

    def _hold(self, step: StepInfo, account: TenantAccount) -> None:
        if step.held_by_quota_ms == NEVER:
            step.held_by_quota_ms = self.now_ms
        step.openings = ()
        step.held_epoch = NEVER
        shortage = account.find_shortage(step.quota_needed)
        if not account.is_active:
            step.held_by_quota = INACTIVE_TENANT
            shortage = Shortage('', 0, 0)
        elif shortage is None:
            step.held_by_quota = WAITING_GANG
            return
        else:
            step.held_by_quota = shortage.resource
        is_advised = step.job.spec.advice is None or bool(step.asked_workers)
        if is_advised and not step.spec.gang:
            step.held_epoch = account.epoch
        self._note_held(step, account.policy.name, shortage)

    def _note_held(self, step: StepInfo, name: str, shortage: Shortage) -> None:
        held = self.cell.tenants.held
        if name not in held:
            log_event(
                self.cell,
                'quota_reached',
                tenant=name,
                step=step.key,
                **shortage._asdict(),
            )
        held[name] = self.now_ms

    def _note_gang(self, step: StepInfo, state: AccountCycle) -> None:
        """Let a gang keep later steps of its tenant from delaying it."""
        if state.gang is not None or not step.spec.gang or step.has_runs:
            return
        account = step.job.account
        is_expired = (
            self.now_ms > step.infeasible_from_ms and not step.spec.lasts
        )
        if (
            account
            and not is_expired
            and account.can_ever_fit(step.quota_needed)
        ):
            state.gang = step

    def _count_beside_gang(self, step: StepInfo, account: TenantAccount) -> int:
        state = self.accounts.get(account)
        if state is None or state.gang is None or state.gang is step:
            return UNLIMITED
        if state.gang_start is None:
            state.gang_start = self._expect_start(state.gang, account)
        start = state.gang_start
        ends_before = self.now_ms + step.spec.expected_ms <= start.at_ms
        if ends_before and not step.spec.lasts:
            return UNLIMITED
        free = start.ceiling.minus(account.used)
        demand = step.spec.charged_demand
        startable = count_fitting_tasks(demand, free)
        since_ms = account.below_half_since_ms
        if startable or since_ms == NEVER:
            return startable
        if self.now_ms - since_ms < MAX_GANG_WAIT_MS:
            return 0
        return count_fitting_tasks(demand, account.free_below_half)

    def _is_planned_soon(self, step: StepInfo) -> bool:
        if not step.openings:
            return False
        return step.openings[-1].at_ms - self.now_ms <= MAX_GANG_WAIT_MS

    def _expect_start(
        self, gang: StepInfo, account: TenantAccount
    ) -> GangStart:
        """Return when the runs of the tenant will have left room for a gang."""
        needed = gang.quota_needed
        free = account.free
        at_ms = gang.openings[-1].at_ms if gang.openings else self.now_ms
        if needed.fits_in(free):
            return GangStart(at_ms, account.used.plus(free.minus(needed)))
        for end_ms, demand in sorted(self._expected_ends(account)):
            if needed.fits_in(free):
                break
            at_ms = end_ms
            free = free.plus(demand)
        if not needed.fits_in(free):
            # Only runs without an end, such as those of services, are in the way.
            unlimited = Resources(*(UNLIMITED for _ in needed))
            return GangStart(self.now_ms, unlimited)
        return GangStart(at_ms, account.used.plus(free.minus(needed)))

    def _expected_ends(
        self, account: TenantAccount
    ) -> Iterator[tuple[int, Resources]]:
        for run in account.runs:
            if not run.step.spec.lasts:
                demand = run.step.spec.charged_demand
                yield expected_end_ms(run, self.now_ms), demand
        if any(account.presumed):
            yield self.cell.previous_orders_expire_ms, account.presumed


def may_copy(step: StepInfo) -> bool:
    """Return whether the quota lets a task of a step run a second time."""
    account = step.job.account
    if account is None:
        return True
    startable = account.count_startable(step.spec.charged_demand)
    return startable > 0 and not account.has_waiting_gang


def is_held_by_quota(step: StepInfo) -> bool:
    """Return whether the last scheduling cycle held a step back."""
    return step.held_by_quota_ms != NEVER


def _fits_beside(
    step: StepInfo, account: TenantAccount, claimed: Resources | None
) -> bool:
    free = account.free if claimed is None else account.free.minus(claimed)
    return step.quota_needed.fits_in(free)


def _add_demand(claimed: dict[str, Resources], step: StepInfo) -> None:
    pool = step.job.spec.pool
    demand = step.spec.charged_demand.times(len(step.waiting))
    claimed[pool] = claimed.get(pool, Resources()).plus(demand)
