"""Skip fit classes that fit on no worker until one gains free capacity."""

from dataclasses import dataclass
from typing import Protocol

from ._order_queues import FitClass, TeamQueues
from ._resources import Resources


class HasCapacity(Protocol):
    """Provide the free capacity of a worker and the classes that may use it."""

    @property
    def free(self) -> Resources:
        """Return the unallocated resources."""

    def admits(self, fit_class: FitClass) -> bool:
        """Return whether a class that fits the free capacity may use it."""


@dataclass(slots=True)
class BlockedClass:
    """Track a class that fitted on no worker and the capacity offered since.

    `missing` and `gained` count tasks that did not fit and may fit since.
    """

    tried_serial: int
    missing: int = 1
    gained: int = 0


class BlockedClasses:
    """Track classes that fit on no worker, and the capacity freed since."""

    def __init__(self) -> None:
        """Block no class."""
        self.classes: dict[FitClass, BlockedClass] = {}
        self.untried: dict[FitClass, None] = {}
        self.capacities: dict[Resources, dict[str, HasCapacity]] = {}
        self.offers: dict[Resources, int] = {}
        self.demands: dict[Resources, int] = {}
        self.gangs: dict[FitClass, BlockedClass] = {}
        self.urgent: dict[FitClass, None] = {}
        self.with_accelerators: dict[FitClass, None] = {}
        self.serial = 0

    def unblock(self, fit_class: FitClass) -> None:
        """Let a class try every worker."""
        self.remove(fit_class)
        self.untried[fit_class] = None

    def block(self, fit_class: FitClass, missing: int) -> None:
        """Skip a class and disregard the capacity offered so far."""
        if fit_class not in self.classes:
            demand = fit_class.demand
            self.demands[demand] = self.demands.get(demand, 0) + 1
        self.untried.pop(fit_class, None)
        blocked = BlockedClass(self.serial, missing)
        self.classes[fit_class] = blocked
        if fit_class.width > 1:
            self.gangs[fit_class] = blocked
        if fit_class.urgent:
            self.urgent[fit_class] = None
        if fit_class.demand.accelerators:
            self.with_accelerators[fit_class] = None

    def remove(self, fit_class: FitClass) -> None:
        """Stop tracking a class."""
        self.untried.pop(fit_class, None)
        if self.classes.pop(fit_class, None) is None:
            return
        self.gangs.pop(fit_class, None)
        self.urgent.pop(fit_class, None)
        self.with_accelerators.pop(fit_class, None)
        demand = fit_class.demand
        self.demands[demand] -= 1
        if not self.demands[demand]:
            self.demands.pop(demand)
            self.capacities.pop(demand, None)
            self.offers.pop(demand, None)

    def offer(self, worker: str, capacity: HasCapacity) -> None:
        """Offer a worker's new free capacity to the demands that fit it."""
        self.serial += 1
        for demand in self.demands:
            if demand.fits_in(capacity.free):
                self.capacities.setdefault(demand, {})[worker] = capacity
                self.offers[demand] = self.serial
        for fit_class, blocked in self.gangs.items():
            blocked.gained += fit_class.demand.times_in(capacity.free)

    def use(self, worker: str, free: Resources) -> None:
        """Withdraw the offers that a placement on a worker invalidates."""
        for demand in tuple(self.capacities):
            if demand.fits_in(free):
                continue
            capacities = self.capacities[demand]
            capacities.pop(worker, None)
            if not capacities:
                self.capacities.pop(demand)

    def finish(self) -> None:
        """Drop all offers once every class that they unblock was tried."""
        self.capacities.clear()

    def is_open(self, fit_class: FitClass) -> bool:
        """Return whether a class may fit on some worker."""
        blocked = self.classes.get(fit_class)
        if blocked is None:
            return True
        if fit_class.width > 1:
            return blocked.gained >= blocked.missing
        demand = fit_class.demand
        if self.offers.get(demand, 0) <= blocked.tried_serial:
            return False
        capacities = self.capacities.get(demand, {})
        return any(
            capacity.admits(fit_class) for capacity in capacities.values()
        )

    def is_blocked_by_smaller(self, fit_class: FitClass) -> bool:
        """Return whether a blocked class with a smaller demand blocks this one.

        Saves a search over all workers whose result is known.
        """
        if fit_class in self.classes or fit_class.width > 1:
            return False
        return any(
            _implies(other, fit_class) and not self.is_open(other)
            for other in self.classes
        )

    def may_have_open_queue(self, queues: TeamQueues) -> bool:
        """Check cheaply whether any queue of a team could be open."""
        if self.capacities and not self.capacities.keys().isdisjoint(
            queues.demands
        ):
            return True
        return not self.untried.keys().isdisjoint(queues.keys)

    def candidates(self, fit_class: FitClass) -> tuple[str, ...] | None:
        """Return the workers to try, or None for all of them."""
        if fit_class.width > 1 or fit_class not in self.classes:
            return None
        return tuple(self.capacities.get(fit_class.demand, ()))


def _implies(less: FitClass, more: FitClass) -> bool:
    """Return whether `more` fits nowhere if `less` fits nowhere."""
    return (
        less.width == 1
        and less.run_bits <= more.run_bits
        and less.urgent == more.urgent
        and less.movable == more.movable
        and bool(less.demand.accelerators) == bool(more.demand.accelerators)
        and less.demand.fits_in(more.demand)
    )
