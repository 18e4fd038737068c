"""Bound retries to a share of the first tries."""

import threading
from typing import Final, final

RETRY_SHARE: Final = 0.1
BURST_RETRIES: Final = 10


@final
class RetryBudget:
    """Hold tokens that first tries earn and retries spend.

    Source: Beyer et al., "Site Reliability Engineering", chapter 21,
    "Handling Overload", 2016.
    """

    def __init__(
        self,
        share: float = RETRY_SHARE,
        burst: int = BURST_RETRIES,
    ) -> None:
        """Start with a full burst."""
        self.share = share
        self.burst = burst
        self.tokens = float(burst)
        self.lock = threading.Lock()
        self.firsts = 0
        self.retries = 0
        self.denied = 0

    def count_first(self) -> None:
        """Earn a share of a retry for a first try."""
        with self.lock:
            self.firsts += 1
            self.tokens = min(self.tokens + self.share, self.burst)

    def may_retry(self) -> bool:
        """Spend one token, if there is one."""
        with self.lock:
            if self.tokens < 1:
                self.denied += 1
                return False
            self.tokens -= 1
            self.retries += 1
            return True
