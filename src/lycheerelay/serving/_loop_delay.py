"""Report timers of this process that fire late.

The processor time tells code that ran for long on the event loop from a process
that was suspended or did not get the processor.
"""

import logging
from typing import Final, final

from .._clock import Clock, processor_ms

logger = logging.getLogger('lycheerelay.loop')

# A quarter of the time for which a membership lasts without a renewal.
REPORTED_DELAY_MS: Final = 250


@final
class LoopDelay:
    """Measure how late one timer fires, again and again."""

    def __init__(self, clock: Clock) -> None:
        """Start without a pending timer."""
        self.clock = clock
        self.due_ms = 0
        self.processor_ms = 0

    def expect(self, pause_ms: int) -> None:
        """Note that the timer is to fire after a pause, in ms."""
        self.due_ms = self.clock.now_ms() + pause_ms
        self.processor_ms = processor_ms()

    def report(self, *, is_owner: bool) -> None:
        """Log a timer that has fired late."""
        late_ms = self.clock.now_ms() - self.due_ms
        if late_ms >= REPORTED_DELAY_MS:
            logger.warning(
                'timer_late',
                extra={
                    'late_ms': late_ms,
                    'processor_ms': processor_ms() - self.processor_ms,
                    'is_owner': is_owner,
                },
            )
