"""Translate between a worker's clock and the own one."""

from typing import Final, final

# A worker's clock may run this much slow.
SLOWEST_CLOCK: Final = 0.98
# Covers what rounding to whole milliseconds loses on both sides, in ms.
ROUNDING_MS: Final = 5


@final
class WorkerClock:
    """Follow one worker's clock by its answers."""

    def __init__(self) -> None:
        """Start without a reading."""
        self.read_ms = 0
        self.heard_ms = 0

    @property
    def is_known(self) -> bool:
        """Tell whether an answer has shown the clock."""
        return self.read_ms > 0

    def heard(self, read_ms: int, heard_ms: int) -> None:
        """Take in a reading; the worker's clock is at least there now."""
        if read_ms >= self.read_ms:
            self.read_ms = read_ms
            self.heard_ms = heard_ms

    def deadline(self, span_ms: int, now_ms: int) -> int:
        """Return a time on the worker's clock, at most the span from now."""
        return self.read_ms + (now_ms - self.heard_ms) + span_ms

    def over_by(self, deadline_ms: int) -> int:
        """Return the own time by which a worker's deadline has passed."""
        left = (deadline_ms - self.read_ms) / SLOWEST_CLOCK
        return self.heard_ms + int(left) + ROUNDING_MS
