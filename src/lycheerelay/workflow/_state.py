"""Hold what the workflow core knows of one cell."""

from dataclasses import dataclass, field
from enum import Enum, StrEnum, unique
from typing import TYPE_CHECKING

from .._resources import Resources
from ._spec import RunKey, StepKey, StepSpec, WorkflowSpec

if TYPE_CHECKING:
    from ._commands import Command

NEVER = -1
# Room is kept for so many steps of a pool that do not fit yet; more would
# keep too much of it idle.
RESERVING_STEPS = 5


@unique
class JobPhase(StrEnum):
    """Name what a caller is shown of a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


FINAL_PHASES = frozenset(
    (JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED),
)


@unique
class RunState(Enum):
    """Name how far a run is known to have come."""

    SENT = 'sent'
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclass(slots=True, eq=False)
class Run:
    """Track one start of one task until its worker is rid of it."""

    key: RunKey
    worker: 'WorkerInfo'
    step: 'StepInfo'
    demand: Resources
    sent_ms: int
    state: RunState = RunState.SENT
    answered_ms: int = NEVER
    start_unknown_ms: int = NEVER
    start_expires_ms: int = NEVER
    stop_sent_ms: int = NEVER
    stop_answered_ms: int = NEVER
    stop_reason: str = ''
    percent: int = 0
    percent_ms: int = 0
    pace: int = 100
    load: int = 0

    @property
    def task(self) -> 'TaskInfo':
        """Return the task that this run works on."""
        return self.step.tasks[self.key.task.member]


@dataclass(slots=True, eq=False)
class TaskInfo:
    """Track one task."""

    index: int
    done: bool = False
    last_run: int = 0
    failed_runs: dict[int, None] = field(default_factory=dict)
    checkpoint: str = ''
    not_before_ms: int = 0
    runs: dict[int, Run] = field(default_factory=dict)
    avoid: str = ''
    assigned: str = ''


@dataclass(slots=True, eq=False)
class Ticket:
    """Hold a permission to start a step on a worker."""

    text: str
    until_ms: int


@dataclass(slots=True, eq=False)
class StepInfo:
    """Track one step of one occurrence."""

    key: StepKey
    spec: StepSpec
    job: 'JobInfo'
    tasks: list[TaskInfo]
    waiting: dict[int, None] = field(default_factory=dict)
    done_count: int = 0
    ready: bool = False
    tickets: dict[str, Ticket] = field(default_factory=dict)
    eligible_workers: dict[str, None] = field(default_factory=dict)
    asked_workers: dict[str, None] = field(default_factory=dict)
    advice_sent_ms: int = NEVER
    pending_advice: tuple[str, ...] = ()
    advice_retry_ms: int = 0
    on_worker: dict[str, int] = field(default_factory=dict)
    needed_ms: dict[str, int] = field(default_factory=dict)
    latest_start_ms: int = 0
    infeasible_from_ms: int = 0

    @property
    def is_done(self) -> bool:
        """Tell whether every task has ended well."""
        return self.done_count >= len(self.tasks)

    @property
    def has_runs(self) -> bool:
        """Tell whether a worker may hold a run of any task."""
        return any(task.runs for task in self.tasks)


@dataclass(slots=True, eq=False)
class JobInfo:
    """Track one accepted job."""

    spec: WorkflowSpec
    offset: int
    occurrences: dict[int, list[StepInfo]] = field(default_factory=dict)
    finished: dict[int, None] = field(default_factory=dict)
    phase: JobPhase = JobPhase.QUEUED
    durable_phase: JobPhase = JobPhase.QUEUED
    started: bool = False
    cancelled: bool = False
    finalized_ms: int = NEVER
    reason: str = ''

    @property
    def is_final(self) -> bool:
        """Tell whether nothing more is to be started."""
        return self.phase in FINAL_PHASES

    @property
    def visible_phase(self) -> JobPhase:
        """Return the phase that survives the loss of this process."""
        if self.is_final and self.durable_phase is self.phase:
            return self.phase
        return JobPhase.RUNNING if self.started else JobPhase.QUEUED


@dataclass(slots=True, eq=False)
class WorkerInfo:
    """Track one life of a worker."""

    worker_id: str
    address: str
    pool: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    domain: str = ''
    free: Resources = Resources()
    runs: dict[RunKey, Run] = field(default_factory=dict)
    orphaned_runs: dict[RunKey, None] = field(default_factory=dict)
    listed: bool = True
    draining: bool = False
    enrolled: bool = False
    synced: bool = False
    last_contact_ms: int = 0
    unresponsive: bool = False
    lease_until_ms: int = 0
    table_clock_ms: int = 0
    handled_end: int = 0
    recorded_end: int = 0
    failures_in_row: dict[str, None] = field(default_factory=dict)
    barred_until_ms: int = 0
    bars: int = 0

    def charge(self, run: Run) -> None:
        """Book what a run may use."""
        self.runs[run.key] = run
        self.free = self.free.minus(run.demand)
        key = self.worker_id
        run.step.on_worker[key] = run.step.on_worker.get(key, 0) + 1

    def release(self, run: Run) -> None:
        """Give back what a run had booked."""
        if self.runs.pop(run.key, None) is None:
            return
        self.free = self.free.plus(run.demand)
        left = run.step.on_worker.get(self.worker_id, 0) - 1
        if left > 0:
            run.step.on_worker[self.worker_id] = left
        else:
            run.step.on_worker.pop(self.worker_id, None)


@dataclass(slots=True, eq=False)
class CellState:
    """Hold every job and worker that one owner decides on.

    `fence` is the number under which orders are sent, `previous_orders_expire_ms` the time
    from which no order of an earlier owner can be in effect anywhere, and
    `unsynced_workers` names the workers that have not shown what they run since.
    """

    fence: int
    previous_orders_expire_ms: int
    jobs: dict[str, JobInfo] = field(default_factory=dict)
    workers: dict[str, WorkerInfo] = field(default_factory=dict)
    removed_workers: dict[str, None] = field(default_factory=dict)
    open_steps: dict[StepKey, StepInfo] = field(default_factory=dict)
    unrecorded_jobs: dict[str, None] = field(default_factory=dict)
    unsynced_workers: dict[str, None] = field(default_factory=dict)
    outbox: 'list[Command]' = field(default_factory=list)
    loaded: bool = False
    gangs_checked: bool = False
    deposed: bool = False
    last_suspicion_ms: int = NEVER
    order: str = 'slack'
    reserving_steps: int = RESERVING_STEPS

    def find_run(self, worker_id: str, key: RunKey) -> Run | None:
        """Return a run that is booked on a worker."""
        worker = self.workers.get(worker_id)
        return worker.runs.get(key) if worker else None

    @property
    def is_synced(self) -> bool:
        """Tell whether no worker may hold runs that this owner missed."""
        return not self.unsynced_workers
