"""Count what the process does and show it as text."""

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
        """Start at zero."""
        self.counters: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self.gauges: dict[str, float] = {}
        self.buckets: dict[str, list[int]] = {}
        self.sums: collections.Counter[str] = collections.Counter()

    def count(self, name: str, **labels: str) -> None:
        """Add one to a counter."""
        self.counters[name, tuple(sorted(labels.items()))] += 1

    def gauge(self, name: str, reading: float) -> None:
        """Set a gauge."""
        self.gauges[name] = reading

    def observe(self, name: str, took_ms: int) -> None:
        """Add a time to a histogram."""
        rows = self.buckets.setdefault(name, [0 for _ in (0, *BUCKETS_MS)])
        rows[bisect.bisect_left(BUCKETS_MS, took_ms)] += 1
        self.sums[name] += took_ms

    def render(self) -> str:
        """Return everything in the text format of Prometheus."""
        return '\n'.join([*self._lines(), ''])

    def _lines(self) -> Iterator[str]:
        for (name, labels), total in sorted(self.counters.items()):
            text = ','.join(f'{key}="{content}"' for key, content in labels)
            yield f'{PREFIX}_{name}_total{{{text}}} {total}'
        for name, reading in sorted(self.gauges.items()):
            yield f'{PREFIX}_{name} {reading}'
        for name, rows in sorted(self.buckets.items()):
            yield from self._histogram(name, rows)

    def _histogram(self, name: str, rows: list[int]) -> Iterator[str]:
        running = 0
        metric = f'{PREFIX}_{name}_ms'
        for bound, amount in zip(BUCKETS_MS, rows, strict=False):
            running += amount
            yield f'{metric}_bucket{{le="{bound}"}} {running}'
        total = running + rows[-1]
        yield f'{metric}_bucket{{le="+Inf"}} {total}'
        yield f'{metric}_sum {self.sums[name]}'
        yield f'{metric}_count {total}'
