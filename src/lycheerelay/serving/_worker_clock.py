"""Convert between a worker's clock and the local clock."""

from typing import Final, final

# Lowest rate of a worker's clock relative to the local clock.
SLOWEST_CLOCK_RATE: Final = 0.98
# Covers rounding to whole milliseconds on both sides.
ROUNDING_MS: Final = 5


@final
class WorkerClock:
    """Track one worker's clock from the readings in its replies."""

    def __init__(self) -> None:
        """Start without a reading."""
        self.reading_ms = 0
        self.received_ms = 0

    @property
    def is_known(self) -> bool:
        """Return whether a reading has been received."""
        return self.reading_ms > 0

    def update(self, reading_ms: int, received_ms: int) -> None:
        """Apply a reading, which the clock had reached by `received_ms`."""
        if reading_ms >= self.reading_ms:
            self.reading_ms = reading_ms
            self.received_ms = received_ms

    def deadline(self, span_ms: int, now_ms: int) -> int:
        """Return a time on the worker's clock, at most `span_ms` from now."""
        return self.reading_ms + (now_ms - self.received_ms) + span_ms

    def local_time(self, deadline_ms: int) -> int:
        """Return the local time by which a worker's deadline has passed."""
        remaining_ms = (deadline_ms - self.reading_ms) / SLOWEST_CLOCK_RATE
        return self.received_ms + int(remaining_ms) + ROUNDING_MS
