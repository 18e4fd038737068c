"""Hold the decision core's state of one pool."""

from collections import deque
from dataclasses import dataclass, field

from ._admission_flow import StartRates
from ._events import WorkerSpec
from ._fit_index import WorkerIndex
from ._jobs import (
    FINAL_JOB_STATES,
    LIVE_TASK_STATES,
    AttemptKey,
    JobSpec,
    JobState,
    TaskState,
)
from ._learned import LearnedUsage
from ._order_queue import WaitingJobs
from ._policy import Policy
from ._records import Record
from ._reservation import Reservations
from ._resources import Resources
from ._retry import RetryBudget
from ._share import NO_RESOURCES, Ledger


@dataclass(slots=True)
class TaskInfo:
    """Track the current attempt of one task.

    `recorded` is set once the intent of the attempt took effect, `ending`
    while the record of its end is in flight. `runs` counts the recorded
    starts that may have run, `moves` the preemptions; `moved_for` is the job
    that the last preemption favoured. `stopping_ms` is when the attempt was
    last stopped to free capacity, 0 for never. The `booked` amounts are the
    recorded allocation, 0 if it equals the declared demand.
    """

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
    runs: int = 0
    booked_cores_milli: int = 0
    booked_memory_mb: int = 0
    used_cores_milli: int = 0
    used_memory_mb: int = 0
    stopping_ms: int = 0
    moved_for: str = ''
    moves: int = 0
    intent_term: int = 0

    @property
    def is_live(self) -> bool:
        """Return whether an attempt is planned or may be running."""
        return self.state in LIVE_TASK_STATES

    @property
    def may_run(self) -> bool:
        """Return whether a live attempt is recorded, so it may be running."""
        return self.recorded and self.is_live

    @property
    def is_planned(self) -> bool:
        """Return whether an attempt is planned but not yet recorded."""
        return self.is_live and not self.recorded

    @property
    def recorded_attempt(self) -> int:
        """Return the last attempt whose intent is recorded."""
        return self.attempt - 1 if self.is_planned else self.attempt


@dataclass(slots=True)
class JobInfo:
    """Track one accepted job.

    `restarting` is set while the rest of a gang is stopped after one of its
    tasks ended unsuccessfully. `failed_on` names the workers whose failures
    count against the job.
    """

    spec: JobSpec
    accepted_ms: int
    tasks: list[TaskInfo]
    state: JobState = JobState.QUEUED
    code: int = 0
    detail: str = ''
    cancel_asked: bool = False
    settled_ms: int = 0
    max_attempts: int = 0
    restarting: bool = False
    failed_on: dict[str, None] = field(default_factory=dict)
    accepted_term: int = 0

    @property
    def is_final(self) -> bool:
        """Return whether the job has its final result."""
        return self.state in FINAL_JOB_STATES

    @property
    def not_run(self) -> bool:
        """Return whether the records prove that no task was started."""
        return not any(task.runs for task in self.tasks)

    def allocated(self, index: int) -> Resources:
        """Return the resources allocated to a task's recorded attempt.

        The allocation can exceed the declared demand, never fall below it.
        """
        task = self.tasks[index]
        declared = self.spec.demand
        return declared._replace(
            cores_milli=max(declared.cores_milli, task.booked_cores_milli),
            memory_mb=max(declared.memory_mb, task.booked_memory_mb),
        )

    def task(self, index: int) -> TaskInfo | None:
        """Return a task, or None if the index is out of range."""
        return self.tasks[index] if 0 <= index < len(self.tasks) else None

    def attempt_key(self, index: int) -> AttemptKey:
        """Return the key of a task's current attempt."""
        return AttemptKey(self.spec.job_id, index, self.tasks[index].attempt)


@dataclass(slots=True)
class Quarantine:
    """Limit a failing worker to one probe task per growing interval."""

    probe_ms: int
    interval_ms: int
    probing: bool = False


