"""Order waiting steps for scheduling."""

from collections.abc import Callable, Collection
from itertools import chain
from typing import Final

from .._registry import Registry
from .._resources import Resources
from ._fit import is_in_service
from ._state import CellState, StepInfo
from ._tenant_shares import TenantUsage, tenant_usages
from ._tenants import TenantAccount

OrderKey = tuple[int, int, int]
StepKeyOf = Callable[[StepInfo, int], OrderKey]
Order = Callable[[CellState, list[StepInfo], int], list[StepInfo]]

IN_TIME: Final = 0
LATE: Final = 1
VALUE_EXPIRED: Final = 2

# Groups of steps in the order `fair`, in the order in which they are served. Steps
# above the share that have no value left wait with those over the rate.
FIRST: Final = 0
LATE_ABOVE_SHARE: Final = 1
ABOVE_SHARE: Final = 2
OVER_RATE: Final = 3
# Interval at which the capacity of the pools is added up.
CAPACITY_INTERVAL_MS: Final = 200

# Functions that order waiting steps. Each takes the cell, the steps and the
# current time in ms; the first step of the result is served first.
ORDERS: Final[Registry[str, Order]] = Registry('order')


def register_key(name: str) -> Callable[[StepKeyOf], StepKeyOf]:
    """Return a decorator that registers an order by a key of each step.

    The step with the lowest key is served first.
    """

    def register(key: StepKeyOf) -> StepKeyOf:
        def order(
            cell: CellState, steps: list[StepInfo], now_ms: int
        ) -> list[StepInfo]:
            return sorted(steps, key=lambda step: key(step, now_ms))

        ORDERS.register(name)(order)
        return key

    return register


@register_key('slack')
def by_slack(step: StepInfo, now_ms: int) -> OrderKey:
    """Serve steps that can meet their objective first, by least slack.

    Late steps whose job still has value follow, ordered by the time at which
    that value expires, then all other steps in order of acceptance.
    """
    offset = step.job.offset
    if now_ms <= step.latest_start_ms or step.spec.lasts:
        return IN_TIME, step.latest_start_ms, offset
    if now_ms <= step.infeasible_from_ms:
        return LATE, step.infeasible_from_ms, offset
    return VALUE_EXPIRED, offset, offset


@register_key('arrival')
def by_arrival(step: StepInfo, now_ms: int) -> OrderKey:
    """Serve steps in order of acceptance."""
    return IN_TIME, step.job.offset, step.key.step


@register_key('shortest')
def by_expected_work(step: StepInfo, now_ms: int) -> OrderKey:
    """Serve the step with the least expected work first."""
    work_ms = step.spec.expected_ms * len(step.waiting)
    return IN_TIME, work_ms, step.job.offset


@register_key('priority')
def by_priority(step: StepInfo, now_ms: int) -> OrderKey:
    """Serve by timeliness, then by queue priority, then by due time."""
    timeliness, due_ms, _ = by_slack(step, now_ms)
    return timeliness, step.job.spec.priority, due_ms


@ORDERS.register('fair')
def order_fairly(
    cell: CellState, steps: list[StepInfo], now_ms: int
) -> list[StepInfo]:
    """Serve tenants by slack, rate and share.

    Shares apply to tenants that wait with jobs over their rate, and to steps
    that are late. They would delay the gangs of small tenants otherwise, which
    exceed the share of their tenant by themselves. Jobs over the rate come last.
    """
    ranked = sorted(steps, key=lambda step: by_slack(step, now_ms))
    usages = _usages_by_pool(cell, ranked, now_ms)
    limited = _limited_tenants(cell, ranked)
    groups: tuple[list[StepInfo], ...] = ([], [], [], [])
    for step in ranked:
        job = step.job
        group = FIRST
        if job.account is not None:
            is_above = usages[job.spec.pool][job.account].count(step)
            if job.is_over_rate:
                group = OVER_RATE
            elif is_above:
                group = _group_above_share(step, job.account in limited, now_ms)
        groups[group].append(step)
    return list(chain.from_iterable(groups))


@ORDERS.register('shares')
def order_by_shares(
    cell: CellState, steps: list[StepInfo], now_ms: int
) -> list[StepInfo]:
    """Serve all steps within the share of their tenant first, then by slack.

    Jobs without a tenant count as within a share.
    """
    ranked = sorted(steps, key=lambda step: by_slack(step, now_ms))
    usages = _usages_by_pool(cell, ranked, now_ms)
    within: list[StepInfo] = []
    above: list[StepInfo] = []
    for step in ranked:
        account = step.job.account
        is_above = account is not None and (
            usages[step.job.spec.pool][account].count(step)
        )
        (above if is_above else within).append(step)
    return within + above


def _group_above_share(step: StepInfo, is_limited: bool, now_ms: int) -> int:
    if is_limited:
        return ABOVE_SHARE
    if now_ms <= step.latest_start_ms or step.spec.lasts:
        return FIRST
    if now_ms <= step.infeasible_from_ms:
        return LATE_ABOVE_SHARE
    return OVER_RATE


def _limited_tenants(
    cell: CellState, steps: list[StepInfo]
) -> Collection[TenantAccount | None]:
    """Return the tenants whose steps in time are held to their share."""
    if not cell.tenants.window_ms:
        return cell.tenants.accounts.values()
    return {step.job.account for step in steps if step.job.is_over_rate}


def _usages_by_pool(
    cell: CellState, steps: list[StepInfo], now_ms: int
) -> dict[str, dict[TenantAccount, TenantUsage]]:
    waiting: dict[str, dict[TenantAccount, None]] = {}
    for step in steps:
        job = step.job
        if job.account is not None:
            waiting.setdefault(job.spec.pool, {})[job.account] = None
    capacities = _pool_capacities(cell, now_ms)
    return {
        pool: tenant_usages(accounts, pool, capacities.get(pool, Resources()))
        for pool, accounts in waiting.items()
    }


def _pool_capacities(cell: CellState, now_ms: int) -> dict[str, Resources]:
    """Return the capacity of each pool that is in service.

    It changes rarely, so it is not added up in every cycle.
    """
    ledger = cell.tenants
    if now_ms >= ledger.capacities_until_ms:
        ledger.capacities_until_ms = now_ms + CAPACITY_INTERVAL_MS
        ledger.capacities = {}
        for worker in cell.workers.values():
            if is_in_service(worker, now_ms):
                total = ledger.capacities.get(worker.pool, Resources())
                ledger.capacities[worker.pool] = total.plus(worker.capacity)
    return ledger.capacities


def choose_order(cell: CellState) -> Order:
    """Return the order of a cell, which may differ if it has tenants."""
    policies = cell.policies
    has_tenants = bool(cell.tenants.accounts)
    return ORDERS[policies.tenant_order if has_tenants else policies.order]
