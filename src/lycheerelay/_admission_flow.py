"""Predict waiting times from the recent start rate of each team and kind."""

from dataclasses import dataclass, field
from typing import Final

from ._jobs import Kind

WINDOW_MS: Final = 30_000

RateKey = tuple[str, Kind]


@dataclass(slots=True)
class StartRate:
    """Count recent starts of one team and kind while its tasks wait.

    `starts` decays linearly over the window after `updated_ms`.
    """

    since_ms: int
    updated_ms: int
    starts: float = 0

    def record(self, count: int, now_ms: int) -> None:
        """Count starts and decay the earlier ones."""
        self.starts = self._decayed(now_ms) + count
        self.updated_ms = now_ms

    def predict_wait(self, waiting: int, now_ms: int) -> int:
        """Predict the wait in ms behind `waiting` tasks by Little's law.

        Source: Little, 1961. Without a recent start, the time waited so far
        is returned.
        """
        observed_ms = max(1, min(WINDOW_MS, now_ms - self.since_ms))
        starts = self._decayed(now_ms)
        if starts < 1:
            return now_ms - self.since_ms
        return int(waiting * observed_ms / starts)

    def _decayed(self, now_ms: int) -> float:
        passed_ms = now_ms - self.updated_ms
        return self.starts * max(0, 1 - passed_ms / WINDOW_MS)


@dataclass(slots=True)
class StartRates:
    """Hold the start rate of each team and kind that has waiting tasks."""

    by_key: dict[RateKey, StartRate] = field(default_factory=dict)

    def record_starts(self, key: RateKey, count: int, now_ms: int) -> None:
        """Count starts of waiting tasks."""
        rate = self.by_key.get(key)
        if rate is None:
            rate = StartRate(now_ms, now_ms)
            self.by_key[key] = rate
        rate.record(count, now_ms)

    def update(self, counts: dict[RateKey, int], now_ms: int) -> None:
        """Track the keys with waiting tasks and drop all others."""
        for key in counts:
            if key not in self.by_key:
                self.by_key[key] = StartRate(now_ms, now_ms)
        for key in tuple(self.by_key):
            if key not in counts:
                self.by_key.pop(key)

    def predict(
        self,
        key: RateKey,
        counts: dict[RateKey, int],
        now_ms: int,
    ) -> int:
        """Predict in ms how long a new task would wait."""
        waiting = counts.get(key, 0)
        rate = self.by_key.get(key)
        if not waiting or rate is None:
            return 0
        return rate.predict_wait(waiting, now_ms)
