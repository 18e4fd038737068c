"""Define the events that the decision core processes."""

from typing import NamedTuple

from ._jobs import AttemptKey, JobSpec, TaskState
from ._policy import Policy
from ._records import Record
from ._resources import Resources


class WorkerSpec(NamedTuple):
    """Describe one worker as the platform lists it."""

    name: str
    pool: str
    domain: str
    rack: str
    address: str
    capacity: Resources
    leaving: bool = False


class TaskReport(NamedTuple):
    """Report the state of one attempt on its worker."""

    key: AttemptKey
    state: TaskState
    code: int = 0
    answer: str = ''
    used_cores_milli: int = 0
    used_memory_mb: int = 0


class SubmitRequested(NamedTuple):
    """Ask to accept a job; the token routes the reply."""

    token: int
    spec: JobSpec


class CancelRequested(NamedTuple):
    """Ask to cancel a job; the token routes the reply."""

    token: int
    job_id: str


class Recorded(NamedTuple):
    """Deliver one record in log order.

    `held` means that it is stored on a standby during a log outage.
    """

    record: Record
    held: bool = False


class DurabilityChanged(NamedTuple):
    """Report whether new records can be stored."""

    possible: bool


class WorkerListed(NamedTuple):
    """Deliver a new or changed entry of the VM list."""

    spec: WorkerSpec


class WorkerUnlisted(NamedTuple):
    """Report that the VM list no longer names a worker."""

    worker: str


class LeaseHeld(NamedTuple):
    """Report that this node holds a worker's placement lease."""

    worker: str
    term: int
    boot: str
    leaving: bool
    table: tuple[TaskReport, ...]


class LeaseLost(NamedTuple):
    """Report that a worker's placement lease expired or was taken over."""

    worker: str


class TasksReported(NamedTuple):
    """Deliver changed attempts on one worker."""

    worker: str
    boot: str
    leaving: bool
    reports: tuple[TaskReport, ...]


class StartAnswered(NamedTuple):
    """Deliver a worker's definite reply to a start."""

    worker: str
    key: AttemptKey
    state: TaskState
    code: int
    boot: str = ''


class OwnershipConfirmed(NamedTuple):
    """Report that a complete log read, begun at `at_ms`, shows this term."""

    term: int
    at_ms: int


class RestateAsked(NamedTuple):
    """Ask the owner for images of all jobs, so that old records may expire.

    After the round, a reader needs no record before `round_offset`.
    """

    round_offset: int


class Configured(NamedTuple):
    """Deliver a version of the configuration."""

    policy: Policy


class Tick(NamedTuple):
    """Apply timeouts and run a scheduling cycle."""


Event = (
    SubmitRequested
    | CancelRequested
    | Recorded
    | WorkerListed
    | WorkerUnlisted
    | LeaseHeld
    | LeaseLost
    | TasksReported
    | StartAnswered
    | OwnershipConfirmed
    | Configured
    | DurabilityChanged
    | RestateAsked
    | Tick
)
