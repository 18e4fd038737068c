"""Stop sending appends to a store that does not take them."""

from typing import Final, final

from .._clock import Clock

# After a failure one append is tried this often, in ms; the rest is refused
# at once, so that callers may come back instead of waiting for a timeout.
PROBE_EVERY_MS: Final = 250
# Callers come back after this time, in s, and after the second one once the
# store has been away longer than the third, in ms: outages last some seconds.
RETRY_AFTER_S: Final = 1
LONG_RETRY_AFTER_S: Final = 2
LONG_OUTAGE_MS: Final = 800


@final
class AppendGate:
    """Let appends pass while the store takes them, else a probe at a time."""

    def __init__(self, clock: Clock) -> None:
        """Start open."""
        self.clock = clock
        self.failing_since_ms = 0
        self.probed_ms = 0

    @property
    def is_failing(self) -> bool:
        """Tell whether the last append failed."""
        return self.failing_since_ms > 0

    def may_pass(self) -> bool:
        """Tell whether an append may be sent now."""
        if not self.is_failing:
            return True
        now_ms = self.clock.now_ms()
        if now_ms - self.probed_ms < PROBE_EVERY_MS:
            return False
        self.probed_ms = now_ms
        return True

    def succeeded(self) -> None:
        """Open the gate after an append that was taken."""
        self.failing_since_ms = 0

    def failed(self) -> None:
        """Close the gate after an append that was not taken."""
        now_ms = self.clock.now_ms()
        self.probed_ms = now_ms
        if not self.is_failing:
            self.failing_since_ms = now_ms

    def retry_after_s(self) -> int:
        """Return when callers had better come back."""
        away_ms = self.clock.now_ms() - self.failing_since_ms
        is_long = self.is_failing and away_ms > LONG_OUTAGE_MS
        return LONG_RETRY_AFTER_S if is_long else RETRY_AFTER_S
