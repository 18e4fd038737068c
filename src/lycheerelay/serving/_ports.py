"""Name what the serving process needs from its surroundings."""

from collections.abc import Sequence
from enum import Enum, unique
from typing import NamedTuple, Protocol

from result import Result

from ..workflow import Answer, RunKey, RunTable, StepKey


@unique
class Stream(Enum):
    """Name a stream of keyed records in the store."""

    JOBS = 'jobs'
    PROGRESS = 'progress'
    OPERATOR = 'operator'
    LOCK = 'lock'
    WORKERS = 'workers'


@unique
class LogFault(Enum):
    """Tell why the store did not serve a call.

    After REFUSED and THROTTLED nothing was done; after UNKNOWN it may have
    been, or may be later; FENCED means that a later writer took over; GONE
    that the wanted records are deleted, RACED that a condition failed, and
    OUT_OF_ORDER that an append's number did not follow the last one.
    """

    REFUSED = 'refused'
    THROTTLED = 'throttled'
    UNKNOWN = 'unknown'
    FENCED = 'fenced'
    GONE = 'gone'
    RACED = 'raced'
    OUT_OF_ORDER = 'out_of_order'


class KeyedRecord(NamedTuple):
    """Hold one record; without a payload its key is dropped."""

    key: str
    payload: bytes | None
    offset: int = -1


class RecordPage(NamedTuple):
    """Hold records that were read, and the offset to go on from."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


class Writer(NamedTuple):
    """Identify an append so that later owners fence earlier ones."""

    name: str
    epoch: int
    sequence: int


class KeyedLog(Protocol):
    """Reach the streams of the store."""

    async def append(
        self,
        stream: Stream,
        records: Sequence[KeyedRecord],
        writer: Writer | None = None,
        timeout_ms: int = 0,
    ) -> Result[int, LogFault]:
        """Append all records or none; return the first offset."""

    async def read(
        self,
        stream: Stream,
        from_offset: int,
        wait_ms: int,
    ) -> Result[RecordPage, LogFault]:
        """Return records from an offset on; wait for the first one."""

    async def newest(self, stream: Stream) -> Result[RecordPage, LogFault]:
        """Return the newest record of each key."""


class Group(Protocol):
    """Take part in the group of all entry VMs."""

    async def join(self, generation: int) -> Result[int, LogFault]:
        """Join, or stay in, the group; return its generation."""

    async def leave(self) -> Result[None, LogFault]:
        """Leave the group."""

    async def members(self) -> Result[tuple[str, ...], LogFault]:
        """Return the names of members."""


class OwnerElection(Protocol):
    """Reach the owner's seat and the lock behind it."""

    async def renew(self) -> Result[None, LogFault]:
        """Take, or stay in, the seat."""

    async def resign(self) -> Result[None, LogFault]:
        """Leave the seat."""

    async def current_owner(self) -> Result[str, LogFault]:
        """Return the name of the member in the seat, or an empty text."""

    async def lock_end_offset(self) -> Result[int, LogFault]:
        """Return the end of the lock's log."""

    async def claim(self, lock_end_offset: int) -> Result[int, LogFault]:
        """Claim the lock if its end is there; return the fence number."""

    async def is_latest_claim(self, fence: int) -> Result[bool, LogFault]:
        """Tell whether nobody has claimed after this fence number."""


class PollReply(NamedTuple):
    """Answer a look at a worker.

    `clock_ms` is the worker's own clock at the answer.
    """

    answer: Answer
    clock_ms: int = 0
    table: RunTable | None = None


class PollRequest(NamedTuple):
    """Ask for a look; `deadline_ms` is on the worker's clock, 0 for none."""

    worker_id: str
    address: str
    fence: int
    last_seen: int
    deadline_ms: int
    wait_ms: int


class StartOrder(NamedTuple):
    """Order a start; `deadline_ms` is on the worker's clock."""

    worker_id: str
    address: str
    fence: int
    run: RunKey
    payload: str
    checkpoint: str
    ticket: str
    deadline_ms: int


class StopOrder(NamedTuple):
    """Order a stop."""

    worker_id: str
    address: str
    fence: int
    run: RunKey


class PaceOrder(NamedTuple):
    """Order a pace, in percent."""

    worker_id: str
    address: str
    fence: int
    run: RunKey
    percent: int


class AdviceReply(NamedTuple):
    """Answer a call for advice: rows of worker and ticket."""

    tickets: tuple[tuple[str, str], ...]
    valid_ms: int


class Workers(Protocol):
    """Reach the workers."""

    async def poll(self, order: PollRequest) -> PollReply:
        """Prolong the leases and look at what runs."""

    async def start(self, order: StartOrder) -> Answer:
        """Start a run."""

    async def stop(self, order: StopOrder) -> Answer:
        """Stop or void a run."""

    async def pace(self, order: PaceOrder) -> Answer:
        """Set a run's pace."""


class Advisor(Protocol):
    """Reach the service that knows which workers may run a step."""

    async def ask(
        self,
        step: StepKey,
        workers: Sequence[str],
    ) -> Result[AdviceReply, LogFault]:
        """Return tickets for those of the workers that may run the step."""
