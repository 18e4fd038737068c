"""Decide when jobs are restated, and where a cold start begins to read."""

import logging
from typing import Final, NamedTuple, final

from result import Err, Ok, Result

from ._clock import Clock
from ._codec import FieldError, Json, from_json, to_json
from ._journal import Log

LOGGER: Final = logging.getLogger(__name__)
MIN_RECORDS: Final = 2000
RECORDS_PER_JOB: Final = 8
READ_TIMEOUT_MS: Final = 1000
FAR_OFFSET: Final = 2**52


class Marks(NamedTuple):
    """Hold, for each pool, the offset from which its stream is whole."""

    offsets: dict[str, int]
    pools: tuple[str, ...]

    def start_offset(self) -> int:
        """Return where a cold start reads from; 0 where a pool lacks one."""
        if not self.offsets or set(self.pools) - set(self.offsets):
            return 0
        return min(self.offsets.values())

    def moved(self, pool: str, offset: int, pools: set[str]) -> 'Marks':
        """Return the marks after one pool was restated."""
        return Marks({**self.offsets, pool: offset}, tuple(sorted(pools)))


@final
class MarkStream:
    """Keep the marks on a small stream of their own."""

    def __init__(self, log: Log, domain: str) -> None:
        """Name the stream after the failure domain."""
        self.log = log
        self.stream = f'marks.{domain}'

    def read_last(self) -> Marks:
        """Return the newest marks; without any, reading starts at 0."""
        page = self.log.read(self.stream, FAR_OFFSET, READ_TIMEOUT_MS)
        if isinstance(page, Err) or page.ok_value.end == 0:
            return Marks({}, ())
        last = page.ok_value.end - 1
        page = self.log.read(self.stream, last, READ_TIMEOUT_MS)
        if isinstance(page, Err) or not page.ok_value.entries:
            return Marks({}, ())
        return _read_marks(page.ok_value.entries[-1].value)

    def write(self, marks: Marks) -> bool:
        """Append newer marks; a failure only makes a cold start longer."""
        outcome = self.log.append(self.stream, to_json(marks))
        return not isinstance(outcome, Err)


@final
class Compaction:
    """Ask for a round once enough records came, or enough time passed."""

    def __init__(self, clock: Clock, period_ms: int) -> None:
        """Count from now."""
        self.clock = clock
        self.period_ms = period_ms
        self.records: dict[str, int] = {}
        self.started_ms: dict[str, int] = {}

    def count(self, pool: str) -> None:
        """Count one record of a pool."""
        self.records[pool] = self.records.get(pool, 0) + 1

    def is_due(self, pool: str, jobs: int) -> bool:
        """Tell whether a round should start now; remember that it did."""
        now_ms = self.clock.now_ms()
        started_ms = self.started_ms.setdefault(pool, now_ms)
        bound = max(MIN_RECORDS, RECORDS_PER_JOB * jobs)
        many = self.records.get(pool, 0) > bound
        old = now_ms - started_ms > self.period_ms
        if not (many or old):
            return False
        self.records[pool] = 0
        self.started_ms[pool] = now_ms
        return True


def _read_marks(entry: Json) -> Marks:
    marks: Result[Marks, FieldError] = from_json(Marks, entry, 'marks')
    if isinstance(marks, Ok):
        return marks.ok_value
    LOGGER.warning('marks are unreadable; reading the whole stream')
    return Marks({}, ())
