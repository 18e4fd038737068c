"""Divide a pool among the tenants that wait for it.

Load: more tenants than the pool can serve at once, of uneven size, of which one
sends several times its usual work. The shares are those of weighted dominant
resource fairness (Ghodsi et al., NSDI 2011).
"""

from collections.abc import Collection
from math import inf
from typing import NamedTuple, final

from .._resources import Resources
from ._state import StepInfo
from ._tenants import TenantAccount


class UnitParts(NamedTuple):
    """Hold the part of a pool that one unit of each resource is."""

    core_milli: float
    memory_mb: float
    accelerator: float


def unit_parts(capacity: Resources) -> UnitParts:
    """Return the parts for a pool; a resource that it lacks counts as 0."""
    return UnitParts(
        1 / (capacity.cores_milli or inf),
        1 / (capacity.memory_mb or inf),
        1 / (capacity.accelerators or inf),
    )


@final
class TenantUsage:
    """Count what a tenant runs in a pool, and its steps in their order.

    Amounts are parts of the pool, as is the share of the tenant.
    """

    __slots__ = (
        'accelerators',
        'cores',
        'is_used_up',
        'memory',
        'share',
        'units',
    )

    def __init__(self, used: Resources, units: UnitParts, share: float) -> None:
        """Start with what is running."""
        self.units = units
        self.share = share
        self.cores = used.cores_milli * units.core_milli
        self.memory = used.memory_mb * units.memory_mb
        self.accelerators = used.accelerators * units.accelerator
        self.is_used_up = self.dominant_share >= share

    @property
    def dominant_share(self) -> float:
        """Return the largest part of any resource."""
        return max(self.cores, self.memory, self.accelerators)

    def count(self, step: StepInfo) -> bool:
        """Return whether the share is used up before a step.

        The waiting tasks of the step count for the steps after it.
        """
        if self.is_used_up:
            return True
        demand = step.spec.demand
        units = self.units
        tasks = len(step.waiting)
        self.cores += demand.cores_milli * tasks * units.core_milli
        self.memory += demand.memory_mb * tasks * units.memory_mb
        self.accelerators += demand.accelerators * tasks * units.accelerator
        self.is_used_up = self.dominant_share >= self.share
        return False


def tenant_usages(
    accounts: Collection[TenantAccount], pool: str, capacity: Resources
) -> dict[TenantAccount, TenantUsage]:
    """Return the usage of each tenant that waits for a pool.

    The shares are in proportion to the weights. Tenants that wait for nothing
    keep no share, so what they leave is divided among the others.
    """
    total = sum(account.policy.weight for account in accounts) or inf
    units = unit_parts(capacity)
    return {
        account: TenantUsage(
            account.used_in(pool), units, account.policy.weight / total
        )
        for account in accounts
    }
