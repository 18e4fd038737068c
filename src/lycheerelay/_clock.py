"""Tell the time in milliseconds."""

import time
from typing import Final, Protocol, final

NANOSECONDS_PER_MS: Final = 1_000_000
MS_PER_SECOND: Final = 1000


class Clock(Protocol):
    """Tell a time in milliseconds that never steps back."""

    def now_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


@final
class SystemClock:
    """Read the wall clock once, then follow the monotonic clock."""

    def __init__(self) -> None:
        """Anchor the monotonic clock to the wall clock."""
        anchor_ms = time.time_ns() // NANOSECONDS_PER_MS
        self.offset_ms = anchor_ms - _monotonic_ms()

    def now_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return self.offset_ms + _monotonic_ms()


@final
class ManualClock:
    """Advance only when told to."""

    def __init__(self, start_ms: int = 0) -> None:
        """Start at the given time."""
        self.current_ms = start_ms

    def now_ms(self) -> int:
        """Return the time last set."""
        return self.current_ms

    def advance(self, by_ms: int) -> None:
        """Move the time forward."""
        self.current_ms += by_ms


def _monotonic_ms() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MS
