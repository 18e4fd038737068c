"""Detect unresponsive peers from the intervals of their heartbeats."""

import math
from collections import deque
from typing import Final, final

WINDOW_SIZE: Final = 20
MIN_DEVIATION_RATIO: Final = 0.2
MAX_PHI: Final = 99.0


@final
class ArrivalWindow:
    """Estimate how unlikely the time since a peer's last heartbeat is.

    Source: Hayashibara et al., "The phi accrual failure detector", 2004; the
    logistic approximation of the normal distribution is by Bowling et al.,
    "A logistic approximation to the cumulative normal distribution", 2009.
    """

    def __init__(self, expected_ms: int, now_ms: int) -> None:
        """Assume the expected interval until heartbeats arrive."""
        self.expected_ms = expected_ms
        self.last_ms = now_ms
        self.intervals: deque[int] = deque((expected_ms,), WINDOW_SIZE)

    def record_arrival(self, now_ms: int) -> None:
        """Record the arrival of a heartbeat."""
        interval_ms = now_ms - self.last_ms
        if 0 < interval_ms < 4 * self.expected_ms:
            self.intervals.append(interval_ms)
        self.last_ms = now_ms

    def exclude(self, pause_ms: int, now_ms: int) -> None:
        """Exclude a time in which this node could not receive anything."""
        self.last_ms = min(self.last_ms + pause_ms, now_ms)

    def phi(self, now_ms: int) -> float:
        """Return phi: -log10 of the probability of an interval this long."""
        count = len(self.intervals)
        mean = sum(self.intervals) / count
        variance = sum((part - mean) ** 2 for part in self.intervals) / count
        min_deviation = MIN_DEVIATION_RATIO * self.expected_ms
        deviation = max(math.sqrt(variance), min_deviation)
        score = (now_ms - self.last_ms - mean) / deviation
        power = score * (1.5976 + 0.070566 * score * score)
        if power > 200:
            return MAX_PHI
        return math.log10(1 + math.exp(power))
