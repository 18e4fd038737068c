"""Hold back appends while the store does not accept them."""

from typing import Final, final

from .._clock import Clock
from ._store_health import StoreHealth

# After a failure one append per interval is sent as a probe, once the store has
# answered a regular call. The others are refused at once, so that callers retry
# instead of waiting for a timeout.
PROBE_INTERVAL_MS: Final = 250
# Callers are asked to retry after the first delay, or after the second once an
# outage has exceeded LONG_OUTAGE_MS. Outages last some seconds.
RETRY_AFTER_S: Final = 1
LONG_RETRY_AFTER_S: Final = 2
LONG_OUTAGE_MS: Final = 800


@final
class AppendGate:
    """Circuit breaker: while appends fail, allow only probes.

    Callers are not held by probes while the regular calls to the store fail.
    """

    def __init__(self, clock: Clock, store_health: StoreHealth) -> None:
        """Start by allowing every append."""
        self.clock = clock
        self.store_health = store_health
        self.failing_since_ms = 0
        self.probed_ms = 0
        self.answers_before = 0

    @property
    def is_failing(self) -> bool:
        """Return whether the last append failed."""
        return self.failing_since_ms > 0

    def allows_append(self) -> bool:
        """Return whether an append may be sent now."""
        if self.store_health.is_lost:
            return False
        if not self.is_failing:
            return True
        if self.store_health.answers == self.answers_before:
            return False
        now_ms = self.clock.now_ms()
        if now_ms - self.probed_ms < PROBE_INTERVAL_MS:
            return False
        self.probed_ms = now_ms
        return True

    def succeeded(self) -> None:
        """Record a successful append; allow every append again."""
        self.failing_since_ms = 0

    def failed(self) -> None:
        """Record a failed append; allow only probes from now on."""
        now_ms = self.clock.now_ms()
        self.probed_ms = now_ms
        self.answers_before = self.store_health.answers
        if not self.is_failing:
            self.failing_since_ms = now_ms

    def retry_after_s(self) -> int:
        """Return the delay after which callers should retry."""
        outage_ms = self.clock.now_ms() - self.failing_since_ms
        is_long = self.is_failing and outage_ms > LONG_OUTAGE_MS
        return LONG_RETRY_AFTER_S if is_long else RETRY_AFTER_S
