"""Space repeated tries apart."""

from typing import Final, final

from ._retry import RetryDelays, retry_delay_ms

FIRST_MS: Final = 200
LIMIT_MS: Final = 5000


@final
class Backoff:
    """Lengthen the delay after each failure until a success."""

    def __init__(
        self,
        seed: str,
        first_ms: int = FIRST_MS,
        limit_ms: int = LIMIT_MS,
    ) -> None:
        """Start with no failure counted."""
        self.seed = seed
        self.pace = RetryDelays(first_ms, limit_ms)
        self.failures = 0

    def next_ms(self) -> int:
        """Count a failure and return how long to wait after it."""
        self.failures += 1
        seed = f'{self.seed}:{self.failures}'
        return retry_delay_ms(self.pace, self.failures, seed)

    def reset(self) -> None:
        """Forget the failures after a success."""
        self.failures = 0
