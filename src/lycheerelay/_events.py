"""Define what the decision core is told."""

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
    """Report one attempt as its worker sees it."""

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

    `held` tells that a second entry VM keeps it while the log is down.
    """

    record: Record
    held: bool = False


class DurabilityChanged(NamedTuple):
    """Tell whether new records can be kept."""

    possible: bool


class WorkerListed(NamedTuple):
    """Deliver a new or changed entry of the VM list."""

    spec: WorkerSpec


class WorkerUnlisted(NamedTuple):
    """Tell that the VM list no longer names a worker."""

    worker: str


class LeaseHeld(NamedTuple):
    """Tell that this node holds a worker's placement lease."""

    worker: str
    term: int
    boot: str
    leaving: bool
    table: tuple[TaskReport, ...]


class LeaseLost(NamedTuple):
    """Tell that a worker's placement lease ran out or went elsewhere."""

    worker: str


class TasksReported(NamedTuple):
    """Deliver changes of attempts on one worker."""

    worker: str
    boot: str
    leaving: bool
    reports: tuple[TaskReport, ...]


class StartAnswered(NamedTuple):
    """Deliver a worker's definite answer to a start."""

    worker: str
    key: AttemptKey
    state: TaskState
    code: int
    boot: str = ''


class OwnershipConfirmed(NamedTuple):
    """Tell that a whole read of the log, begun then, shows this term."""

    term: int
    at_ms: int


class RestateAsked(NamedTuple):
    """Ask the owner to restate every job, so that old records may expire.

    The round names the offset from which a reader then needs no more.
    """

    round_offset: int


class Configured(NamedTuple):
    """Put a newer configuration in force."""

    policy: Policy


class Tick(NamedTuple):
    """Let time pass and decide."""


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
