"""Define jobs, tasks and their states."""

from enum import StrEnum, unique
from typing import Final, NamedTuple

from ._resources import Resources

ID_SEPARATOR: Final = '.'


@unique
class Kind(StrEnum):
    """Name a workload kind."""

    SERVICE = 'service'
    BATCH = 'batch'
    GANG = 'gang'


@unique
class JobState(StrEnum):
    """Name the state of a whole job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@unique
class TaskState(StrEnum):
    """Name the state of one task or of one of its attempts."""

    QUEUED = 'queued'
    INTENDED = 'intended'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    CHECKPOINTED = 'checkpointed'
    LAPSED = 'lapsed'
    NOT_STARTED = 'not_started'
    UNKNOWN = 'unknown'


FINAL_JOB_STATES: Final = frozenset(
    (
        JobState.DONE,
        JobState.FAILED,
        JobState.CANCELLED,
        JobState.REFUSED,
        JobState.UNKNOWN,
    )
)

LIVE_TASK_STATES: Final = frozenset((TaskState.INTENDED, TaskState.RUNNING))


class JobSpec(NamedTuple):
    """Describe one job as its caller submitted it."""

    job_id: str
    team: str
    workload: str
    kind: Kind
    tasks: int = 1
    cores_milli: int = 1000
    memory_mb: int = 512
    accelerators: int = 0
    connections: int = 1
    expected_run_ms: int = 60_000
    deadline_ms: int = 0
    urgent: bool = False
    idempotent: bool = True
    checkpointable: bool = False
    payload: str = ''

    @property
    def demand(self) -> Resources:
        """Return the resources that one task declares."""
        return Resources(
            self.cores_milli,
            self.memory_mb,
            self.accelerators,
            1,
            self.connections,
        )


class AttemptKey(NamedTuple):
    """Identify one attempt to run one task."""

    job_id: str
    task_index: int
    attempt: int

    def to_text(self) -> str:
        """Return the id under which a worker creates the task."""
        return f'{self.job_id}:{self.task_index}:{self.attempt}'


def parse_attempt(text: str) -> AttemptKey | None:
    """Parse an attempt id; return None for a task of another origin."""
    parts = text.rsplit(':', 2)
    if len(parts) != 3 or not (parts[1].isdigit() and parts[2].isdigit()):
        return None
    return AttemptKey(parts[0], int(parts[1]), int(parts[2]))


def domain_of(job_id: str) -> str:
    """Return the failure domain in a job id."""
    return job_id.split(ID_SEPARATOR, 1)[0]
