"""Define the scheduling state of one cell."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, StrEnum, unique
from typing import TYPE_CHECKING, Final

from .._resources import Resources
from ._finished_numbers import FinishedNumbers
from ._policies import Policies
from ._spec import (
    RunKey,
    StepGraph,
    StepKey,
    StepSpec,
    WorkerKey,
    WorkflowSpec,
)
from ._tenants import PresumedCounts, TenantAccount, TenantLedger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ._commands import Command
    from ._openings import Opening
    from ._suspects import Suspect

NEVER = -1

# Causes that hold a step back besides the resources of its quota: the version in
# force does not have its tenant, or an earlier gang of its tenant is to start.
INACTIVE_TENANT: Final = 'tenant'
WAITING_GANG: Final = 'gang'


@unique
class JobPhase(StrEnum):
    """Phase of a job as shown to its caller."""

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
    """Last known state of a run."""

    SENT = 'sent'
    RUNNING = 'running'
    STOPPING = 'stopping'


@unique
class CrashEvidence(StrEnum):
    """How much a crash of its worker says about a run.

    OWN: it had just begun, and no run of another job had. SHARED: others had as
    well. UNCLEAR: it had been on trial for some time, or an earlier owner had sent
    it. WEAK: it had worked for some time, or its start had no answer.
    """

    OWN = 'own'
    SHARED = 'shared'
    UNCLEAR = 'unclear'
    WEAK = 'weak'


@dataclass(slots=True, eq=False)
class Run:
    """Track one start of a task until its worker no longer holds it.

    `start_unknown_ms` is the time at which its start order went unanswered, and
    `start_expires_ms` the time by which the deadline of that order has passed
    on the worker. `percent` is the reported progress and `percent_ms` the time
    of its last change. `pace` is the allowed share of full speed, in percent.
    `order_sent` says that its start order was sent, and `listed` that its worker
    has reported it as running. A run is on trial until `trial_until_ms`, and
    `holds_worker` says that only runs on trial start beside it until then.
    `earlier_crash` is set if the worker has crashed and the run
    may be on the process that followed.
    """

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
    order_sent: bool = False
    listed: bool = False
    trial_until_ms: int = 0
    holds_worker: bool = False
    earlier_crash: 'Suspect | None' = None

    @property
    def task(self) -> 'TaskInfo':
        """Return the task that this run executes."""
        return self.step.tasks[self.key.task.member]

    @property
    def pool(self) -> str:
        """Return the pool of the job."""
        return self.step.job.spec.pool


@dataclass(slots=True, eq=False)
class TaskInfo:
    """Track one task of a step.

    `failed_runs` holds the numbers of its failed runs, `avoided_worker` the
    worker of the last failure and `assigned_worker` the id of the worker of the
    last start. `crashes` holds the numbers of its runs that may have crashed their
    workers, with the evidence. `trial_run` is the number of its last run on trial.
    `sent_runs` holds those of these runs whose start is known to have been sent.
    """

    index: int
    done: bool = False
    last_run: int = 0
    failed_runs: dict[int, None] = field(default_factory=dict)
    checkpoint: str = ''
    not_before_ms: int = 0
    runs: dict[int, Run] = field(default_factory=dict)
    avoided_worker: WorkerKey | None = None
    assigned_worker: str = ''
    crashes: dict[int, CrashEvidence] = field(default_factory=dict)
    trial_run: int = 0
    sent_runs: dict[int, None] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Ticket:
    """Permission of the advisor to start a step on one worker."""

    text: str
    until_ms: int


@dataclass(slots=True, eq=False)
class AdviceCounts:
    """Count workers that were asked about and those that were allowed."""

    asked: float = 0
    allowed: float = 0


@dataclass(slots=True, eq=False)
class StepInfo:
    """Track one step of one occurrence.

    `awaited` counts the dependencies that are not finished, and `finished` says that
    the dependents of this step no longer count it. `waiting` holds the indexes of the
    tasks without a run, `eligible_workers`
    the workers that the advisor has ever allowed, and `asked_workers` every
    worker that it has answered about. `pending_calls` holds the workers that
    each call in progress names. `duration_by_worker_ms` holds the last
    duration of a task, measured or projected from its progress. A start after
    `latest_start_ms` misses the objective of the job, and the job has no value
    left after a start later than `infeasible_from_ms`. `openings` is the plan of
    a gang, which is made again from `replan_ms` on. Capacity for the waiting tasks
    has been free since `free_since_ms`. Since `blocked_since_ms` the step has started
    nothing and, unless its tasks last, had no run. `crashed` is set if a decision
    on the step has raised an error in this term. `suspects` holds the indexes of the
    tasks that start only where nothing else has just begun. Waiting tasks have been
    held back since `held_by_quota_ms` by `held_by_quota`: a resource of the quota, INACTIVE_TENANT
    or WAITING_GANG. They need not be looked at before the epoch of the account
    changes from `held_epoch`. `quota_needed` is what the next start needs.
    `is_hopeless` says that no set of workers could hold the step when it was last
    checked, with the state `checked_with`. The last plan of a gang was
    made at `planned_ms`; `failed_plans` counts those without enough openings since
    the last one that had them.
    """

    key: StepKey
    spec: StepSpec
    job: 'JobInfo'
    tasks: list[TaskInfo]
    waiting: dict[int, None] = field(default_factory=dict)
    done_count: int = 0
    awaited: int = 0
    ready: bool = False
    finished: bool = False
    tickets: dict[WorkerKey, Ticket] = field(default_factory=dict)
    eligible_workers: dict[WorkerKey, None] = field(default_factory=dict)
    asked_workers: dict[WorkerKey, None] = field(default_factory=dict)
    pending_calls: dict[tuple[WorkerKey, ...], None] = field(
        default_factory=dict
    )
    advice_retry_ms: int = 0
    runs_per_worker: dict[WorkerKey, int] = field(default_factory=dict)
    duration_by_worker_ms: dict[WorkerKey, int] = field(default_factory=dict)
    latest_start_ms: int = 0
    infeasible_from_ms: int = 0
    openings: 'tuple[Opening, ...]' = ()
    replan_ms: int = 0
    free_since_ms: int = NEVER
    blocked_since_ms: int = NEVER
    stall_reported: bool = False
    crashed: bool = False
    suspects: dict[int, None] = field(default_factory=dict)
    held_by_quota_ms: int = NEVER
    held_by_quota: str = ''
    held_epoch: int = NEVER
    quota_needed: Resources = Resources()
    is_hopeless: bool = False
    checked_with: tuple[int, ...] = ()
    planned_ms: int = NEVER
    failed_plans: int = 0

    @property
    def is_done(self) -> bool:
        """Return whether every task has completed."""
        return self.done_count >= len(self.tasks)

    @property
    def has_runs(self) -> bool:
        """Return whether any task may still have a run on a worker."""
        return any(task.runs for task in self.tasks)


@dataclass(slots=True, eq=False)
class JobInfo:
    """Track one accepted job.

    `unfinished` counts the steps of each open occurrence that are not done, and
    `open_tasks` the tasks of all of them that do not last. Occurrences before
    `next_occurrence` have been opened or are finished.
    `durable_phase` is the phase in the last durable progress record, `account` that
    of its tenant, if it has one. `is_over_rate` says that its tenant had sent more
    jobs than its rate allows. `presumed` counts its
    runs that may be on workers that have not answered since a takeover. `failed_on`
    holds the workers on which runs of it have failed in this term.
    """

    spec: WorkflowSpec
    offset: int
    graph: StepGraph
    occurrences: dict[int, list[StepInfo]] = field(default_factory=dict)
    unfinished: dict[int, int] = field(default_factory=dict)
    finished: FinishedNumbers = field(default_factory=FinishedNumbers)
    open_tasks: int = 0
    next_occurrence: int = 0
    phase: JobPhase = JobPhase.QUEUED
    durable_phase: JobPhase = JobPhase.QUEUED
    started: bool = False
    cancelled: bool = False
    finalized_ms: int = NEVER
    reason: str = ''
    account: TenantAccount | None = None
    is_over_rate: bool = False
    presumed: PresumedCounts = field(default_factory=dict)
    failed_on: dict[WorkerKey, None] = field(default_factory=dict)

    @property
    def is_final(self) -> bool:
        """Return whether no more runs of the job will be started."""
        return self.phase in FINAL_PHASES

    @property
    def visible_phase(self) -> JobPhase:
        """Return the phase to report; a final one only once it is durable."""
        if self.is_final and self.durable_phase is self.phase:
            return self.phase
        return JobPhase.RUNNING if self.started else JobPhase.QUEUED


@dataclass(slots=True, eq=False)
class WorkerInfo:
    """Track one instance of a worker process.

    `registered_ms` is the time at which its last registration was read.
    `enrolled` says that the worker is in the durable list of known workers,
    and `synced` that its run table has been applied by this owner.
    `handled_end` and `recorded_end` are the numbers of the last run end that
    was applied and of the last one that was recorded durably. `missed_calls`
    counts the unanswered calls since the last answer. `known_since_ms` is the
    time at which this owner learned of the instance. `unconfirmed_starts` holds
    the runs that were given up without an answer to their start order, with
    the time, and `unconfirmed_voids` those whose start this instance has still to
    void. From `held_since_ms` to `held_until_ms` only the step `held_for` may start
    runs there. It takes no new runs before `paused_until_ms`, and before
    `barred_until_ms` only as a last resort. `lapsed_suspects` holds the runs that
    may be the cause if the instance proves to have crashed before its leases expired.
    `has_more_ends` says that there are run ends that it has not listed yet.
    `silent_since_ms` is set if the worker is gone: without a registration, and silent
    for long. `has_answered` says that it has returned a run table to this owner or, by
    the record, to an earlier one.
    """

    key: WorkerKey
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
    registered_ms: int = 0
    unresponsive: bool = False
    missed_calls: int = 0
    lease_until_ms: int = 0
    table_clock_ms: int = 0
    handled_end: int = 0
    recorded_end: int = 0
    failures_in_row: dict[str, None] = field(default_factory=dict)
    barred_until_ms: int = 0
    bar_count: int = 0
    paused_until_ms: int = 0
    known_since_ms: int = 0
    unconfirmed_starts: dict[RunKey, int] = field(default_factory=dict)
    unconfirmed_voids: dict[RunKey, None] = field(default_factory=dict)
    held_for: StepKey | None = None
    held_since_ms: int = 0
    held_until_ms: int = 0
    lapsed_suspects: 'tuple[Suspect, ...]' = ()
    has_more_ends: bool = False
    silent_since_ms: int = 0
    has_answered: bool = False

    @property
    def worker_id(self) -> str:
        """Return the id, which other instances may have had."""
        return self.key.worker_id

    @property
    def is_over_capacity(self) -> bool:
        """Return whether the runs need more than the worker has now."""
        return min(self.free) < 0

    @property
    def is_mostly_stopping(self) -> bool:
        """Return whether most of the runs are being stopped."""
        stopping = sum(
            run.state is RunState.STOPPING for run in self.runs.values()
        )
        return 2 * stopping > len(self.runs)

    def allocate(self, run: Run) -> None:
        """Allocate the demand of a run."""
        self.runs[run.key] = run
        self.free = self.free.minus(run.demand)
        if run.step.job.account is not None:
            run.step.job.account.add_run(run)
        key = self.key
        run.step.runs_per_worker[key] = run.step.runs_per_worker.get(key, 0) + 1

    def release(self, run: Run) -> None:
        """Free the allocation of a run, unless it is already freed."""
        if self.runs.pop(run.key, None) is None:
            return
        self.free = self.free.plus(run.demand)
        if run.step.job.account is not None:
            run.step.job.account.remove_run(run)
        if run.holds_worker and not any(
            other.holds_worker for other in self.runs.values()
        ):
            self.held_until_ms = 0
        remaining = run.step.runs_per_worker.get(self.key, 0) - 1
        if remaining > 0:
            run.step.runs_per_worker[self.key] = remaining
        else:
            run.step.runs_per_worker.pop(self.key, None)


NO_JOBS: Final[dict[str, JobInfo]] = {}


@dataclass(slots=True, eq=False)
class CellState:
    """Hold every job and worker that one owner schedules.

    `fence` is the fence number sent with every order.
    `previous_orders_expire_ms` is the time from which no order of an earlier
    owner can be in effect. `instances` holds the known instances by worker id;
    there is more than one until the current one has answered.
    `unsynced_workers` holds the ids of the workers whose run table this owner has
    not received yet, whichever instance returns it, and `earlier_instances` the
    instances that an earlier owner has recorded, by worker id. `wanted_workers`
    holds the workers of each pool with capacity reserved in the last scheduling
    cycle, `advice_counts` the replies of the advisor by queue. `find_past_job` adds a
    final job that is held elsewhere to the cell. `dispatch_unfinished` tells that the
    last scheduling cycle has started or stopped as many tasks as one may, so that
    others may wait beside free capacity. `deferred_stops` holds the runs of
    final jobs that are still to be stopped, with the reason, and `stops_in_cycle` counts those
    stopped since the last cycle began. `workers_hash` changes with what the workers can hold,
    and is renewed from time to time.
    """

    fence: int
    previous_orders_expire_ms: int
    jobs: dict[str, JobInfo] = field(default_factory=dict)
    workers: dict[WorkerKey, WorkerInfo] = field(default_factory=dict)
    instances: dict[str, dict[WorkerKey, None]] = field(default_factory=dict)
    removed_workers: dict[WorkerKey, None] = field(default_factory=dict)
    open_steps: dict[StepKey, StepInfo] = field(default_factory=dict)
    unrecorded_jobs: dict[str, None] = field(default_factory=dict)
    unsynced_workers: dict[str, None] = field(default_factory=dict)
    earlier_instances: dict[str, WorkerKey] = field(default_factory=dict)
    outbox: 'list[Command]' = field(default_factory=list)
    loaded: bool = False
    gangs_checked: bool = False
    deposed: bool = False
    last_suspicion_ms: int = NEVER
    policies: Policies = Policies()
    tenants: TenantLedger = field(default_factory=TenantLedger)
    dispatch_unfinished: bool = False
    deferred_stops: 'deque[tuple[Iterator[Run], str]]' = field(
        default_factory=deque
    )
    stops_in_cycle: int = 0
    workers_hash: int = 0
    workers_hashed_ms: int = NEVER
    wanted_workers: dict[str, frozenset[WorkerKey]] = field(
        default_factory=dict
    )
    advice_counts: dict[str, AdviceCounts] = field(default_factory=dict)
    find_past_job: 'Callable[[str], JobInfo | None]' = NO_JOBS.get

    def find_job(self, job_id: str) -> JobInfo | None:
        """Return a job, or None if it is not known."""
        return self.jobs.get(job_id) or self.find_past_job(job_id)

    def add_worker(self, worker: WorkerInfo) -> None:
        """Add an instance of a worker."""
        self.workers[worker.key] = worker
        self.instances.setdefault(worker.worker_id, {})[worker.key] = None

    def pop_worker(self, key: WorkerKey) -> WorkerInfo | None:
        """Remove an instance of a worker and return it, if it is known."""
        others = self.instances.get(key.worker_id, {})
        others.pop(key, None)
        if not others:
            self.instances.pop(key.worker_id, None)
        return self.workers.pop(key, None)

    def find_instances(self, worker_id: str) -> list[WorkerInfo]:
        """Return the known instances of a worker, the first known one first."""
        return [self.workers[key] for key in self.instances.get(worker_id, ())]

    def find_run(self, worker_id: str, key: RunKey) -> Run | None:
        """Return a run that is allocated on any instance of a worker."""
        for worker in self.find_instances(worker_id):
            if key in worker.runs:
                return worker.runs[key]
        return None

    def mark_synced(self, worker_id: str) -> None:
        """Record that no run on a worker is unknown to this owner any more."""
        self.unsynced_workers.pop(worker_id, None)
        self.tenants.settle(worker_id)

    @property
    def is_synced(self) -> bool:
        """Return whether no worker may hold runs unknown to this owner."""
        return not self.unsynced_workers
