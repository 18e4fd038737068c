"""Decide when a failed append is repeated.

Load: starts wait for the record of their assignment, so the first repeats are
quick. A store that answers every append with an error at once must not be
called without a pause, nor by a whole series of appends that fail once each.
"""

import zlib
from typing import Final, final

# Time between the sending of two attempts, doubled from the second repeat on up
# to the longest one. An attempt that times out has used up its share.
FIRST_INTERVAL_MS: Final = 120
LONGEST_INTERVAL_MS: Final = 320
QUICK_REPEATS: Final = 2
# Repeats over all appends: what may come at once, and each second afterwards.
# Beyond that, repeats are SPENT_INTERVAL_MS apart.
BUDGET: Final = 40
BUDGET_PER_S: Final = 5
SPENT_INTERVAL_MS: Final = 1000
MS_PER_REPEAT: Final = 1000 // BUDGET_PER_S
HASH_RANGE: Final = 1 << 32


@final
class RepeatPace:
    """Choose the pauses between attempts, within a budget of repeats."""

    def __init__(self, seed: int) -> None:
        """Start with the whole budget; the jitter depends on the seed."""
        self.seed = seed
        self.repeats = 0
        # Time from which the whole budget is available again.
        self.full_from_ms = 0

    def pause_ms(self, attempt: int, sent_ms: int, now_ms: int) -> int:
        """Return the pause before a repeat and charge it to the budget.

        `attempt` is the number of attempts so far, the last one sent at `sent_ms`.
        """
        self.repeats += 1
        interval_ms = self._jitter(repeat_interval_ms(attempt))
        spent_ms = max(self.full_from_ms - now_ms, 0)
        if spent_ms + MS_PER_REPEAT > BUDGET * MS_PER_REPEAT:
            interval_ms = self._jitter(2 * SPENT_INTERVAL_MS)
        else:
            self.full_from_ms = now_ms + spent_ms + MS_PER_REPEAT
        return max(sent_ms + interval_ms - now_ms, 0)

    def _jitter(self, interval_ms: int) -> int:
        """Return a time from half the interval up to the whole of it."""
        digest = zlib.crc32(f'{self.seed}.{self.repeats}'.encode())
        return interval_ms // 2 + interval_ms * digest // (2 * HASH_RANGE)


def repeat_interval_ms(attempt: int) -> int:
    """Return the longest time between an attempt and the next one."""
    doublings = min(max(attempt - QUICK_REPEATS, 0), 10)
    return min(FIRST_INTERVAL_MS << doublings, LONGEST_INTERVAL_MS)
