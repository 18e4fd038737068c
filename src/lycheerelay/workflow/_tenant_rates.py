"""Find the jobs that a tenant sends over its rate.

Load: a tenant sends several times its usual jobs for some seconds.
"""

from dataclasses import dataclass
from typing import Final

MS_PER_SECOND: Final = 1000


@dataclass(slots=True, eq=False)
class TokenBucket:
    """Hold the tokens that the jobs of one tenant take.

    `filled_ms` is the newest acceptance time so far, or None before the first
    job. The result depends only on the jobs and their order, so an owner that
    reads the same records marks the same jobs as its predecessor.
    """

    tokens: float = 0
    filled_ms: int | None = None

    def tokens_at(self, rate: float, window_ms: int, accepted_ms: int) -> float:
        """Return the tokens for jobs that are accepted at a time.

        `rate` is in tokens per second; the bucket holds the tokens of the window.
        Acceptance times come from the clocks of several VMs, so a time may be
        earlier than the one before it. Such a job adds no tokens.
        """
        # A tenant that may send one job in more than the window may send one.
        limit = max(rate * window_ms / MS_PER_SECOND, float(rate > 0))
        if self.filled_ms is None:
            return limit
        elapsed_ms = max(accepted_ms - self.filled_ms, 0)
        return min(self.tokens + rate * elapsed_ms / MS_PER_SECOND, limit)

    def take(self, rate: float, window_ms: int, accepted_ms: int) -> bool:
        """Take one token for a job; return False if none is left."""
        self.tokens = self.tokens_at(rate, window_ms, accepted_ms)
        if self.filled_ms is None or accepted_ms > self.filled_ms:
            self.filled_ms = accepted_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
