"""Provide clocks with a resolution of one millisecond."""

import time
from typing import Final, Protocol, final

NANOSECONDS_PER_MS: Final = 1_000_000
MS_PER_SECOND: Final = 1000


class Clock(Protocol):
    """Provide a time in milliseconds that never goes back."""

    def now_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


@final
class SystemClock:
    """Follow the monotonic clock from the wall time at creation."""

    def __init__(self) -> None:
        """Set the offset of the monotonic clock to the Unix epoch."""
        anchor_ms = time.time_ns() // NANOSECONDS_PER_MS
        self.offset_ms = anchor_ms - _monotonic_ms()

    def now_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return self.offset_ms + _monotonic_ms()


@final
class ManualClock:
    """Provide a time that changes only by calls of `advance`."""

    def __init__(self, start_ms: int = 0) -> None:
        """Start at the given time."""
        self.current_ms = start_ms

    def now_ms(self) -> int:
        """Return the current time of this clock."""
        return self.current_ms

    def advance(self, by_ms: int) -> None:
        """Advance the time by the given milliseconds."""
        self.current_ms += by_ms


def processor_ms() -> int:
    """Return the processor time that this process has used, in ms."""
    return time.process_time_ns() // NANOSECONDS_PER_MS


def _monotonic_ms() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MS