@dataclass(slots=True)
class WorkerInfo:
    """Track the state and the allocated resources of one worker.

    `term` is the last term in which this node held the placement lease, and
    `ready` is set while it does. `lost_ms` is when the lease was last lost.
    `charges` holds the allocation of each attempt, `plain` the sum of those
    without accelerators, `strays` the orphaned runs that must end first.
    `told_leaving` is what the worker itself reports. `relieved_ms` is when an
    overload was last relieved, -1 for never.
    """

    spec: WorkerSpec
    free: Resources
    boot: str = ''
    term: int = 0
    ready: bool = False
    leaving: bool = False
    lost_ms: int = 0
    charges: dict[AttemptKey, Resources] = field(default_factory=dict)
    listed: bool = True
    told_leaving: bool = False
    strays: dict[AttemptKey, None] = field(default_factory=dict)
    quarantine: Quarantine | None = None
    relieved_ms: int = -1
    ledger: Ledger | None = None
    plain: Resources = NO_RESOURCES

    @property
    def is_schedulable(self) -> bool:
        """Return whether tasks may be placed on this worker now."""
        if self.quarantine is not None and not self.quarantine.probing:
            return False
        return self.ready and not self.leaving and not self.strays

    def update_leaving(self) -> None:
        """Update `leaving` from the VM list and the worker's own report."""
        is_gone = self.spec.leaving or not self.listed
        self.leaving = is_gone or self.told_leaving

    def charge(self, key: AttemptKey, demand: Resources) -> None:
        """Allocate resources to an attempt; repeated calls have no effect."""
        if key in self.charges:
            return
        self.charges[key] = demand
        if self.quarantine is not None:
            self.quarantine.probing = False
        self.free = self.free.minus(demand)
        if not demand.accelerators:
            self.plain = self.plain.plus(demand)
        if self.ledger is not None:
            self.ledger.charge(self.spec.name, key, demand)

    def release(self, key: AttemptKey) -> None:
        """Free the resources of an attempt, if any are allocated."""
        demand = self.charges.pop(key, None)
        if demand is None:
            return
        self.free = self.free.plus(demand)
        if not demand.accelerators:
            self.plain = self.plain.minus(demand)
        if self.ledger is not None:
            self.ledger.release(self.spec.name, key, demand)


@dataclass(slots=True)
class PendingAccept:
    """Track the requests that wait until a job is recorded."""

    spec: JobSpec
    tokens: list[int]


@dataclass(slots=True)
class RestateRound:
    """Track jobs whose images are to be appended or read back."""

    offset: int
    waiting: dict[str, None]
    sent: dict[str, None] = field(default_factory=dict)


@dataclass(slots=True)
class Fence:
    """Track whether an earlier owner may still start tasks.

    `majority_ms` is when `term` first held the leases of most workers, -1
    until then.
    """

    term: int = 0
    majority_ms: int = -1
    is_open: bool = False


@dataclass(slots=True)
class ShardState:
    """Hold one entry VM's view of one pool in a failure domain.

    `log_term` is the highest term in the log; `term` is above it while a
    claim is stored only by standby entry VMs. `majority_ms` is when this node
    gained the leases of most workers, -1 while it has no majority.
    `confirmed_ms` is when the newest complete log read began that confirmed
    the ownership, -1 for none.

    `on_way` holds the records in flight by job, `unlisted` the allocations on
    workers that are not listed yet, `suspects` the failed jobs by worker, and
    `services` the latest generation of each replica. `can_keep` is set while
    new records can be stored. `synced_ms` is when queues and index were last
    updated in full, `reserved_ms` when reservations were last reviewed.
    """

    domain: str
    pool: str
    node: str
    policy: Policy = field(default_factory=Policy)
    term: int = 0
    owner: str = ''
    jobs: dict[str, JobInfo] = field(default_factory=dict)
    waiting: WaitingJobs = field(default_factory=WaitingJobs)
    workers: dict[str, WorkerInfo] = field(default_factory=dict)
    accepting: dict[str, PendingAccept] = field(default_factory=dict)
    cancelling: dict[str, list[int]] = field(default_factory=dict)
    index: WorkerIndex = field(default_factory=WorkerIndex)
    reservations: Reservations = field(default_factory=Reservations)
    ledger: Ledger = field(init=False)
    synced_ms: int = -1
    reserved_ms: int = -1
    next_worker: int = 0
    scarce_until_ms: int = 0
    flows: StartRates = field(default_factory=StartRates)
    unlisted: dict[str, dict[AttemptKey, Resources]] = field(
        default_factory=dict,
    )
    majority_ms: int = -1
    confirmed_ms: int = -1
    delayed: list[tuple[int, AttemptKey]] = field(default_factory=list)
    deadlines: list[tuple[int, str]] = field(default_factory=list)
    finals: deque[tuple[int, str]] = field(default_factory=deque)
    budget: RetryBudget = field(default_factory=RetryBudget)
    suspects: dict[str, dict[str, None]] = field(default_factory=dict)
    services: dict[str, dict[int, int]] = field(default_factory=dict)
    reconciled_ms: int = 0
    learned: dict[tuple[str, str], LearnedUsage] = field(default_factory=dict)
    can_keep: bool = True
    restating: RestateRound | None = None
    fence: Fence = field(default_factory=Fence)
    on_way: dict[str, list[Record]] = field(default_factory=dict)
    log_term: int = 0

    def __post_init__(self) -> None:
        """Create the ledger, which looks up the team of a job."""
        self.ledger = Ledger(self.jobs)

    @property
    def is_owner(self) -> bool:
        """Return whether this node owns the highest recorded term."""
        return self.owner == self.node
