"""Track what each tenant has running, against its quota.

Load: tenants that share a cell submit more than they may run at a time, while
versions of the configuration lower their quotas and owners change.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Final, NamedTuple

from .._resources import Resources
from ._tenant_rates import TokenBucket

if TYPE_CHECKING:
    from ._spec import WorkflowSpec
    from ._state import Run

# Free amount of a resource without a limit.
UNLIMITED: Final = 1 << 60
# Free amounts in which no demand fits.
NO_ROOM: Final = Resources(-1, -1, -1, -1, -1)
NOTHING: Final = Resources()


class TenantPolicy(NamedTuple):
    """Settings of an operator for one tenant.

    `weight` is its share when capacity is short, and its rate in jobs per second.
    `quota` limits what it has running on all workers; an amount of 0 means no
    limit. `keys` holds the SHA-256 digests of its API keys.
    """

    name: str
    weight: float = 1
    quota: Resources = Resources()
    keys: frozenset[bytes] = frozenset()


class Shortage(NamedTuple):
    """Resource of which a tenant has too little left for a demand."""

    resource: str
    used: int
    limit: int


class QuotaExcess(NamedTuple):
    """First step of a job that can never fit in a quota."""

    step: int
    tasks: int
    resource: str
    amount: int
    limit: int

    @property
    def text(self) -> str:
        """Return a description for the caller."""
        return (
            f'step {self.step}: {self.tasks} tasks at a time need '
            f'{self.resource} {self.amount}, above the quota of {self.limit}'
        )


def count_fitting_tasks(demand: Resources, free: Resources) -> int:
    """Return how many tasks fit; none while any amount is exceeded."""
    if min(free) < 0:
        return 0
    return demand.times_in(free) if any(demand) else UNLIMITED


def find_quota_excess(
    spec: 'WorkflowSpec', quota: Resources
) -> QuotaExcess | None:
    """Return the first gang or single task that is larger than the quota."""
    for number, step in enumerate(spec.steps):
        tasks = step.width if step.gang else 1
        needed = step.charged_demand.times(tasks)
        for resource, amount, limit in zip(
            needed._fields, needed, quota, strict=True
        ):
            if limit and amount > limit:
                return QuotaExcess(number, tasks, resource, amount, limit)
    return None


@dataclass(slots=True, eq=False)
class TenantAccount:
    """Hold what one tenant has running on all workers.

    `is_active` says whether the configuration in force has the tenant. `used`
    contains `presumed`, the demand of starts by earlier owners whose workers have
    not answered yet. `runs` holds the allocated runs. `has_waiting_gang` says
    that the last scheduling cycle left quota to a gang, and `below_half_since_ms`
    since when less than half of the quota has been in use meanwhile, or -1. `free`
    is what the quota leaves: negative above it, and for a tenant that is not
    active. `epoch` counts its changes. `used_by_pool`
    is the usage of its runs by the pool of their jobs, and `bucket` holds the tokens
    of its rate.
    """

    policy: TenantPolicy
    used: Resources = Resources()
    is_active: bool = True
    presumed: Resources = Resources()
    runs: 'dict[Run, None]' = field(default_factory=dict)
    has_waiting_gang: bool = False
    below_half_since_ms: int = -1
    free: Resources = Resources()
    epoch: int = 0
    used_by_pool: dict[str, Resources] = field(default_factory=dict)
    bucket: TokenBucket = field(default_factory=TokenBucket)

    def __post_init__(self) -> None:
        """Derive what is free."""
        self._update_free()

    def configure(self, policy: TenantPolicy, *, is_active: bool) -> None:
        """Apply the settings of a version of the configuration."""
        self.policy = policy
        self.is_active = is_active
        self._update_free()

    @property
    def free_below_half(self) -> Resources:
        """Return what is free below half of the quota."""
        return Resources(
            *(
                limit // 2 - amount if limit else UNLIMITED
                for limit, amount in zip(
                    self.policy.quota, self.used, strict=True
                )
            )
        )

    def charge(self, demand: Resources) -> None:
        """Add the demand of a run."""
        self.used = self.used.plus(demand)
        self._update_free()

    def refund(self, demand: Resources) -> None:
        """Subtract the demand of a run that its worker no longer holds."""
        self.used = self.used.minus(demand)
        self._update_free()

    def add_run(self, run: 'Run') -> None:
        """Charge an allocated run."""
        self.runs[run] = None
        demand = run.step.spec.charged_demand
        self.charge(demand)
        self.used_by_pool[run.pool] = self.used_in(run.pool).plus(demand)

    def remove_run(self, run: 'Run') -> None:
        """Refund a run that its worker no longer holds."""
        self.runs.pop(run, None)
        demand = run.step.spec.charged_demand
        self.refund(demand)
        self.used_by_pool[run.pool] = self.used_in(run.pool).minus(demand)

    def used_in(self, pool: str) -> Resources:
        """Return the usage of the runs of one pool."""
        return self.used_by_pool.get(pool, NOTHING)

    def count_startable(self, demand: Resources) -> int:
        """Return how many tasks the quota lets start now."""
        return count_fitting_tasks(demand, self.free)

    def can_ever_fit(self, demand: Resources) -> bool:
        """Return whether a demand fits in the quota if nothing else runs."""
        return self.is_active and all(
            amount <= limit or not limit
            for amount, limit in zip(demand, self.policy.quota, strict=True)
        )

    def find_shortage(self, demand: Resources) -> Shortage | None:
        """Return the first resource that a demand does not fit in."""
        for resource, amount, used, limit in zip(
            demand._fields, demand, self.used, self.policy.quota, strict=True
        ):
            if limit and used + amount > limit:
                return Shortage(resource, used, limit)
        return None

    def _update_free(self) -> None:
        self.epoch += 1
        if not self.is_active:
            self.free = NO_ROOM
            return
        self.free = Resources(
            *(
                limit - amount if limit else UNLIMITED
                for limit, amount in zip(
                    self.policy.quota, self.used, strict=True
                )
            )
        )


class PresumedKey(NamedTuple):
    """Step and worker of presumed runs.

    `is_other` says that the rows of open tasks in the progress record do not tell
    them.
    """

    step: int
    worker_id: str
    is_other: bool


PresumedCounts = dict[PresumedKey, int]


class PresumedRuns(NamedTuple):
    """Runs that earlier owners sent to a worker that has not answered.

    `counts` are those of the job, which the next owner has to know as well.
    """

    account: TenantAccount
    demand: Resources
    counts: PresumedCounts
    key: PresumedKey
    tasks: int


@dataclass(slots=True, eq=False)
class TenantLedger:
    """Hold the accounts of all tenants by name.

    `version` is that of the configuration in force, or -1 before the first one.
    `is_enforced` is false if that version defines no tenants at all; then no
    quota applies. `presumed` holds the starts of earlier owners that may run on a
    worker that has not answered, by worker id. `held` holds the tenants with
    steps that their quota holds back, with the time in ms at which it last did.
    `window_ms` limits the jobs that a tenant may send at once to those of its
    rate in this time; with 0 there are no rates. `capacities` holds the usable
    capacity of each pool, which is added up again from `capacities_until_ms` on.
    """

    version: int = -1
    is_enforced: bool = True
    accounts: dict[str, TenantAccount] = field(default_factory=dict)
    presumed: dict[str, list[PresumedRuns]] = field(default_factory=dict)
    held: dict[str, int] = field(default_factory=dict)
    window_ms: int = 0
    capacities: dict[str, Resources] = field(default_factory=dict)
    capacities_until_ms: int = 0

    def configure(
        self,
        version: int,
        policies: Iterable[TenantPolicy],
        *,
        is_enforced: bool = True,
    ) -> None:
        """Apply the tenants of a newer version of the configuration.

        A tenant that is missing keeps its account with what it runs.
        """
        if version <= self.version:
            return
        self.version = version
        self.is_enforced = is_enforced
        for name, account in self.accounts.items():
            policy = account.policy if is_enforced else TenantPolicy(name)
            account.configure(policy, is_active=not is_enforced)
        for policy in policies:
            self.find(policy.name).configure(policy, is_active=True)

    def find(self, name: str) -> TenantAccount:
        """Return the account of a tenant; an unknown one may run nothing."""
        account = self.accounts.get(name)
        if account is None:
            account = TenantAccount(
                TenantPolicy(name), is_active=not self.is_enforced
            )
            self.accounts[name] = account
        return account

    def presume(self, runs: PresumedRuns) -> None:
        """Charge runs that may be on a worker that has not answered."""
        account = runs.account
        account.charge(runs.demand)
        account.presumed = account.presumed.plus(runs.demand)
        counts = runs.counts
        counts[runs.key] = counts.get(runs.key, 0) + runs.tasks
        self.presumed.setdefault(runs.key.worker_id, []).append(runs)

    def settle(self, worker_id: str) -> None:
        """Refund the presumed runs of a worker; its run table replaces them."""
        for runs in self.presumed.pop(worker_id, ()):
            account = runs.account
            account.refund(runs.demand)
            account.presumed = account.presumed.minus(runs.demand)
            runs.counts.pop(runs.key, None)

    def is_over_rate(self, account: TenantAccount, accepted_ms: int) -> bool:
        """Count an accepted job, and return whether it is over the rate.

        Jobs that are read before their tenant is known are not counted.
        """
        if not self._has_rate(account):
            return False
        rate = account.policy.weight
        return not account.bucket.take(rate, self.window_ms, accepted_ms)

    def tokens_left(
        self,
        account: TenantAccount,
        accepted_ms: int,
        granted: Iterable[int] = (),
    ) -> float:
        """Return how many jobs that are accepted at a time are within the rate.

        Without rates every job is. `granted` has the acceptance times of jobs that
        are read before these.
        """
        if not self._has_rate(account):
            return math.inf
        rate = account.policy.weight
        bucket = replace(account.bucket)
        for granted_ms in granted:
            bucket.take(rate, self.window_ms, granted_ms)
        return bucket.tokens_at(rate, self.window_ms, accepted_ms)

    def _has_rate(self, account: TenantAccount) -> bool:
        is_limited = self.is_enforced and bool(self.window_ms)
        return is_limited and account.is_active
