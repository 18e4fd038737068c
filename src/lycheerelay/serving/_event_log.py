"""Write structured log lines without ever blocking the event loop."""

import collections
import logging
import os
from typing import Final

import orjson

from .._logging import FieldFormatter

# Lines a second that are written at most, and how many may come at once.
LINES_PER_SECOND: Final = 400
BURST_LINES: Final = 800
# Lines that wait for a slow reader of standard output; the oldest go first.
WAITING_LINES: Final = 2000


class FastJsonFormatter(FieldFormatter):
    """Write one JSON object a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        return orjson.dumps(self.fields_of(record), default=str).decode()


class BoundedHandler(logging.Handler):
    """Bound the rate of lines and drop what a slow reader does not take."""

    def __init__(self, descriptor: int) -> None:
        """Write to a file descriptor."""
        super().__init__()
        self.descriptor = descriptor
        self.tokens = float(BURST_LINES)
        self.filled = float(0)
        self.dropped = 0
        self.waiting: collections.deque[bytes] = collections.deque()
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as dropped."""
        passed = record.created - self.filled
        self.filled = record.created
        refill = max(passed, 0) * LINES_PER_SECOND
        self.tokens = min(self.tokens + refill, BURST_LINES)
        if self.tokens < 1 and record.levelno < logging.WARNING:
            self.dropped += 1
            return
        self.tokens -= 1
        if self.dropped:
            record.dropped_before = self.dropped
            self.dropped = 0
        self.waiting.append(f'{self.format(record)}\n'.encode())
        self._flush()

    def _flush(self) -> None:
        while self.waiting:
            line = self.waiting.popleft()
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads standard output any more; lines are lost.
                self.waiting.clear()
                return
            if written < len(line):
                self.waiting.appendleft(line[written:])
                break
        while len(self.waiting) > WAITING_LINES:
            self.waiting.popleft()
            self.dropped += 1


def set_up_event_log(descriptor: int = 1) -> BoundedHandler:
    """Send every log line of the process to standard output."""
    handler = BoundedHandler(descriptor)
    handler.setFormatter(FastJsonFormatter())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    return handler
