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
# A poll is not delayed for longer, since ends are acknowledged only shortly after
# the last answer of their worker.
MAX_DELAY_MS: Final = 250


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

    def delay_ms(self, now_ms: int) -> float:
        """Return how long to wait before the next poll of the worker, in ms."""
        return min(max(self.used_until_ms - now_ms, 0), MAX_DELAY_MS)
