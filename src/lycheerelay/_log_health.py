"""Detect whether the log is reachable."""

import logging
from typing import Final, final

from ._clock import Clock

LOGGER: Final = logging.getLogger(__name__)


@final
class LogHealth:
    """Report the log as down after `outage_ms` without a successful call."""

    def __init__(self, clock: Clock, outage_ms: int) -> None:
        """Start with the log reported as reachable."""
        self.clock = clock
        self.outage_ms = outage_ms
        self.failing_since_ms = 0
        self.up_since_ms = clock.now_ms()
        self.end_read_ms = 0
        self.is_down = False
        self.outages = 0

    def record_call(self, succeeded: bool) -> None:
        """Record the outcome of one call."""
        now_ms = self.clock.now_ms()
        if succeeded:
            self._record_success(now_ms)
        elif not self.failing_since_ms:
            self.failing_since_ms = now_ms
        elif now_ms - self.failing_since_ms >= self.outage_ms:
            self._record_outage()

    def record_end_read(self) -> None:
        """Record that the log was read to its end now."""
        self.end_read_ms = self.clock.now_ms()

    def is_up_for(self, span_ms: int) -> bool:
        """Return whether the log has been up for at least `span_ms`."""
        up_ms = self.clock.now_ms() - self.up_since_ms
        return not self.is_down and up_ms >= span_ms

    def _record_success(self, now_ms: int) -> None:
        self.failing_since_ms = 0
        if self.is_down:
            self.is_down = False
            self.up_since_ms = now_ms
            LOGGER.info('log is reachable again')

    def _record_outage(self) -> None:
        if not self.is_down:
            self.is_down = True
            self.outages += 1
            LOGGER.warning('log is down; replicating records to a standby')
