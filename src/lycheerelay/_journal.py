"""Commit records in groups and deliver them in log order."""

import logging
import threading
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol, final

from result import Err, Result

from ._clock import MS_PER_SECOND, Clock
from ._codec import Json
from ._http import CallError
from ._log_client import LogEntry, LogPage
from ._record_codec import Batch, decode_batch, encode_batch
from ._records import Record

LOGGER: Final = logging.getLogger(__name__)
MAX_BATCH_RECORDS: Final = 2000


class Log(Protocol):
    """Append entries to and read them from ordered streams."""

    def append(
        self,
        stream: str,
        value: Json,
        timeout_ms: int = 1000,
    ) -> Result[int, CallError]:
        """Append one entry; an error leaves its effect unknown."""

    def read(
        self,
        stream: str,
        from_offset: int,
        timeout_ms: int = 2000,
    ) -> Result[LogPage, CallError]:
        """Read entries from an offset on."""


class JournalSettings(NamedTuple):
    """Set the pace of one journal."""

    stream: str
    writer: str
    commit_ms: int = 50
    poll_ms: int = 500


@final
class BatchFilter:
    """Pass each writer's batches once, in their order."""

    def __init__(self) -> None:
        """Start with no batch seen."""
        self.last_numbers: dict[str, int] = {}

    def is_new(self, batch: Batch) -> bool:
        """Tell whether the batch comes for the first time; remember it."""
        last = self.last_numbers.get(batch.writer, -1)
        if batch.number <= last:
            return False
        self.last_numbers[batch.writer] = batch.number
        return True

    def has_seen(self, batch: Batch) -> bool:
        """Tell whether the batch was delivered already."""
        return batch.number <= self.last_numbers.get(batch.writer, -1)


@final
class Journal:
    """Write batches to one stream and follow it.

    A record takes effect only when it is read back, so a lost reply to an
    append can neither lose nor repeat it.
    """

    def __init__(
        self,
        log: Log,
        settings: JournalSettings,
        clock: Clock,
        deliver: Callable[[Record], None],
    ) -> None:
        """Prepare to follow the stream from its first kept entry."""
        self.log = log
        self.settings = settings
        self.clock = clock
        self.deliver = deliver
        self.pending: list[Record] = []
        self.in_flight: Batch | None = None
        self.number = 0
        self.next_offset = 0
        self.caught_up = False
        self.read_ms = 0
        self.append_ms = 0
        self.appends = 0
        self.seen = BatchFilter()
        self.wake = threading.Condition()
        self.stopping = False
        self.thread = threading.Thread(
            target=self.run,
            name='journal',
            daemon=True,
        )

    def append(self, record: Record) -> None:
        """Queue a record for the next batch."""
        with self.wake:
            self.pending.append(record)
            self.wake.notify()

    def start(self) -> None:
        """Follow the stream from a thread of its own."""
        self.thread.start()

    def stop(self) -> None:
        """Stop after the batch in flight."""
        with self.wake:
            self.stopping = True
            self.wake.notify()
        self.thread.join()

    def run(self) -> None:
        """Commit and read until stopped."""
        while not self.stopping:
            self._wait_for_work()
            self._commit()
            self._read_to_end()

    def _wait_for_work(self) -> None:
        with self.wake:
            if not self.pending and self.in_flight is None:
                self.wake.wait(self.settings.poll_ms / MS_PER_SECOND)
            gap_ms = self.append_ms + self.settings.commit_ms
            wait_ms = gap_ms - self.clock.now_ms()
            if self.pending and wait_ms > 0 and not self.stopping:
                self.wake.wait(wait_ms / MS_PER_SECOND)

    def _commit(self) -> None:
        if self.in_flight is None:
            self.in_flight = self._next_batch()
        if self.in_flight is None:
            return
        self.append_ms = self.clock.now_ms()
        self.appends += 1
        entry = encode_batch(self.in_flight)
        outcome = self.log.append(self.settings.stream, entry)
        if isinstance(outcome, Err):
            LOGGER.debug('append failed: %s', outcome.err_value.reason)

    def _next_batch(self) -> Batch | None:
        with self.wake:
            if not self.pending:
                return None
            records = tuple(self.pending[:MAX_BATCH_RECORDS])
            del self.pending[:MAX_BATCH_RECORDS]
        self.number += 1
        return Batch(self.settings.writer, self.number, records)

    def _read_to_end(self) -> None:
        while not self.stopping:
            page = self.log.read(self.settings.stream, self.next_offset)
            if isinstance(page, Err):
                return
            self._take_page(page.ok_value)
            if self.next_offset >= page.ok_value.end:
                self.caught_up = True
                self.read_ms = self.clock.now_ms()
                return

    def _take_page(self, page: LogPage) -> None:
        for entry in page.entries:
            self._take_entry(entry)
        self.next_offset = max(self.next_offset, page.first)

    def _take_entry(self, entry: LogEntry) -> None:
        self.next_offset = entry.offset + 1
        batch = decode_batch(entry.value)
        if isinstance(batch, Err):
            LOGGER.error('offset %s: %s', entry.offset, batch.err_value)
            return
        if not self.seen.is_new(batch.ok_value):
            return
        for record in batch.ok_value.records:
            self.deliver(record)
        if self.in_flight and self.seen.has_seen(self.in_flight):
            self.in_flight = None
