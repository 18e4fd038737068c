"""Tell what part of a worker's free room a class may use."""

from typing import NamedTuple

from ._order_queues import FitClass
from ._resources import Resources
from ._state import ShardState, WorkerInfo


class FitCapacity(NamedTuple):
    """Describe the room on one worker.

    `shared` is free and reserved for nobody; `plain` is the part of it that
    work without accelerators may use. Reserved room is open to work that
    is over within `backfill_ms`, to work that may be moved, and to the
    classes that it is reserved for.
    """

    free: Resources
    shared: Resources
    plain: Resources
    backfill_ms: int = 0
    holders: tuple[FitClass, ...] = ()
    is_clearing: bool = False

    def admits(self, fit_class: FitClass) -> bool:
        """Tell whether a class that fits the free room may use it."""
        demand = fit_class.demand
        usable = self.shared if demand.accelerators else self.plain
        return (
            demand.fits_in(usable)
            or fit_class.urgent
            or fit_class in self.holders
            or fit_class.run_ms <= self.backfill_ms
            or (fit_class.movable and not self.is_clearing)
        )


def capacity_without_accelerators(
    state: ShardState,
    worker: WorkerInfo,
    free: Resources,
) -> Resources:
    """Return the room that work without accelerators may use.

    Idle accelerators keep the mean need of the work that uses them. While
    such work waits, used ones keep theirs too, so that what follows fits.
    """
    capacity = worker.spec.capacity
    if not capacity.accelerators:
        return free
    if state.synced_ms < state.scarce_until_ms:
        kept = state.ledger.need_for(capacity.accelerators)
        bound = capacity.minus(kept).minus(worker.plain)
        return Resources(*map(min, free, bound))
    return free.minus(state.ledger.need_for(free.accelerators))


def capacity_of(
    state: ShardState, worker: WorkerInfo, now_ms: int
) -> FitCapacity:
    """Return a worker's room with reservations taken off."""
    name = worker.spec.name
    free = worker.free
    reservations = state.reservations.by_worker.get(name)
    if not reservations:
        return FitCapacity(
            free, free, capacity_without_accelerators(state, worker, free)
        )
    held = state.reservations.held(name, '', urgent=False)
    entries = state.waiting.entries
    holders = tuple(
        entries[reservation.job_id].key.fit_class
        for reservation in reservations.values()
        if reservation.job_id in entries
    )
    backfill_ms = min(
        0 if reservation.hard else reservation.at_ms - now_ms
        for reservation in reservations.values()
    )
    shared = free.minus(held)
    is_clearing = any(
        reservation.is_clearing(now_ms) for reservation in reservations.values()
    )
    plain = capacity_without_accelerators(state, worker, shared)
    return FitCapacity(free, shared, plain, backfill_ms, holders, is_clearing)
