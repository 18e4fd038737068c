"""Choose the label of each tenant, with a bounded number of values."""

from collections import Counter
from typing import Final, final

# Tenants with metrics of their own; the others share one label value. A site has
# up to 94 tenants, and each has about 20 series.
MAX_NAMED_TENANTS: Final = 30
OTHER: Final = 'other'
# A tenant replaces the smallest named one once it has this many times its jobs,
# so that tenants of equal size do not replace each other all the time.
REPLACE_FACTOR: Final = 2
# Tenants whose jobs are counted; beyond that the smallest are forgotten.
MAX_COUNTED_TENANTS: Final = 1000


@final
class TenantLabels:
    """Name the tenants with the most jobs.

    A tenant that is replaced loses its series, and later jobs of it count as
    OTHER, so that no counter ever decreases.
    """

    def __init__(self) -> None:
        """Start without tenants."""
        self.jobs: Counter[str] = Counter()
        self.named: set[str] = set()

    def add_job(self, tenant: str) -> str:
        """Count a job of a tenant; return the label value to remove, or ''."""
        self.jobs[tenant] += 1
        if tenant in self.named:
            return ''
        if len(self.named) < MAX_NAMED_TENANTS:
            self.named.add(tenant)
            return ''
        return self._replace_smallest(tenant)

    def find(self, tenant: str) -> str:
        """Return the label value of a tenant."""
        return tenant if tenant in self.named else OTHER

    def _replace_smallest(self, tenant: str) -> str:
        smallest = min(self.named, key=lambda name: self.jobs[name])
        if self.jobs[tenant] > REPLACE_FACTOR * self.jobs[smallest]:
            self.named.discard(smallest)
            self.named.add(tenant)
            return smallest
        if len(self.jobs) > MAX_COUNTED_TENANTS:
            largest = self.jobs.most_common(MAX_COUNTED_TENANTS // 2)
            self.jobs = Counter(dict(largest))
        return ''


def largest_tenants(values: dict[str, float]) -> dict[str, float]:
    """Return the largest values by tenant, and the sum of the others."""
    ranked = sorted(values.items(), key=lambda pair: (-pair[1], pair[0]))
    largest = dict(ranked[:MAX_NAMED_TENANTS])
    rest = ranked[MAX_NAMED_TENANTS:]
    if rest:
        total = sum(amount for _, amount in rest)
        largest[OTHER] = largest.get(OTHER, 0) + total
    return largest
