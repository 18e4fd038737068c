"""Write structured log lines without blocking the event loop."""

import collections
import logging
import os
from typing import Final

import orjson

from .._logging import FieldFormatter

# Rate limit of log lines below the level WARNING, and its burst size.
LINES_PER_SECOND: Final = 1600
BURST_LINES: Final = 3200
# Lines buffered for a slow reader; beyond this the oldest are dropped.
MAX_PENDING_LINES: Final = 2000


class FastJsonFormatter(FieldFormatter):
    """Format each record as one line with a JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON object of a record."""
        return orjson.dumps(self.fields_of(record), default=str).decode()


class BoundedHandler(logging.Handler):
    """Limit the rate of lines and never block on a slow reader."""

    def __init__(self, descriptor: int) -> None:
        """Write to a file descriptor, which is set to non-blocking."""
        super().__init__()
        self.descriptor = descriptor
        self.tokens = float(BURST_LINES)
        self.refilled_s = float(0)
        self.dropped = 0
        self.pending: collections.deque[bytes] = collections.deque()
        # The rest of a partly written line, which is never dropped.
        self.unfinished = b''
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or drop and count it above the rate limit."""
        elapsed_s = record.created - self.refilled_s
        self.refilled_s = record.created
        refill = max(elapsed_s, 0) * LINES_PER_SECOND
        self.tokens = min(self.tokens + refill, BURST_LINES)
        if self.tokens < 1 and record.levelno < logging.WARNING:
            self.dropped += 1
            return
        self.tokens -= 1
        if self.dropped:
            record.dropped_before = self.dropped
            self.dropped = 0
        self.pending.append(f'{self.format(record)}\n'.encode())
        self._flush()

    def _flush(self) -> None:
        try:
            self._write_pending()
        except BlockingIOError:
            self._drop_oldest()
        except OSError:
            # The reader is gone, so the lines cannot be delivered.
            self.pending.clear()
            self.unfinished = b''

    def _write_pending(self) -> None:
        while self.unfinished or self.pending:
            if not self.unfinished:
                self.unfinished = self.pending.popleft()
            written = os.write(self.descriptor, self.unfinished)
            self.unfinished = self.unfinished[written:]

    def _drop_oldest(self) -> None:
        while len(self.pending) > MAX_PENDING_LINES:
            self.pending.popleft()
            self.dropped += 1


def set_up_event_log(descriptor: int = 1) -> BoundedHandler:
    """Send every log line to a file descriptor, by default standard output."""
    handler = BoundedHandler(descriptor)
    handler.setFormatter(FastJsonFormatter())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    return handler
