"""Show for each tenant what it uses, what waits and why."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum, unique
from typing import NamedTuple

from .._resources import Resources
from ._fit import is_in_service
from ._state import INACTIVE_TENANT, WAITING_GANG, CellState, StepInfo
from ._tenant_backlog import dominant_share, quota_hold
from ._tenants import TenantAccount


@unique
class HoldCause(StrEnum):
    """Reason for which work of a tenant waits.

    REMOVED: the configuration in force does not have the tenant. GANG: what its quota
    leaves is kept for an earlier gang of the same tenant.
    """

    REMOVED = 'removed'
    QUOTA = 'quota'
    GANG = 'gang'
    SHARE = 'share'
    CAPACITY = 'capacity'


class Hold(NamedTuple):
    """One cause for which jobs of a tenant wait, and how many.

    `subject` is the resource for the quota, otherwise the pool.
    """

    cause: HoldCause
    subject: str
    jobs: int


class TenantView(NamedTuple):
    """State of one tenant.

    `share` is its dominant share of the usable capacity of the cell;
    `fair_share` its weight among the tenants that run or wait.
    """

    name: str
    account: TenantAccount
    waiting_jobs: int
    over_rate_jobs: int
    share: float
    fair_share: float
    holds: tuple[Hold, ...]


@dataclass(slots=True)
class _Waiting:
    jobs: set[str] = field(default_factory=set)
    over_rate: set[str] = field(default_factory=set)
    holds: dict[tuple[HoldCause, str], set[str]] = field(default_factory=dict)


def view_tenants(cell: CellState, now_ms: int) -> list[TenantView]:
    """Return the state of every tenant that has an account, by name."""
    accounts = cell.tenants.accounts
    if not accounts:
        return []
    usage = _usage_by_pool(cell, now_ms)
    waiting = {name: _Waiting() for name in accounts}
    for step in _waiting_steps(cell):
        waiting.setdefault(step.job.spec.tenant, _Waiting())
        _add_step(waiting[step.job.spec.tenant], step, usage)
    weights = {
        name: account.policy.weight
        for name, account in accounts.items()
        if waiting[name].jobs or any(account.used)
    }
    return [
        _view(name, accounts[name], waiting[name], usage, weights)
        for name in sorted(accounts)
    ]


@dataclass(slots=True)
class _PoolUsage:
    """Use of one pool.

    `active` holds the weights of the tenants with work there, `above_share` those of
    them that use more than their weighted share.
    """

    capacity: Resources = Resources()
    used: dict[str, Resources] = field(default_factory=dict)
    active: dict[str, float] = field(default_factory=dict)
    above_share: set[str] = field(default_factory=set)

    def find_above_share(self) -> None:
        """Compare each tenant with its weighted share."""
        total = sum(self.active.values())
        for name, used in self.used.items():
            fair = self.active[name] / total if total else 1
            if dominant_share(used, self.capacity) > fair:
                self.above_share.add(name)


def _usage_by_pool(cell: CellState, now_ms: int) -> dict[str, _PoolUsage]:
    usage = {worker.pool: _PoolUsage() for worker in cell.workers.values()}
    for worker in cell.workers.values():
        if is_in_service(worker, now_ms):
            pool = usage[worker.pool]
            pool.capacity = pool.capacity.plus(worker.capacity)
    for known in cell.tenants.accounts.values():
        _add_account(usage, known)
    for step in _waiting_steps(cell):
        account = step.job.account
        if account is not None and step.job.spec.pool in usage:
            active = usage[step.job.spec.pool].active
            active[account.policy.name] = account.policy.weight
    for pool in usage.values():
        pool.find_above_share()
    return usage


def _add_account(usage: dict[str, _PoolUsage], account: TenantAccount) -> None:
    for pool, used in account.used_by_pool.items():
        if pool in usage and any(used):
            name = account.policy.name
            usage[pool].active[name] = account.policy.weight
            usage[pool].used[name] = used


def _waiting_steps(cell: CellState) -> Iterator[StepInfo]:
    for step in cell.open_steps.values():
        if step.waiting and step.job.account is not None:
            yield step


def _add_step(
    waiting: _Waiting, step: StepInfo, usage: dict[str, _PoolUsage]
) -> None:
    job = step.job
    waiting.jobs.add(job.spec.job_id)
    if job.is_over_rate:
        waiting.over_rate.add(job.spec.job_id)
    cause = _cause_of(step, usage)
    if cause is not None:
        waiting.holds.setdefault(cause, set()).add(job.spec.job_id)


def _cause_of(
    step: StepInfo, usage: dict[str, _PoolUsage]
) -> tuple[HoldCause, str] | None:
    account = step.job.account
    if account is None:
        return None
    pool = step.job.spec.pool
    held_by = quota_hold(step)
    if held_by == INACTIVE_TENANT:
        return HoldCause.REMOVED, pool
    if held_by == WAITING_GANG:
        return HoldCause.GANG, pool
    if held_by:
        return HoldCause.QUOTA, held_by
    known = usage.get(pool)
    if known is not None and account.policy.name in known.above_share:
        return HoldCause.SHARE, pool
    return HoldCause.CAPACITY, pool


def _view(
    name: str,
    account: TenantAccount,
    waiting: _Waiting,
    usage: dict[str, _PoolUsage],
    weights: dict[str, float],
) -> TenantView:
    capacity = Resources()
    for pool in usage.values():
        capacity = capacity.plus(pool.capacity)
    total = sum(weights.values())
    return TenantView(
        name=name,
        account=account,
        waiting_jobs=len(waiting.jobs),
        over_rate_jobs=len(waiting.over_rate),
        share=dominant_share(account.used, capacity),
        fair_share=weights.get(name, 0) / total if total else 1,
        holds=tuple(
            Hold(cause, subject, len(jobs))
            for (cause, subject), jobs in waiting.holds.items()
        ),
    )
