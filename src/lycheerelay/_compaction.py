"""Decide when pools are restated in the log and where a cold start reads from.

A round restates a pool: it appends the current term and an image of each job,
after which the earlier records of the pool are no longer needed.
"""

import logging
from typing import Final, NamedTuple, final

from result import Err, Ok, Result

from ._clock import Clock
from ._codec import FieldError, Json, from_json, to_json
from ._journal import Log

LOGGER: Final = logging.getLogger(__name__)
MIN_RECORDS_PER_ROUND: Final = 2000
RECORDS_PER_JOB: Final = 8
READ_TIMEOUT_MS: Final = 1000
# A read from here returns no entries, only the bounds of the stream.
BEYOND_END_OFFSET: Final = 2**52


class Marks(NamedTuple):
    """Hold, for each pool, the offset from which the stream suffices.

    `pools` names every pool known when the marks were written.
    """

    offsets: dict[str, int]
    pools: tuple[str, ...]

    def start_offset(self) -> int:
        """Return where a cold start reads from; 0 if a pool has no mark."""
        if not self.offsets or set(self.pools) - set(self.offsets):
            return 0
        return min(self.offsets.values())

    def moved(self, pool: str, offset: int, pools: set[str]) -> 'Marks':
        """Return the marks after one pool was restated from an offset."""
        return Marks({**self.offsets, pool: offset}, tuple(sorted(pools)))


@final
class MarkStream:
    """Store the marks in a small stream of their own."""

    def __init__(self, log: Log, domain: str) -> None:
        """Use the mark stream of a failure domain."""
        self.log = log
        self.stream = f'marks.{domain}'

    def read_last(self) -> Marks:
        """Return the newest marks, or empty ones if none can be read."""
        page = self.log.read(self.stream, BEYOND_END_OFFSET, READ_TIMEOUT_MS)
        if isinstance(page, Err) or page.ok_value.end == 0:
            return Marks({}, ())
        last = page.ok_value.end - 1
        page = self.log.read(self.stream, last, READ_TIMEOUT_MS)
        if isinstance(page, Err) or not page.ok_value.entries:
            return Marks({}, ())
        return _read_marks(page.ok_value.entries[-1].value)

    def write(self, marks: Marks) -> bool:
        """Append newer marks and return whether that succeeded.

        After a failure a cold start only reads more entries.
        """
        outcome = self.log.append(self.stream, to_json(marks))
        return not isinstance(outcome, Err)


@final
class Compaction:
    """Decide when to start a round: after many records or a time period."""

    def __init__(self, clock: Clock, period_ms: int) -> None:
        """Start without counted records."""
        self.clock = clock
        self.period_ms = period_ms
        self.records: dict[str, int] = {}
        self.started_ms: dict[str, int] = {}

    def count(self, pool: str) -> None:
        """Count one record of a pool."""
        self.records[pool] = self.records.get(pool, 0) + 1

    def is_due(self, pool: str, jobs: int) -> bool:
        """Return whether a round should start now, and record its start."""
        now_ms = self.clock.now_ms()
        started_ms = self.started_ms.setdefault(pool, now_ms)
        max_records = max(MIN_RECORDS_PER_ROUND, RECORDS_PER_JOB * jobs)
        has_many_records = self.records.get(pool, 0) > max_records
        has_expired = now_ms - started_ms > self.period_ms
        if not (has_many_records or has_expired):
            return False
        self.records[pool] = 0
        self.started_ms[pool] = now_ms
        return True


def _read_marks(entry: Json) -> Marks:
    marks: Result[Marks, FieldError] = from_json(Marks, entry, 'marks')
    if isinstance(marks, Ok):
        return marks.ok_value
    LOGGER.warning('marks are unreadable; reading the whole job stream')
    return Marks({}, ())
