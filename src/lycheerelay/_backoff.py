"""Space repeated tries apart."""

import random
from typing import Final, final

FIRST_MS: Final = 200
LIMIT_MS: Final = 5000


@final
class Backoff:
    """Double the delay after each failure, with full jitter on top of half.

    Source: Brooker, "Exponential backoff and jitter", 2015.
    """

    def __init__(
        self,
        rng: random.Random,
        first_ms: int = FIRST_MS,
        limit_ms: int = LIMIT_MS,
    ) -> None:
        """Start with no failure counted."""
        self.random = rng
        self.first_ms = first_ms
        self.limit_ms = limit_ms
        self.failures = 0

    def next_ms(self) -> int:
        """Count a failure and return how long to wait after it."""
        doubled_ms = self.first_ms << min(self.failures, 16)
        self.failures += 1
        delay_ms = min(doubled_ms, self.limit_ms)
        return delay_ms // 2 + self.random.randint(0, delay_ms // 2)

    def reset(self) -> None:
        """Forget the failures after a success."""
        self.failures = 0
