"""Hold what the decision core knows of one pool."""

from dataclasses import dataclass, field

from ._events import WorkerSpec
from ._jobs import (
    FINAL_JOB_STATES,
    LIVE_TASK_STATES,
    AttemptKey,
    JobSpec,
    JobState,
    TaskState,
)
from ._policy import Policy
from ._resources import Resources


@dataclass(slots=True)
class TaskBook:
    """Track the current attempt of one task."""

    state: TaskState = TaskState.QUEUED
    attempt: int = 0
    worker: str = ''
    boot: str = ''
    recorded: bool = False
    ending: bool = False
    failures: int = 0
    not_before_ms: int = 0
    started_ms: int = 0
    code: int = 0
    answer: str = ''

    @property
    def is_live(self) -> bool:
        """Tell whether an attempt may be running."""
        return self.state in LIVE_TASK_STATES


@dataclass(slots=True)
class JobBook:
    """Track one accepted job."""

    spec: JobSpec
    accepted_ms: int
    tasks: list[TaskBook]
    state: JobState = JobState.QUEUED
    code: int = 0
    detail: str = ''
    cancel_asked: bool = False
    settled_ms: int = 0

    @property
    def is_final(self) -> bool:
        """Tell whether the job's answer is complete."""
        return self.state in FINAL_JOB_STATES

    def attempt_key(self, index: int) -> AttemptKey:
        """Return the key of a task's current attempt."""
        return AttemptKey(self.spec.job_id, index, self.tasks[index].attempt)


@dataclass(slots=True)
class WorkerBook:
    """Track what is booked on one worker."""

    spec: WorkerSpec
    free: Resources
    boot: str = ''
    term: int = 0
    ready: bool = False
    leaving: bool = False
    lost_ms: int = 0
    charges: dict[AttemptKey, Resources] = field(default_factory=dict)

    def charge(self, key: AttemptKey, demand: Resources) -> None:
        """Book an attempt once, however often it is told."""
        if key in self.charges:
            return
        self.charges[key] = demand
        self.free = self.free.minus(demand)

    def release(self, key: AttemptKey) -> None:
        """Give an attempt's booking back, if it is still held."""
        demand = self.charges.pop(key, None)
        if demand is not None:
            self.free = self.free.plus(demand)


@dataclass(slots=True)
class PendingAccept:
    """Remember who waits for a job to be kept."""

    spec: JobSpec
    tokens: list[int]


@dataclass(slots=True)
class ShardState:
    """Hold one pool of one failure domain as one entry VM sees it."""

    domain: str
    pool: str
    node: str
    policy: Policy = field(default_factory=Policy)
    term: int = 0
    owner: str = ''
    jobs: dict[str, JobBook] = field(default_factory=dict)
    waiting: dict[str, None] = field(default_factory=dict)
    workers: dict[str, WorkerBook] = field(default_factory=dict)
    accepting: dict[str, PendingAccept] = field(default_factory=dict)
    cancelling: dict[str, list[int]] = field(default_factory=dict)
    can_keep: bool = True

    @property
    def is_owner(self) -> bool:
        """Tell whether this node holds the highest recorded term."""
        return self.owner == self.node
