"""Track what each tenant has running, against its quota.

Load: tenants that share a cell submit more than they may run at a time, while
versions of the configuration lower their quotas and owners change.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from .._resources import Resources


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
    """

    policy: TenantPolicy
    used: Resources = Resources()
    is_active: bool = True

    def charge(self, demand: Resources) -> None:
        """Add the demand of a run."""
        self.used = self.used.plus(demand)

    def refund(self, demand: Resources) -> None:
        """Subtract the demand of a run that its worker no longer holds."""
        self.used = self.used.minus(demand)


@dataclass(slots=True, eq=False)
class TenantLedger:
    """Hold the accounts of all tenants by name.

    `version` is that of the configuration in force, or -1 before the first one.
    """

    version: int = -1
    accounts: dict[str, TenantAccount] = field(default_factory=dict)

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
