"""Judge whether the log can be reached."""

import logging
from typing import Final, final

from ._clock import Clock

LOGGER: Final = logging.getLogger(__name__)


@final
class LogHealth:
    """Call the log down after a time of nothing but failures."""

    def __init__(self, clock: Clock, outage_ms: int) -> None:
        """Take the log for reachable at first."""
        self.clock = clock
        self.outage_ms = outage_ms
        self.failing_since_ms = 0
        self.up_since_ms = clock.now_ms()
        self.end_read_ms = 0
        self.is_down = False
        self.outages = 0

    def note(self, answered: bool) -> None:
        """Take in the outcome of one call."""
        now_ms = self.clock.now_ms()
        if answered:
            self._note_answer(now_ms)
        elif not self.failing_since_ms:
            self.failing_since_ms = now_ms
        elif now_ms - self.failing_since_ms >= self.outage_ms:
            self._note_outage()

    def note_end(self) -> None:
        """Remember when the log was last read to its end."""
        self.end_read_ms = self.clock.now_ms()

    def is_up_for(self, span_ms: int) -> bool:
        """Tell whether the log has answered for a time."""
        up_ms = self.clock.now_ms() - self.up_since_ms
        return not self.is_down and up_ms >= span_ms

    def _note_answer(self, now_ms: int) -> None:
        self.failing_since_ms = 0
        if self.is_down:
            self.is_down = False
            self.up_since_ms = now_ms
            LOGGER.info('log reachable again')

    def _note_outage(self) -> None:
        if not self.is_down:
            self.is_down = True
            self.outages += 1
            LOGGER.warning('log down; records are held by a second entry VM')
