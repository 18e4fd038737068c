"""Space out polls whose replies list many runs.

Load: thousands of tasks on a few workers end one after the other, as their job is
cancelled or they are short. Each end returns the poll of its worker, and the reply
lists all other runs there, so that the rows grow with the square of the tasks.
"""

from typing import Final, final

# Rows of a reply that cost little beside the call itself.
FREE_ROWS: Final = 64
# Rows beyond these that all workers together may list in a ms. Decoding and applying
# one takes 7 us of a processor.
ROWS_PER_MS: Final = 4
# Longest delay of a poll. Until it, the capacity of runs that have ended is idle.
MAX_DELAY_MS: Final = 250
# The same while most runs of the worker are being stopped; each poll that found no
# end would wait there for as long.
MAX_STOPPING_DELAY_MS: Final = 1000


@final
class PollPace:
    """Share a budget of listed runs among the polls of one owner."""

    def __init__(self) -> None:
        """Start with an unused budget."""
        self.used_until_ms: float = 0

    def charge(self, rows: int, now_ms: int) -> None:
        """Charge the rows of a reply to the budget."""
        charged = max(rows - FREE_ROWS, 0)
        begun_ms = max(self.used_until_ms, now_ms)
        self.used_until_ms = begun_ms + charged / ROWS_PER_MS

    def delay_ms(self, now_ms: int, *, is_stopping: bool = False) -> float:
        """Return how long to wait before the next poll of the worker, in ms.

        `is_stopping` says that most runs of the worker are being stopped.
        """
        longest_ms = MAX_STOPPING_DELAY_MS if is_stopping else MAX_DELAY_MS
        return min(max(self.used_until_ms - now_ms, 0), longest_ms)
