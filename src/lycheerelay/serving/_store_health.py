"""Track how the store answers the regular calls of this VM."""

from typing import Final, final

# The store counts as lost after this many failed calls in a row. A reset of
# connections fails one.
FAILED_CALLS_OF_LOST_STORE: Final = 2
# A call takes 10 ms as a rule.
SLOW_CALL_MS: Final = 60


@final
class StoreHealth:
    """Judge the store by calls that are made several times a second."""

    def __init__(self) -> None:
        """Start with a store that answers."""
        self.failed_calls = 0
        self.answers = 0
        self.took_ms = 0

    @property
    def is_lost(self) -> bool:
        """Return whether the last calls have failed."""
        return self.failed_calls >= FAILED_CALLS_OF_LOST_STORE

    @property
    def is_slow(self) -> bool:
        """Return whether the last answer took long."""
        return self.took_ms > SLOW_CALL_MS

    def succeeded(self, took_ms: int) -> None:
        """Record an answer."""
        self.failed_calls = 0
        self.answers += 1
        self.took_ms = took_ms

    def failed(self) -> None:
        """Record a call without success."""
        self.failed_calls += 1
