"""Track one scheduling cycle over the waiting steps of a pool."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from .._resources import Resources
from ._fit import ReservedCapacity, candidates, is_in_service, is_usable
from ._openings import Opening, reservations_for
from ._spec import WorkerKey
from ._state import CellState, StepInfo, TaskInfo, WorkerInfo

# Gangs that are planned in one cycle. The others follow in the next cycles, so
# that a backlog of gangs does not delay short steps.
MAX_PLANS_PER_CYCLE: Final = 3


@dataclass(slots=True)
class PoolCycle:
    """Track one scheduling cycle over the waiting steps of a pool.

    `usable` holds the workers that accept new runs. `max_free` holds the
    largest free amount of each resource among them; the amounts may belong to
    different workers. `position` counts the steps handled before the
    current one. `wanted` holds the workers with reservations in the previous
    cycle. Steps that come first in the order use them only as a last resort,
    as every cycle reserves again in order. `held` counts the workers that are
    held for a trial.
    """

    usable: dict[WorkerKey, WorkerInfo]
    max_free: Resources
    wanted: frozenset[WorkerKey] = frozenset()
    position: int = 0
    reserving_steps: int = 0
    held: int = 0
    plans_left: int = MAX_PLANS_PER_CYCLE
    reserved: dict[WorkerInfo, list[ReservedCapacity]] = field(
        default_factory=dict
    )

    def reserve(self, step: StepInfo, openings: Iterable[Opening]) -> None:
        """Reserve the openings for a step until the cycle ends."""
        for worker, reservation in reservations_for(step, openings):
            self.reserved.setdefault(worker, []).append(reservation)


def begin_cycle(cell: CellState, pool: str, now_ms: int) -> PoolCycle:
    """Start a cycle with the workers of a pool that accept new runs."""
    usable = {
        worker.key: worker
        for worker in cell.workers.values()
        if worker.pool == pool and is_usable(worker, now_ms)
    }
    free = [worker.free for worker in usable.values()]
    max_free = Resources(*(max(amounts) for amounts in zip(*free, strict=True)))
    wanted: frozenset[WorkerKey] = frozenset()
    if cell.policies.spare_reserved:
        wanted = cell.wanted_workers.get(pool, wanted)
    held = sum(
        worker.pool == pool
        and worker.held_until_ms > now_ms
        and is_in_service(worker, now_ms)
        for worker in cell.workers.values()
    )
    return PoolCycle(usable, max_free, wanted, held=held)


def startable_tasks(
    cell: CellState, step: StepInfo, now_ms: int
) -> list[TaskInfo]:
    """Return the waiting tasks that may be started now."""
    return [
        step.tasks[index]
        for index in step.waiting
        if step.tasks[index].not_before_ms <= now_ms
        and not _may_still_run(cell, step.tasks[index], now_ms)
    ]


def step_candidates(step: StepInfo, cycle: PoolCycle) -> list[WorkerInfo]:
    """Return the usable workers that may run the step."""
    if step.job.spec.advice is None:
        return candidates(cycle.usable.values(), step)
    # The advisor is asked only about workers that meet the requirements.
    usable = cycle.usable
    return [usable[key] for key in step.eligible_workers if key in usable]


def _may_still_run(cell: CellState, task: TaskInfo, now_ms: int) -> bool:
    """Return whether an unsynced worker may still run the task."""
    return (
        task.assigned_worker in cell.unsynced_workers
        and now_ms < cell.previous_orders_expire_ms
    )
