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
from ._log_health import LogHealth
from ._outbox import BatchFilter, Outbox, TermTracker
from ._record_codec import Batch, decode_batches, encode_batches
from ._records import Record, TermTaken
from ._standby_messages import StandbyPeers, StandbyReply, StandbyRequest
from ._standby_replication import StandbyReplication

LOGGER: Final = logging.getLogger(__name__)
MAX_ENTRY_RECORDS: Final = 1000
MAX_HELD_RECORDS: Final = 100_000


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
    """Set the pace and the bounds of one journal."""

    stream: str
    name: str
    writer: str
    commit_ms: int = 50
    poll_ms: int = 1000
    retry_ms: int = 500
    outage_ms: int = 1500
    drain_delay_ms: int = 0
    max_held_records: int = MAX_HELD_RECORDS


Deliver = Callable[[Record, bool], None]


@final
class Journal:
    """Write batches to one stream and follow it.

    A record takes effect when it is read back, so a lost reply to an append
    can neither lose nor repeat it. While no entry VM of the domain reaches
    the log, a record takes effect when a second entry VM keeps it.
    """

    def __init__(
        self,
        log: Log,
        holders: StandbyPeers,
        settings: JournalSettings,
        clock: Clock,
        deliver: Deliver,
        find_start: Callable[[], int] = int,
    ) -> None:
        """Prepare to follow the stream from its first kept entry."""
        self.log = log
        self.settings = settings
        self.clock = clock
        self.deliver = deliver
        self.find_start = find_start
        self.pending: list[Record] = []
        self.in_flight: Batch | None = None
        self.number = 0
        self.next_offset = 0
        self.caught_up = False
        self.append_ms = 0
        self.appends = 0
        self.health = LogHealth(clock, settings.outage_ms)
        self.seen = BatchFilter()
        self.terms = TermTracker()
        self.outbox = Outbox()
        self.lock = threading.RLock()
        self.standby = StandbyReplication(self, holders)
        self.wake = threading.Condition()
        self.note_read: Callable[[int], None] = _ignore
        self.stopping = False
        self.kicked = threading.Event()
        self.threads = (
            threading.Thread(target=self.run, name='journal', daemon=True),
            threading.Thread(target=self.follow, name='tail', daemon=True),
        )

    @property
    def can_keep(self) -> bool:
        """Tell whether a record appended now is likely to be kept."""
        if not self.health.is_down:
            return True
        full = self.outbox.records >= self.settings.max_held_records
        return self.standby.works and not full

    def append(self, record: Record) -> None:
        """Queue a record for the next batch."""
        with self.wake:
            self.pending.append(record)
            self.wake.notify_all()

    def start(self) -> None:
        """Follow the stream from a thread of its own."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop after the batch in flight."""
        with self.wake:
            self.stopping = True
            self.wake.notify_all()
        self.kicked.set()
        for thread in self.threads:
            thread.join()

    def run(self) -> None:
        """Commit until stopped."""
        while not self.stopping:
            self.wait_for_work()
            self.turn()
            self._await_effect()

    def follow(self) -> None:
        """Read the log until stopped."""
        self.next_offset = self.find_start()
        while not self.stopping:
            self.read_to_end()
            if self.health.is_down and self.in_flight is None:
                self.standby.probe()
            self.kicked.wait(self._pause_ms() / MS_PER_SECOND)
            self.kicked.clear()

    def turn(self) -> None:
        """Commit what is pending, once."""
        self._fill_flight()
        self._append_outbox()
        if self.in_flight is not None and self.health.is_down:
            self.standby.hold(self.in_flight)
        self.kicked.set()

    def wait_for_work(self) -> None:
        """Wait for records, the next poll or the end of the pause."""
        with self.wake:
            if not self._has_work():
                self.wake.wait(self._pause_ms() / MS_PER_SECOND)
            # Each new record wakes this thread, so the rest of the pause is
            # computed again until it is over.
            while self._has_work() and not self.stopping:
                wait_ms = self._gap_ms()
                if wait_ms <= 0:
                    return
                self.wake.wait(wait_ms / MS_PER_SECOND)

    def take_hold(self, request: StandbyRequest) -> StandbyReply:
        """Keep another entry VM's batches while the log is down."""
        return self.standby.take(request)

    def apply(self, batch: Batch, held: bool) -> bool:
        """Deliver a batch that takes effect now, once."""
        with self.lock:
            if not self.seen.is_new(batch):
                return False
            self.terms.note(batch)
            for record in batch.records:
                self.deliver(record, held)
        with self.wake:
            if self.in_flight and self.seen.has_seen(self.in_flight):
                self.in_flight = None
                self.wake.notify_all()
        return True

    def replace_flight(self, batch: Batch) -> None:
        """Change the batch in flight, which nobody keeps yet."""
        with self.lock:
            self.in_flight = batch
            self.outbox.replace(batch)

    def _has_work(self) -> bool:
        return bool(self.pending) or self.in_flight is not None

    def _gap_ms(self) -> int:
        next_ms = self.append_ms + self.settings.commit_ms
        return next_ms - self.clock.now_ms()

    def _pause_ms(self) -> int:
        if self.outbox.batches and not self.health.is_down:
            return self.settings.commit_ms
        if self.health.failing_since_ms:
            return self.settings.retry_ms
        return self.settings.poll_ms

    def _fill_flight(self) -> None:
        with self.wake:
            if self.in_flight is not None or not self.pending:
                return
            records = tuple(self.pending[:MAX_ENTRY_RECORDS])
            del self.pending[:MAX_ENTRY_RECORDS]
        self.number += 1
        self.in_flight = Batch(self.settings.writer, self.number, records)
        with self.lock:
            self.outbox.add(self.in_flight)

    def _await_effect(self) -> None:
        with self.wake:
            if self.in_flight is not None:
                self.wake.wait(self.settings.commit_ms / MS_PER_SECOND)

    def _append_outbox(self) -> None:
        if not self._may_append():
            return
        with self.lock:
            batches = self.outbox.head(MAX_ENTRY_RECORDS)
        self.append_ms = self.clock.now_ms()
        self.appends += 1
        outcome = self.log.append(
            self.settings.stream,
            encode_batches(batches),
        )
        self.health.note(not isinstance(outcome, Err))

    def _may_append(self) -> bool:
        if not self.outbox.batches:
            return False
        if self.in_flight is not None:
            return not self.health.is_down
        return self.health.is_up_for(self.settings.drain_delay_ms)

    def read_to_end(self) -> None:
        """Deliver what the log holds beyond what was read."""
        while not self.stopping:
            begun_ms = self.clock.now_ms()
            page = self.log.read(self.settings.stream, self.next_offset)
            self.health.note(not isinstance(page, Err))
            if isinstance(page, Err):
                return
            self._take_page(page.ok_value)
            if self.next_offset >= page.ok_value.end:
                self.caught_up = True
                self.health.note_end()
                self.note_read(begun_ms)
                return

    def _take_page(self, page: LogPage) -> None:
        for entry in page.entries:
            self._take_entry(entry)
        self.next_offset = max(self.next_offset, page.first)

    def _take_entry(self, entry: LogEntry) -> None:
        self.next_offset = entry.offset + 1
        batches = decode_batches(entry.value)
        if isinstance(batches, Err):
            LOGGER.error('offset %s: %s', entry.offset, batches.err_value)
            return
        with self.lock:
            for batch in batches.ok_value:
                is_new = self.apply(batch, batch.held)
                self.outbox.confirm(batch)
                if batch.held or not is_new:
                    self._show_terms(batch)

    def _show_terms(self, batch: Batch) -> None:
        # A claim that took effect by being held has its place only now.
        for record in batch.records:
            if isinstance(record, TermTaken):
                self.deliver(record, False)


def _ignore(begun_ms: int) -> None:
    """Take no note of a read."""
