"""Track what each tenant has running, against its quota.

Load: tenants that share a cell submit more than they may run at a time, while
versions of the configuration lower their quotas and owners change.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from .._resources import Resources
from ._tenant_rates import TokenBucket

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


@dataclass(slots=True, eq=False)
class TenantAccount:
    """Hold what one tenant has running on all workers.

    `is_active` says whether the configuration in force has the tenant.
    `used_by_pool` is the same usage by the pool of the jobs. `bucket` holds the
    tokens of its rate.
    """

    policy: TenantPolicy
    used: Resources = Resources()
    is_active: bool = True
    used_by_pool: dict[str, Resources] = field(default_factory=dict)
    bucket: TokenBucket = field(default_factory=TokenBucket)

    def charge(self, demand: Resources, pool: str) -> None:
        """Add the demand of a run."""
        self.used = self.used.plus(demand)
        self.used_by_pool[pool] = self.used_in(pool).plus(demand)

    def refund(self, demand: Resources, pool: str) -> None:
        """Subtract the demand of a run that its worker no longer holds."""
        self.used = self.used.minus(demand)
        self.used_by_pool[pool] = self.used_in(pool).minus(demand)

    def used_in(self, pool: str) -> Resources:
        """Return the usage by the jobs of one pool."""
        return self.used_by_pool.get(pool, NOTHING)


@dataclass(slots=True, eq=False)
class TenantLedger:
    """Hold the accounts of all tenants by name.

    `version` is that of the configuration in force, or -1 before the first one.
    `window_ms` limits the jobs that a tenant may send at once to those of its
    rate in this time; with 0 there are no rates. `capacities` holds the usable
    capacity of each pool, which is added up again from `capacities_until_ms` on.
    """

    version: int = -1
    window_ms: int = 0
    accounts: dict[str, TenantAccount] = field(default_factory=dict)
    capacities: dict[str, Resources] = field(default_factory=dict)
    capacities_until_ms: int = 0

    def configure(self, version: int, policies: Iterable[TenantPolicy]) -> None:
        """Apply the tenants of a newer version of the configuration.

        A tenant that is missing keeps its account with what it runs.
        """
        if version <= self.version:
            return
        self.version = version
        for account in self.accounts.values():
            account.is_active = False
        for policy in policies:
            account = self.find(policy.name)
            account.policy = policy
            account.is_active = True

    def find(self, name: str) -> TenantAccount:
        """Return the account of a tenant; an unknown one may run nothing."""
        account = self.accounts.get(name)
        if account is None:
            account = TenantAccount(TenantPolicy(name), is_active=False)
            self.accounts[name] = account
        return account

    def is_over_rate(self, account: TenantAccount, accepted_ms: int) -> bool:
        """Count an accepted job, and return whether it is over the rate.

        Jobs that are read before their tenant is known are not counted.
        """
        if not self.window_ms or not account.is_active:
            return False
        rate = account.policy.weight
        return not account.bucket.take(rate, self.window_ms, accepted_ms)
