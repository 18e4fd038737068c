"""Define the records in the log of a failure domain."""

from typing import NamedTuple

from ._jobs import AttemptKey, JobSpec, TaskState


class Accepted(NamedTuple):
    """Store an accepted job; the first record of an id wins."""

    pool: str
    spec: JobSpec
    at_ms: int
    max_attempts: int = 0


class Start(NamedTuple):
    """Assign one attempt to a worker and its current boot."""

    task_index: int
    attempt: int
    worker: str
    boot: str
    booked_cores_milli: int = 0
    booked_memory_mb: int = 0


class Intended(NamedTuple):
    """Announce starts of a job before any of them is sent."""

    pool: str
    term: int
    job_id: str
    starts: tuple[Start, ...]
    at_ms: int


class Ended(NamedTuple):
    """Store how one attempt ended on its worker."""

    pool: str
    job_id: str
    task_index: int
    attempt: int
    state: TaskState
    code: int
    answer: str
    at_ms: int
    worker: str = ''
    boot: str = ''

    @property
    def key(self) -> AttemptKey:
        """Return the attempt that ended."""
        return AttemptKey(self.job_id, self.task_index, self.attempt)


class CancelAsked(NamedTuple):
    """Store a caller's request to cancel a job."""

    pool: str
    job_id: str
    at_ms: int


class Settled(NamedTuple):
    """Store the final result of a job that its tasks do not determine."""

    pool: str
    job_id: str
    state: str
    code: int
    detail: str
    at_ms: int
    term: int = 0


class TermTaken(NamedTuple):
    """Claim the ownership of one pool; the highest term wins."""

    pool: str
    term: int
    owner: str
    at_ms: int


class TaskImage(NamedTuple):
    """Store the state of one task and its current attempt."""

    state: TaskState
    attempt: int = 0
    worker: str = ''
    boot: str = ''
    failures: int = 0
    not_before_ms: int = 0
    started_ms: int = 0
    code: int = 0
    answer: str = ''
    runs: int = 0
    booked_cores_milli: int = 0
    booked_memory_mb: int = 0


class JobImage(NamedTuple):
    """Store the complete state of a job, so that older records may expire."""

    pool: str
    spec: JobSpec
    accepted_ms: int
    state: str
    code: int
    detail: str
    cancel_asked: bool
    settled_ms: int
    tasks: tuple[TaskImage, ...]
    max_attempts: int = 0
    restarting: bool = False
    failed_on: tuple[str, ...] = ()


Record = (
    Accepted | Intended | Ended | CancelAsked | Settled | TermTaken | JobImage
)
