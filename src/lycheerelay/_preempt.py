"""Preempt attempts that can run again to start urgent jobs."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import Final, NamedTuple

from ._handlers import Commands
from ._jobs import AttemptKey, Kind
from ._order_queues import Entry
from ._preempt_victims import (
    Victim,
    capacity_being_freed,
    cheapest_victims,
    stop_victim,
    victims_on,
)
from ._reservation import Reservation
from ._resources import Resources
from ._state import ShardState, WorkerInfo

MAX_COMPARED_WORKERS: Final = 16
MAX_TASKS_PER_JOB: Final = 32
MAX_JOBS_PER_CYCLE: Final = 16
ROLE_PREFIX: Final = 'urgent '


class Option(NamedTuple):
    """Describe the victims on one worker and the cost of stopping them.

    The cost is lost core time, in ms times thousandths of a core.
    """

    cost: int
    worker: str
    victims: tuple[Victim, ...]


@dataclass(slots=True)
class Plan:
    """Collect the stops and the reserved capacity for one urgent job."""

    holds: dict[str, Resources] = field(default_factory=dict)
    freed: dict[str, Resources] = field(default_factory=dict)
    victims: dict[AttemptKey, None] = field(default_factory=dict)

    def add(self, option: Option, demand: Resources) -> None:
        """Use an option for one more task."""
        name = option.worker
        empty = Resources()
        self.holds[name] = self.holds.get(name, empty).plus(demand)
        for victim in option.victims:
            self.victims[victim.key] = None
            freed = self.freed.get(name, empty)
            self.freed[name] = freed.plus(victim.held)


def preempt_for_urgent(state: ShardState, now_ms: int) -> Commands:
    """Stop the cheapest victims for each urgent job that fits nowhere."""
    for entry in islice(_blocked_urgent(state), MAX_JOBS_PER_CYCLE):
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
        for key in plan.victims:
            yield stop_victim(state, key, entry.spec.job_id, now_ms)


def _blocked_urgent(state: ShardState) -> Iterator[Entry]:
    waiting = state.waiting
    by_role = state.reservations.by_role
    keys = [
        key
        for fit_class in waiting.blocked.urgent
        for key in waiting.classes.get(fit_class, ())
    ]
    for key in keys:
        for entry in waiting.first_entries(key, MAX_JOBS_PER_CYCLE):
            if ROLE_PREFIX + entry.spec.job_id not in by_role:
                yield entry


def _plan(state: ShardState, entry: Entry, now_ms: int) -> Plan:
    """Plan capacity for each task; for a gang, for all tasks or none."""
    plan = Plan()
    demand = entry.key.fit_class.demand
    for _ in entry.indexes[:MAX_TASKS_PER_JOB]:
        options = islice(
            _options(state, demand, plan, now_ms), MAX_COMPARED_WORKERS
        )
        best = min(options, default=None)
        if best is None:
            break
        plan.add(best, demand)
    is_complete = len(entry.indexes) == _planned_tasks(plan, demand)
    if entry.spec.kind is Kind.GANG and not is_complete:
        return Plan()
    return plan


def _planned_tasks(plan: Plan, demand: Resources) -> int:
    return sum(demand.times_in(held) for held in plan.holds.values())


def _options(
    state: ShardState,
    demand: Resources,
    plan: Plan,
    now_ms: int,
) -> Iterator[Option]:
    for name in state.index.most_free_first():
        worker = state.workers.get(name)
        if worker is None or not demand.fits_in(worker.spec.capacity):
            continue
        option = _cheapest_option(state, worker, demand, plan, now_ms)
        if option is not None:
            yield option


def _cheapest_option(
    state: ShardState,
    worker: WorkerInfo,
    demand: Resources,
    plan: Plan,
    now_ms: int,
) -> Option | None:
    """Return the cheapest victims on one worker, or None if too few exist."""
    name = worker.spec.name
    held = state.reservations.held(name, '', urgent=True)
    held = held.plus(plan.holds.get(name, Resources()))
    free = worker.free.plus(plan.freed.get(name, Resources())).minus(held)
    free = free.plus(capacity_being_freed(state, worker, now_ms))
    victims = (
        victim
        for victim in victims_on(state, worker, now_ms)
        if victim.key not in plan.victims
    )
    chosen = cheapest_victims(victims, demand, free)
    if chosen is None:
        return None
    cost = sum(victim.cost for victim in chosen)
    return Option(cost, name, tuple(chosen))
