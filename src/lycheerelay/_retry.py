"""Compute retry delays and limit the share of reruns among starts."""

from dataclasses import dataclass
from typing import Final, NamedTuple

from ._hashing import number_of

RETRY_SHARE_PERCENT: Final = 10
HUNDREDTHS_PER_TOKEN: Final = 100
BURST_TOKENS: Final = 10
TRICKLE_INTERVAL_MS: Final = 1000
MAX_DOUBLINGS: Final = 20


class RetryDelays(NamedTuple):
    """Set the first and the longest retry delay."""

    base_ms: int
    max_ms: int


def retry_delay_ms(delays: RetryDelays, failures: int, seed: str) -> int:
    """Return an exponential delay whose upper half is derived from the seed.

    Source: Brooker, "Exponential Backoff And Jitter", AWS Architecture
    Blog, 2015 (equal jitter).
    """
    doublings = min(max(failures - 1, 0), MAX_DOUBLINGS)
    full_ms = min(delays.base_ms << doublings, delays.max_ms)
    half_ms = full_ms // 2
    return half_ms + number_of(seed) % (full_ms - half_ms + 1)


@dataclass(slots=True)
class RetryBudget:
    """Limit reruns with tokens that first starts earn and reruns spend.

    Tokens are counted in hundredths.

    Source: Beyer et al., "Site Reliability Engineering", chapter 21,
    "Handling Overload", 2016.
    """

    hundredths: int = BURST_TOKENS * HUNDREDTHS_PER_TOKEN
    refilled_ms: int = 0
    firsts: int = 0
    reruns: int = 0
    denied: int = 0
    earned: int = 0

    def count_first(self, starts: int = 1) -> None:
        """Earn RETRY_SHARE_PERCENT of a token for each first start."""
        self.firsts += starts
        self.earned += starts * RETRY_SHARE_PERCENT
        self._earn(starts * RETRY_SHARE_PERCENT)

    def may_rerun(self, now_ms: int) -> bool:
        """Spend one token and return whether one was left.

        A pool with few first starts earns at minimum one token per
        TRICKLE_INTERVAL_MS.
        """
        passed_ms = now_ms - self.refilled_ms
        if passed_ms >= TRICKLE_INTERVAL_MS:
            minimum = passed_ms * HUNDREDTHS_PER_TOKEN // TRICKLE_INTERVAL_MS
            self._earn(max(0, minimum - self.earned))
            self.refilled_ms = now_ms
            self.earned = 0
        if self.hundredths < HUNDREDTHS_PER_TOKEN:
            self.denied += 1
            return False
        self.hundredths -= HUNDREDTHS_PER_TOKEN
        self.reruns += 1
        return True

    def _earn(self, hundredths: int) -> None:
        limit = BURST_TOKENS * HUNDREDTHS_PER_TOKEN
        self.hundredths = min(self.hundredths + hundredths, limit)
