"""Define the interfaces that the serving process uses."""

from collections.abc import Callable, Sequence
from enum import Enum, unique
from typing import Final, NamedTuple, Protocol

from result import Result

from ..workflow import Answer, RunKey, RunTable, StepKey, WorkerKey

# A record holds the length of its key in one byte, the key and the payload.
KEY_BYTES: Final = 256


@unique
class Stream(Enum):
    """Streams of keyed records in the store."""

    JOBS = 'jobs'
    PROGRESS = 'progress'
    OPERATOR = 'operator'
    LOCK = 'lock'
    WORKERS = 'workers'


@unique
class LogFault(Enum):
    """Reasons why a call failed.

    After REFUSED and THROTTLED the call had no effect, nor after KEY_REVOKED,
    with which the owner refuses a record whose caller has lost its key, nor
    after REJECTED, with which the store refuses what was sent for good, as it is
    too large or malformed. After UNKNOWN it may have taken effect or may still do
    so. FENCED means that a later writer has taken over, GONE that the requested
    records are deleted, RACED that a condition of the call did not hold, and
    OUT_OF_ORDER that the sequence number of an append did not follow the last one.
    """

    REFUSED = 'refused'
    THROTTLED = 'throttled'
    UNKNOWN = 'unknown'
    FENCED = 'fenced'
    GONE = 'gone'
    RACED = 'raced'
    OUT_OF_ORDER = 'out_of_order'
    KEY_REVOKED = 'key_revoked'
    REJECTED = 'rejected'


class KeyedRecord(NamedTuple):
    """One record; None as payload deletes the key."""

    key: str
    payload: bytes | None
    offset: int = -1


class RecordPage(NamedTuple):
    """Records that were read, and the offset of the next read.

    `reaches_end` says that no record followed them when the store replied.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    reaches_end: bool = False


class StoreLimits(NamedTuple):
    """Largest record and largest sum of the records of one append, in bytes."""

    record_bytes: int = 262_144
    request_bytes: int = 2_097_152

    @property
    def payload_bytes(self) -> int:
        """Return the size of a payload that fits in a record with any key."""
        return max(self.record_bytes - KEY_BYTES, 1)


class Writer(NamedTuple):
    """Identify an append, so that later owners fence off earlier ones."""

    name: str
    epoch: int
    sequence: int


def ignore_page(records: int) -> None:
    """Do nothing with the size of a page."""


class KeyedLog(Protocol):
    """Read and append to the streams in the store."""

    @property
    def limits(self) -> StoreLimits:
        """Return what the store accepts."""

    async def append(
        self,
        stream: Stream,
        records: Sequence[KeyedRecord],
        writer: Writer | None = None,
        timeout_ms: int = 0,
    ) -> Result[int, LogFault]:
        """Append all records or none; return the offset of the first.

        A timeout of 0 stands for the default of the store.
        """

    async def append_at(
        self,
        stream: Stream,
        records: Sequence[KeyedRecord],
        expected_end: int,
    ) -> Result[int, LogFault]:
        """Append all records or none, only if the stream ends there."""

    async def read(
        self,
        stream: Stream,
        from_offset: int,
        wait_ms: int,
    ) -> Result[RecordPage, LogFault]:
        """Return records from an offset on; wait up to `wait_ms` for one."""

    async def newest(
        self, stream: Stream, on_page: Callable[[int], None] = ignore_page
    ) -> Result[RecordPage, LogFault]:
        """Return the newest record of each key.

        `on_page` is called with the number of records of each page.
        """


class Group(Protocol):
    """Manage the membership in the group of all entry VMs."""

    async def join(self, generation: int) -> Result[int, LogFault]:
        """Join the group or renew the membership; return its generation."""

    async def leave(self) -> Result[None, LogFault]:
        """Leave the group."""

    async def members(self) -> Result[tuple[str, ...], LogFault]:
        """Return the names of the members."""


class OwnerElection(Protocol):
    """Access the owner election and its lock stream."""

    async def renew(self) -> Result[None, LogFault]:
        """Join the owner election or renew the membership in it."""

    async def resign(self) -> Result[None, LogFault]:
        """Leave the owner election."""

    async def current_owner(self) -> Result[str, LogFault]:
        """Return the name of the elected member, or an empty string."""

    async def lock_end_offset(self) -> Result[int, LogFault]:
        """Return the end offset of the lock stream."""

    async def claim(self, lock_end_offset: int) -> Result[int, LogFault]:
        """Claim the lock if its end offset is unchanged; return the fence."""

    async def is_latest_claim(self, fence: int) -> Result[bool, LogFault]:
        """Return whether no claim follows the one with this fence number."""


class PollReply(NamedTuple):
    """Reply of a polled worker.

    `clock_ms` is the worker's own clock when it replied.
    """

    answer: Answer
    clock_ms: int = 0
    table: RunTable | None = None


class PollRequest(NamedTuple):
    """Request to poll a worker.

    `last_seen` acknowledges the run ends up to this number. `deadline_ms` is
    the new end of its leases on the worker's clock; 0 extends none.
    """

    worker: WorkerKey
    address: str
    fence: int
    last_seen: int
    deadline_ms: int
    wait_ms: int


class StartOrder(NamedTuple):
    """Order to start a run; `deadline_ms` is on the worker's clock."""

    worker: WorkerKey
    address: str
    fence: int
    run: RunKey
    payload: str
    checkpoint: str
    ticket: str
    deadline_ms: int


class StopOrder(NamedTuple):
    """Order to stop a run."""

    worker: WorkerKey
    address: str
    fence: int
    run: RunKey


class PaceOrder(NamedTuple):
    """Order to set the pace of a run, in percent."""

    worker: WorkerKey
    address: str
    fence: int
    run: RunKey
    percent: int


class AdviceReply(NamedTuple):
    """Placement advice: pairs of worker id and ticket."""

    tickets: tuple[tuple[str, str], ...]
    valid_ms: int


class Workers(Protocol):
    """Send orders and polls to workers."""

    async def poll(self, request: PollRequest) -> PollReply:
        """Extend the leases and return the run table."""

    async def start(self, order: StartOrder) -> Answer:
        """Start a run."""

    async def stop(self, order: StopOrder) -> Answer:
        """Stop a run, or void one that has not started."""

    async def pace(self, order: PaceOrder) -> Answer:
        """Set the pace of a run."""


class Advisor(Protocol):
    """Ask the service that decides which workers may run a step."""

    async def ask(
        self,
        step: StepKey,
        workers: Sequence[str],
    ) -> Result[AdviceReply, LogFault]:
        """Return tickets for the workers that may run the step."""
