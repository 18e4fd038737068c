"""Collect metrics and render them as text."""

import bisect
import collections
from collections.abc import Iterator
from typing import Final, final

# Upper bounds of the latency histograms, in ms.
BUCKETS_MS: Final = (2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000)
PREFIX: Final = 'lycheerelay'

Labels = tuple[tuple[str, str], ...]


@final
class MetricsRegistry:
    """Hold counters, gauges and latency histograms."""

    def __init__(self) -> None:
        """Start without metrics."""
        self.counters: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self.gauges: dict[str, float] = {}
        self.buckets: dict[str, list[int]] = {}
        self.sums: collections.Counter[str] = collections.Counter()

    def count(self, name: str, **labels: str) -> None:
        """Increment a counter."""
        self.counters[name, tuple(sorted(labels.items()))] += 1

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def observe(self, name: str, elapsed_ms: int) -> None:
        """Add a duration to a latency histogram."""
        counts = self.buckets.setdefault(name, [0 for _ in (0, *BUCKETS_MS)])
        counts[bisect.bisect_left(BUCKETS_MS, elapsed_ms)] += 1
        self.sums[name] += elapsed_ms

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return '\n'.join([*self._lines(), ''])

    def _lines(self) -> Iterator[str]:
        for (name, labels), total in sorted(self.counters.items()):
            text = ','.join(f'{key}="{value}"' for key, value in labels)
            yield f'{PREFIX}_{name}_total{{{text}}} {total}'
        for name, value in sorted(self.gauges.items()):
            yield f'{PREFIX}_{name} {value}'
        for name, counts in sorted(self.buckets.items()):
            yield from self._histogram(name, counts)

    def _histogram(self, name: str, counts: list[int]) -> Iterator[str]:
        cumulative = 0
        metric = f'{PREFIX}_{name}_ms'
        for bound, amount in zip(BUCKETS_MS, counts, strict=False):
            cumulative += amount
            yield f'{metric}_bucket{{le="{bound}"}} {cumulative}'
        total = cumulative + counts[-1]
        yield f'{metric}_bucket{{le="+Inf"}} {total}'
        yield f'{metric}_sum {self.sums[name]}'
        yield f'{metric}_count {total}'
