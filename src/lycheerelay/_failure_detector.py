"""Judge the silence of a peer by the pace of its heartbeats."""

import math
from collections import deque
from typing import Final, final

WINDOW: Final = 20
MIN_DEVIATION: Final = 0.2
MAX_PHI: Final = 99.0


@final
class ArrivalWindow:
    """Estimate how unlikely the present silence of one peer is.

    Source: Hayashibara et al., "The phi accrual failure detector", 2004; the
    logistic approximation of the normal distribution is by Bowling et al.,
    "A logistic approximation to the cumulative normal distribution", 2009.
    """

    def __init__(self, expected_ms: int, now_ms: int) -> None:
        """Expect a pace until arrivals show the true one."""
        self.expected_ms = expected_ms
        self.last_ms = now_ms
        self.gaps: deque[int] = deque((expected_ms,), WINDOW)

    def arrive(self, now_ms: int) -> None:
        """Count a heartbeat."""
        gap_ms = now_ms - self.last_ms
        if 0 < gap_ms < 4 * self.expected_ms:
            self.gaps.append(gap_ms)
        self.last_ms = now_ms

    def shift(self, by_ms: int, now_ms: int) -> None:
        """Leave out a time in which nothing could be heard here."""
        self.last_ms = min(self.last_ms + by_ms, now_ms)

    def phi(self, now_ms: int) -> float:
        """Return the suspicion: minus log10 of the chance of this silence."""
        mean = sum(self.gaps) / len(self.gaps)
        spread = sum((gap - mean) ** 2 for gap in self.gaps) / len(self.gaps)
        deviation = max(math.sqrt(spread), MIN_DEVIATION * self.expected_ms)
        score = (now_ms - self.last_ms - mean) / deviation
        power = score * (1.5976 + 0.070566 * score * score)
        if power > 200:
            return MAX_PHI
        return math.log10(1 + math.exp(power))
