"""Track one scheduling cycle over the waiting steps of a pool."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from .._resources import Resources
from ._fit import (
    Reserved,
    ReservedCapacity,
    candidates,
    is_in_service,
    is_last_resort,
)
from ._last_resort import BarredWorkers, has_waited_beside_free
from ._openings import Opening, reservations_for
from ._quota import QuotaCycle
from ._spec import StepKey, WorkerKey
from ._state import CellState, StepInfo, TaskInfo, WorkerInfo
from ._unknown_runs import may_hold_unknown_runs

# Part of a pool that is held at the same time, and for steps that last, as callers
# of their services are waiting.
MAX_HELD_SHARE: Final = 0.2
MAX_HELD_SHARE_LASTING: Final = 0.5
# Gangs that are planned in one cycle. The others follow in the next cycles, so
# that a backlog of gangs does not delay short steps.
MAX_PLANS_PER_CYCLE: Final = 3
# Tasks that are started in one cycle, exceeded by a gang or a trial only. A step of
# thousands of tasks would hold up the renewal of the ownership otherwise.
MAX_STARTS_PER_CYCLE: Final = 512


@dataclass(slots=True)
class PoolCycle:
    """Track one scheduling cycle over the waiting steps of a pool.

    `usable` holds the workers that accept new runs, `barred` those that accept them
    as a last resort. `max_free` holds the largest free amount of each resource among
    them; the amounts may belong to different workers. `position` counts the steps
    handled before the current one, without those that their quotas hold back. `wanted`
    holds the workers with reservations in the previous cycle. Steps that come first in
    the order use them only as a last resort, as every cycle reserves again in order.
    `held` has the workers that only one step may use, `quotas` the state of the tenants in this cycle.
    `group_size` is the number of suspected jobs that share a trial, once chosen.
    `starts_left` is the number of tasks that may still be started.
    """

    usable: dict[WorkerKey, WorkerInfo]
    barred: BarredWorkers
    max_free: Resources
    quotas: QuotaCycle
    wanted: frozenset[WorkerKey] = frozenset()
    position: int = 0
    reserving_steps: int = 0
    plans_left: int = MAX_PLANS_PER_CYCLE
    reserved: dict[WorkerInfo, list[ReservedCapacity]] = field(
        default_factory=dict
    )
    held: dict[StepKey, list[WorkerInfo]] = field(default_factory=dict)
    last_reserved: StepInfo | None = None
    group_size: int = 0
    starts_left: int = MAX_STARTS_PER_CYCLE

    def reserve(self, step: StepInfo, openings: Iterable[Opening]) -> None:
        """Reserve the openings for a step until the cycle ends."""
        self.last_reserved = step
        for worker, reservation in reservations_for(step, openings):
            self.reserved.setdefault(worker, []).append(reservation)

    def hold(
        self, step: StepInfo, workers: Iterable[WorkerInfo], until_ms: int
    ) -> None:
        """Let only this step use some workers."""
        held = self.held.setdefault(step.key, [])
        for worker in workers:
            worker.held_for = step.key
            worker.held_until_ms = until_ms
            self.usable.pop(worker.key, None)
            self.barred.workers.pop(worker.key, None)
            if worker not in held:
                held.append(worker)

    def usable_for(self, step: StepInfo) -> dict[WorkerKey, WorkerInfo]:
        """Return the workers that a step may use if it meets their limits."""
        if self.barred.may_use(step, self.usable):
            return self.usable | self.barred.workers
        return self.usable

    def reserved_for(self, step: StepInfo) -> Reserved:
        """Return the reservations of others that a step has to respect."""
        barred = self.barred
        has_waited = has_waited_beside_free(step, barred.now_ms)
        if has_waited and not barred.is_pool_busy:
            return {}
        return self.reserved

    def may_hold(self, step: StepInfo, added: int) -> bool:
        """Return whether a step may hold that many workers more.

        The steps that hold workers share a part of the pool; one of them may
        always hold what it needs.
        """
        is_first = not self.held.keys() - {step.key}
        return is_first or added <= self.count_holdable(step)

    def count_holdable(self, step: StepInfo) -> int:
        """Return how many workers more may be held if one is held for the step."""
        share = MAX_HELD_SHARE_LASTING if step.spec.lasts else MAX_HELD_SHARE
        held = sum(map(len, self.held.values()))
        limit = int(share * (len(self.usable) + held))
        return max(limit - held, int(not held))


def begin_cycle(
    cell: CellState, pool: str, quotas: QuotaCycle, now_ms: int
) -> PoolCycle:
    """Start a cycle with the workers of a pool that accept new runs."""
    accepting = {
        worker.key: worker
        for worker in cell.workers.values()
        if worker.pool == pool and is_last_resort(worker, now_ms)
    }
    barred = BarredWorkers(accepting, now_ms)
    usable = {
        key: worker
        for key, worker in accepting.items()
        if key not in barred.workers
    }
    free = [worker.free for worker in accepting.values()]
    max_free = Resources(*(max(amounts) for amounts in zip(*free, strict=True)))
    wanted: frozenset[WorkerKey] = frozenset()
    if cell.policies.spare_reserved:
        wanted = cell.wanted_workers.get(pool, wanted)
    return PoolCycle(
        usable,
        barred,
        max_free,
        quotas,
        wanted,
        held=_held_workers(cell, pool, now_ms),
    )


def _held_workers(
    cell: CellState, pool: str, now_ms: int
) -> dict[StepKey, list[WorkerInfo]]:
    held: dict[StepKey, list[WorkerInfo]] = {}
    for worker in cell.workers.values():
        step_key = worker.held_for
        is_held = worker.pool == pool and worker.held_until_ms > now_ms
        if step_key and is_held and is_in_service(worker, now_ms):
            held.setdefault(step_key, []).append(worker)
    return held


def startable_tasks(
    cell: CellState, step: StepInfo, now_ms: int
) -> list[TaskInfo]:
    """Return the waiting tasks that may be started now."""
    return list(iter_startable(cell, step, now_ms))


def iter_startable(
    cell: CellState, step: StepInfo, now_ms: int
) -> Iterator[TaskInfo]:
    """Iterate over the waiting tasks that may be started now."""
    return (
        step.tasks[index]
        for index in step.waiting
        if step.tasks[index].not_before_ms <= now_ms
        and not _may_still_run(cell, step.tasks[index], now_ms)
    )


def step_candidates(step: StepInfo, cycle: PoolCycle) -> list[WorkerInfo]:
    """Return the workers that the step may use and that may run it."""
    usable = cycle.usable_for(step)
    if step.key in cycle.held:
        own = {worker.key: worker for worker in cycle.held[step.key]}
        usable = {**usable, **own}
    if step.job.spec.advice is None:
        return candidates(usable.values(), step)
    # The advisor is asked only about workers that meet the requirements.
    return [usable[key] for key in step.eligible_workers if key in usable]


def _may_still_run(cell: CellState, task: TaskInfo, now_ms: int) -> bool:
    """Return whether an unsynced worker may still run the task."""
    worker_id = task.assigned_worker
    return worker_id in cell.unsynced_workers and (
        now_ms < cell.previous_orders_expire_ms
        or may_hold_unknown_runs(cell, worker_id)
    )
