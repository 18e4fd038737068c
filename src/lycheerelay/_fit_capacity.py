"""Compute which part of a worker's free capacity a fit class may use."""

from typing import NamedTuple

from ._order_queues import FitClass
from ._resources import Resources
from ._state import ShardState, WorkerInfo


class FitCapacity(NamedTuple):
    """Describe the free capacity of one worker.

    `unreserved` is free and reserved for no job; `unreserved_plain` is the
    part of it that jobs without accelerators may use. Reserved capacity is
    open to jobs that end within `backfill_ms`, to movable jobs while no
    preemption runs, and to the classes that it is reserved for.
    """

    free: Resources
    unreserved: Resources
    unreserved_plain: Resources
    backfill_ms: int = 0
    reserved_for: tuple[FitClass, ...] = ()
    is_preempting: bool = False

    def admits(self, fit_class: FitClass) -> bool:
        """Return whether a class that fits the free capacity may use it."""
        demand = fit_class.demand
        usable = (
            self.unreserved if demand.accelerators else self.unreserved_plain
        )
        return (
            demand.fits_in(usable)
            or fit_class.urgent
            or fit_class in self.reserved_for
            or fit_class.run_ms <= self.backfill_ms
            or (fit_class.movable and not self.is_preempting)
        )


def capacity_without_accelerators(
    state: ShardState,
    worker: WorkerInfo,
    free: Resources,
) -> Resources:
    """Return the capacity that jobs without accelerators may use.

    The mean demand of the jobs that use accelerators is set aside for each
    idle accelerator. While such jobs wait, it is set aside for the used ones
    too, so that the next job fits when one ends.
    """
    capacity = worker.spec.capacity
    if not capacity.accelerators:
        return free
    if state.synced_ms < state.scarce_until_ms:
        set_aside = state.ledger.need_for(capacity.accelerators)
        limit = capacity.minus(set_aside).minus(worker.plain)
        return Resources(*map(min, free, limit))
    return free.minus(state.ledger.need_for(free.accelerators))


def capacity_of(
    state: ShardState, worker: WorkerInfo, now_ms: int
) -> FitCapacity:
    """Return a worker's free capacity, with and without reservations."""
    name = worker.spec.name
    free = worker.free
    reservations = state.reservations.by_worker.get(name)
    if not reservations:
        return FitCapacity(
            free, free, capacity_without_accelerators(state, worker, free)
        )
    held = state.reservations.held(name, '', urgent=False)
    entries = state.waiting.entries
    reserved_for = tuple(
        entries[reservation.job_id].key.fit_class
        for reservation in reservations.values()
        if reservation.job_id in entries
    )
    backfill_ms = min(
        0 if reservation.hard else reservation.at_ms - now_ms
        for reservation in reservations.values()
    )
    unreserved = free.minus(held)
    is_preempting = any(
        reservation.is_preempting(now_ms)
        for reservation in reservations.values()
    )
    plain = capacity_without_accelerators(state, worker, unreserved)
    return FitCapacity(
        free, unreserved, plain, backfill_ms, reserved_for, is_preempting
    )
