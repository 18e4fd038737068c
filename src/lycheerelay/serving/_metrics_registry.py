"""Collect metrics and render them as text."""

import bisect
import collections
from collections.abc import Iterator
from typing import Final, final

from ._tenant_metrics import TenantLabels, largest_tenants

# Upper bounds of the latency histograms, in ms.
BUCKETS_MS: Final = (2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000)
# Histograms of longer times: from the acceptance of a job to its first start.
OTHER_BUCKETS_MS: Final = {
    'tenant_wait': (50, 250, 500, 1000, 2500, 5000, 10_000, 30_000, 120_000),
}
PREFIX: Final = 'lycheerelay'

Labels = tuple[tuple[str, str], ...]
Key = tuple[str, Labels]


@final
class MetricsRegistry:
    """Hold counters, gauges and latency histograms."""

    def __init__(self) -> None:
        """Start without metrics."""
        self.counters: collections.Counter[Key] = collections.Counter()
        self.gauges: dict[Key, float] = {}
        self.buckets: dict[Key, list[int]] = {}
        self.sums: collections.Counter[Key] = collections.Counter()
        self.tenant_labels = TenantLabels()

    def count(self, name: str, **labels: str) -> None:
        """Increment a counter."""
        self.increase(name, 1, labels)

    def increase(self, name: str, amount: int, labels: dict[str, str]) -> None:
        """Add an amount to a counter."""
        self.counters[_key(name, labels)] += amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self.gauges[_key(name, labels)] = value

    def observe(self, name: str, elapsed_ms: int, **labels: str) -> None:
        """Add a duration to a latency histogram."""
        key = _key(name, labels)
        bounds = _bounds(name)
        counts = self.buckets.setdefault(key, [0 for _ in (0, *bounds)])
        counts[bisect.bisect_left(bounds, elapsed_ms)] += 1
        self.sums[key] += elapsed_ms

    def count_job(self, name: str, tenant: str, **labels: str) -> None:
        """Increment a counter of jobs; nothing for jobs without a tenant."""
        if not tenant:
            return
        self.count(name, tenant=self._label(tenant), **labels)

    def observe_job(self, name: str, tenant: str, elapsed_ms: int) -> None:
        """Add the duration of a job to the histogram of its tenant."""
        if tenant:
            self.observe(name, elapsed_ms, tenant=self._label(tenant))

    def gauge_tenants(self, name: str, values: dict[str, float]) -> None:
        """Replace a gauge by tenant."""
        outdated = [key for key in self.gauges if key[0] == name]
        for key in outdated:
            self.gauges.pop(key)
        for tenant, value in largest_tenants(values).items():
            self.gauge(name, value, tenant=tenant)

    def _label(self, tenant: str) -> str:
        replaced = self.tenant_labels.add_job(tenant)
        if replaced:
            self._drop_tenant(replaced)
        return self.tenant_labels.find(tenant)

    def _drop_tenant(self, tenant: str) -> None:
        for table in (self.counters, self.buckets, self.sums):
            outdated = [key for key in table if ('tenant', tenant) in key[1]]
            for key in outdated:
                table.pop(key)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return '\n'.join([*self._lines(), ''])

    def _lines(self) -> Iterator[str]:
        for (name, labels), total in sorted(self.counters.items()):
            yield f'{PREFIX}_{name}_total{{{_text(labels)}}} {total}'
        for (name, labels), value in sorted(self.gauges.items()):
            yield f'{PREFIX}_{name}{_braces(labels)} {value}'
        for key, counts in sorted(self.buckets.items()):
            yield from self._histogram(key, counts)

    def _histogram(self, key: Key, counts: list[int]) -> Iterator[str]:
        name, labels = key
        cumulative = 0
        metric = f'{PREFIX}_{name}_ms'
        for bound, amount in zip(_bounds(name), counts, strict=False):
            cumulative += amount
            text = _text((*labels, ('le', str(bound))))
            yield f'{metric}_bucket{{{text}}} {cumulative}'
        total = cumulative + counts[-1]
        text = _text((*labels, ('le', '+Inf')))
        yield f'{metric}_bucket{{{text}}} {total}'
        yield f'{metric}_sum{_braces(labels)} {self.sums[key]}'
        yield f'{metric}_count{_braces(labels)} {total}'


def _key(name: str, labels: dict[str, str]) -> Key:
    return name, tuple(sorted(labels.items()))


def _bounds(name: str) -> tuple[int, ...]:
    return OTHER_BUCKETS_MS.get(name, BUCKETS_MS)


def _text(labels: Labels) -> str:
    return ','.join(f'{name}="{_escape(value)}"' for name, value in labels)


def _braces(labels: Labels) -> str:
    return f'{{{_text(labels)}}}' if labels else ''


def _escape(value: str) -> str:
    # The names of tenants are text from the configuration.
    escaped = value.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')
