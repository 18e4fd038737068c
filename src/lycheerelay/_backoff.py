"""Compute increasing delays between retries."""

from typing import Final, final

from ._retry import RetryDelays, retry_delay_ms

FIRST_DELAY_MS: Final = 200
MAX_DELAY_MS: Final = 5000


@final
class Backoff:
    """Increase the delay with each failure until a success."""

    def __init__(
        self,
        seed: str,
        first_ms: int = FIRST_DELAY_MS,
        limit_ms: int = MAX_DELAY_MS,
    ) -> None:
        """Initialize without failures; the seed determines the jitter."""
        self.seed = seed
        self.delays = RetryDelays(first_ms, limit_ms)
        self.failures = 0

    def next_ms(self) -> int:
        """Record a failure and return the delay before the next attempt."""
        self.failures += 1
        seed = f'{self.seed}:{self.failures}'
        return retry_delay_ms(self.delays, self.failures, seed)

    def reset(self) -> None:
        """Reset the failure count after a success."""
        self.failures = 0
