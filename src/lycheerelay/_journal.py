"""Append records to the log in batches and deliver them in log order."""

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
    """Append entries to ordered streams and read them back."""

    def append(
        self,
        stream: str,
        value: Json,
        timeout_ms: int = 1000,
    ) -> Result[int, CallError]:
        """Append one entry and return its offset.

        After an error the entry may or may not have been written.
        """

    def read(
        self,
        stream: str,
        from_offset: int,
        timeout_ms: int = 2000,
    ) -> Result[LogPage, CallError]:
        """Read the entries from an offset on, oldest first."""


class JournalSettings(NamedTuple):
    """Set the names, intervals and limits of one journal.

    `outage_ms` is the time without a successful call after which the log
    counts as down, `drain_delay_ms` the time that it must answer again
    before batches from an outage are appended.
    """

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
    """Write batches of records to one stream and follow that stream.

    A record takes effect when it is read back from the log, so a lost append
    reply neither loses nor repeats it. While no entry VM of the failure
    domain reaches the log, a record takes effect once it is replicated to a
    standby, a second entry VM.
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
        """Configure the journal; `start` begins to follow the stream."""
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
        self.on_read_to_end: Callable[[int], None] = _ignore_read
        self.stopping = False
        self.read_requested = threading.Event()
        self.threads = (
            threading.Thread(target=self.run, name='journal', daemon=True),
            threading.Thread(target=self.follow, name='tail', daemon=True),
        )

    @property
    def can_keep(self) -> bool:
        """Return whether a record appended now is expected to be stored."""
        if not self.health.is_down:
            return True
        full = self.outbox.records >= self.settings.max_held_records
        return self.standby.is_available and not full

    def append(self, record: Record) -> None:
        """Queue a record for the next batch."""
        with self.wake:
            self.pending.append(record)
            self.wake.notify_all()

    def start(self) -> None:
        """Start the threads that append and that follow the stream."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop both threads after their current call."""
        with self.wake:
            self.stopping = True
            self.wake.notify_all()
        self.read_requested.set()
        for thread in self.threads:
            thread.join()

    def run(self) -> None:
        """Commit batches until stopped."""
        while not self.stopping:
            self.wait_for_work()
            self.commit_once()
            self._wait_until_effective()

    def follow(self) -> None:
        """Read the stream until stopped."""
        self.next_offset = self.find_start()
        while not self.stopping:
            self.read_to_end()
            if self.health.is_down and self.in_flight is None:
                self.standby.probe()
            self.read_requested.wait(self._poll_interval_ms() / MS_PER_SECOND)
            self.read_requested.clear()

    def commit_once(self) -> None:
        """Append the batch in flight, or replicate it during an outage."""
        self._fill_in_flight()
        self._append_outbox()
        if self.in_flight is not None and self.health.is_down:
            self.standby.replicate(self.in_flight)
        self.read_requested.set()

    def wait_for_work(self) -> None:
        """Wait for records, then until the commit interval has passed."""
        with self.wake:
            if not self._has_work():
                self.wake.wait(self._poll_interval_ms() / MS_PER_SECOND)
            # Each new record wakes this thread before the interval is over,
            # so the remaining time is computed again after each wake-up.
            while self._has_work() and not self.stopping:
                wait_ms = self._commit_wait_ms()
                if wait_ms <= 0:
                    return
                self.wake.wait(wait_ms / MS_PER_SECOND)

    def store_as_standby(self, request: StandbyRequest) -> StandbyReply:
        """Store the batches of another entry VM while the log is down."""
        return self.standby.handle_request(request)

    def apply(self, batch: Batch, held: bool) -> bool:
        """Deliver a batch that takes effect now; return whether it is new.

        `held` is True if it takes effect by replication, not by the log.
        """
        with self.lock:
            if not self.seen.is_new(batch):
                return False
            self.terms.update(batch)
            for record in batch.records:
                self.deliver(record, held)
        with self.wake:
            if self.in_flight and self.seen.has_seen(self.in_flight):
                self.in_flight = None
                self.wake.notify_all()
        return True

    def replace_in_flight(self, batch: Batch) -> None:
        """Replace the batch in flight, which no other node may store yet."""
        with self.lock:
            self.in_flight = batch
            self.outbox.replace(batch)

    def _has_work(self) -> bool:
        return bool(self.pending) or self.in_flight is not None

    def _commit_wait_ms(self) -> int:
        next_ms = self.append_ms + self.settings.commit_ms
        return next_ms - self.clock.now_ms()

    def _poll_interval_ms(self) -> int:
        if self.outbox.batches and not self.health.is_down:
            return self.settings.commit_ms
        if self.health.failing_since_ms:
            return self.settings.retry_ms
        return self.settings.poll_ms

    def _fill_in_flight(self) -> None:
        with self.wake:
            if self.in_flight is not None or not self.pending:
                return
            records = tuple(self.pending[:MAX_ENTRY_RECORDS])
            del self.pending[:MAX_ENTRY_RECORDS]
        self.number += 1
        self.in_flight = Batch(self.settings.writer, self.number, records)
        with self.lock:
            self.outbox.add(self.in_flight)

    def _wait_until_effective(self) -> None:
        with self.wake:
            if self.in_flight is not None:
                self.wake.wait(self.settings.commit_ms / MS_PER_SECOND)

    def _append_outbox(self) -> None:
        if not self._should_append():
            return
        with self.lock:
            batches = self.outbox.head(MAX_ENTRY_RECORDS)
        self.append_ms = self.clock.now_ms()
        self.appends += 1
        outcome = self.log.append(
            self.settings.stream,
            encode_batches(batches),
        )
        self.health.record_call(not isinstance(outcome, Err))

    def _should_append(self) -> bool:
        if not self.outbox.batches:
            return False
        if self.in_flight is not None:
            return not self.health.is_down
        return self.health.is_up_for(self.settings.drain_delay_ms)

    def read_to_end(self) -> None:
        """Deliver every entry from `next_offset` to the end of the stream."""
        while not self.stopping:
            begun_ms = self.clock.now_ms()
            page = self.log.read(self.settings.stream, self.next_offset)
            self.health.record_call(not isinstance(page, Err))
            if isinstance(page, Err):
                return
            self._process_page(page.ok_value)
            if self.next_offset >= page.ok_value.end:
                self.caught_up = True
                self.health.record_end_read()
                self.on_read_to_end(begun_ms)
                return

    def _process_page(self, page: LogPage) -> None:
        for entry in page.entries:
            self._process_entry(entry)
        self.next_offset = max(self.next_offset, page.first)

    def _process_entry(self, entry: LogEntry) -> None:
        self.next_offset = entry.offset + 1
        batches = decode_batches(entry.value)
        if isinstance(batches, Err):
            LOGGER.error(
                'log entry at offset %s is unreadable: %s',
                entry.offset,
                batches.err_value,
            )
            return
        with self.lock:
            for batch in batches.ok_value:
                is_new = self.apply(batch, batch.held)
                self.outbox.confirm(batch)
                if batch.held or not is_new:
                    self._redeliver_claims(batch)

    def _redeliver_claims(self, batch: Batch) -> None:
        # A claim that took effect on a standby is in the log only from now.
        for record in batch.records:
            if isinstance(record, TermTaken):
                self.deliver(record, False)


def _ignore_read(begun_ms: int) -> None:
    """Do nothing after a read."""
