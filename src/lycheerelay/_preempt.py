"""Make room for urgent work by stopping what can run again."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import Final, NamedTuple

from ._commands import StopTask
from ._handlers import Commands
from ._jobs import AttemptKey, JobSpec, Kind
from ._order_queue import Entry
from ._reservation import Reservation
from ._resources import Resources
from ._state import JobBook, ShardState, TaskBook, WorkerBook

MAX_OPTIONS: Final = 16
MAX_TASKS: Final = 32
MAX_JOBS: Final = 16
CHECKPOINT_COST_MS: Final = 1000
REPEAT_STOP_MS: Final = 2500
ROLE_PREFIX: Final = 'urgent '


class Victim(NamedTuple):
    """Describe a running attempt that may be stopped."""

    cost: int
    key: AttemptKey
    held: Resources


class Option(NamedTuple):
    """Describe what stopping a set on one worker costs."""

    cost: int
    worker: str
    victims: tuple[Victim, ...]


@dataclass(slots=True)
class Plan:
    """Collect the stops and the room held for one urgent job."""

    holds: dict[str, Resources] = field(default_factory=dict)
    freed: dict[str, Resources] = field(default_factory=dict)
    victims: dict[AttemptKey, str] = field(default_factory=dict)

    def add(self, option: Option, demand: Resources) -> None:
        """Take an option for one more task."""
        name = option.worker
        nothing = Resources()
        self.holds[name] = self.holds.get(name, nothing).plus(demand)
        for victim in option.victims:
            self.victims[victim.key] = name
            freed = self.freed.get(name, nothing)
            self.freed[name] = freed.plus(victim.held)


def preempt_for_urgent(state: ShardState, now_ms: int) -> Commands:
    """Stop the cheapest set for each urgent job that fits nowhere."""
    for entry in islice(_blocked_urgent(state), MAX_JOBS):
        plan = _plan(state, entry, now_ms)
        reservation = Reservation(
            entry.spec.job_id,
            now_ms,
            now_ms,
            plan.holds,
            urgent=True,
            hard=True,
        )
        state.reservations.make(ROLE_PREFIX + entry.spec.job_id, reservation)
        for key, worker in plan.victims.items():
            task = state.jobs[key.job_id].tasks[key.task_index]
            task.stopping_ms = now_ms
            task.moved_for = entry.spec.job_id
            yield StopTask(worker, state.term, key, checkpoint=True)


def _blocked_urgent(state: ShardState) -> Iterator[Entry]:
    waiting = state.waiting
    by_role = state.reservations.by_role
    keys = [
        key
        for fit_class in waiting.blocked
        if fit_class.urgent
        for key in waiting.classes.get(fit_class, ())
    ]
    for key in keys:
        for entry in waiting.first_entries(key, MAX_JOBS):
            if ROLE_PREFIX + entry.spec.job_id not in by_role:
                yield entry


def _plan(state: ShardState, entry: Entry, now_ms: int) -> Plan:
    """Plan room for every task, or for none of a gang."""
    plan = Plan()
    demand = entry.key.fit_class.demand
    for _ in entry.indexes[:MAX_TASKS]:
        options = islice(_options(state, demand, plan, now_ms), MAX_OPTIONS)
        best = min(options, default=None)
        if best is None:
            break
        plan.add(best, demand)
    is_whole = len(entry.indexes) == _count(plan, demand)
    if entry.spec.kind is Kind.GANG and not is_whole:
        return Plan()
    return plan


def _count(plan: Plan, demand: Resources) -> int:
    return sum(demand.times_in(held) for held in plan.holds.values())


def _options(
    state: ShardState,
    demand: Resources,
    plan: Plan,
    now_ms: int,
) -> Iterator[Option]:
    for name in state.index.emptiest():
        worker = state.workers[name]
        if not demand.fits_in(worker.spec.capacity):
            continue
        option = _cheapest(state, worker, demand, plan, now_ms)
        if option is not None:
            yield option


def _cheapest(
    state: ShardState,
    worker: WorkerBook,
    demand: Resources,
    plan: Plan,
    now_ms: int,
) -> Option | None:
    """Add victims by cost until the task fits, then drop needless ones."""
    name = worker.spec.name
    held = state.reservations.held(name, '', urgent=True)
    held = held.plus(plan.holds.get(name, Resources()))
    free = worker.free.plus(plan.freed.get(name, Resources())).minus(held)
    free = free.plus(_stopping(state, worker, now_ms))
    chosen: list[Victim] = []
    for victim in sorted(_victims(state, worker, plan, now_ms)):
        if demand.fits_in(free):
            break
        chosen.append(victim)
        free = free.plus(victim.held)
    if not demand.fits_in(free):
        return None
    for victim in tuple(reversed(chosen)):
        if demand.fits_in(free.minus(victim.held)):
            chosen.remove(victim)
            free = free.minus(victim.held)
    cost = sum(victim.cost for victim in chosen)
    return Option(cost, name, tuple(chosen))


def _stopping(
    state: ShardState,
    worker: WorkerBook,
    now_ms: int,
) -> Resources:
    total = Resources()
    for key, held in worker.charges.items():
        job = state.jobs.get(key.job_id)
        if job and is_stopping(job.tasks[key.task_index], now_ms):
            total = total.plus(held)
    return total


def _victims(
    state: ShardState,
    worker: WorkerBook,
    plan: Plan,
    now_ms: int,
) -> Iterator[Victim]:
    for key, held in worker.charges.items():
        job = state.jobs.get(key.job_id)
        if job is None or key in plan.victims:
            continue
        task = job.tasks[key.task_index]
        if can_preempt(state, job, task) and not is_stopping(task, now_ms):
            yield Victim(_cost(job.spec, task, now_ms), key, held)


def is_stopping(task: TaskBook, now_ms: int) -> bool:
    """Tell whether a stop was sent lately."""
    return bool(
        task.stopping_ms and now_ms - task.stopping_ms < REPEAT_STOP_MS,
    )


def can_preempt(state: ShardState, job: JobBook, task: TaskBook) -> bool:
    """Tell whether stopping an attempt loses nothing for good."""
    spec = job.spec
    if spec.urgent or job.cancel_asked or task.ending or not task.recorded:
        return False
    if spec.kind is not Kind.BATCH:
        return False
    if spec.checkpointable:
        return True
    workload = state.policy.workload(spec.workload)
    return spec.idempotent and (workload is None or workload.preemptible)


def _cost(spec: JobSpec, task: TaskBook, now_ms: int) -> int:
    """Return the core time that a stop throws away."""
    elapsed_ms = max(0, now_ms - task.started_ms)
    if spec.checkpointable:
        elapsed_ms = min(elapsed_ms, CHECKPOINT_COST_MS)
    return (elapsed_ms + 1) * spec.cores_milli
