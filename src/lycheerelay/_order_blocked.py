"""Skip the classes that fit nowhere until a worker gains room."""

from dataclasses import dataclass
from typing import Protocol

from ._order_queues import FitClass, TeamQueues
from ._resources import Resources


class HasCapacity(Protocol):
    """Tell which classes may use a worker's free room."""

    @property
    def free(self) -> Resources:
        """Return what nothing is booked on."""

    def admits(self, fit_class: FitClass) -> bool:
        """Tell whether a class that fits the free room may use it."""


@dataclass(slots=True)
class Blocked:
    """Remember when a class was last tried in vain."""

    tried: int
    missing: int = 1
    gained: int = 0


class BlockedClasses:
    """Track classes that were tried everywhere, and the room since then."""

    def __init__(self) -> None:
        """Skip nothing."""
        self.classes: dict[FitClass, Blocked] = {}
        self.untried: dict[FitClass, None] = {}
        self.capacities: dict[Resources, dict[str, HasCapacity]] = {}
        self.offers: dict[Resources, int] = {}
        self.demands: dict[Resources, int] = {}
        self.gangs: dict[FitClass, Blocked] = {}
        self.urgent: dict[FitClass, None] = {}
        self.scarce: dict[FitClass, None] = {}
        self.serial = 0

    def open(self, fit_class: FitClass) -> None:
        """Let a class look at every worker."""
        self.remove(fit_class)
        self.untried[fit_class] = None

    def block(self, fit_class: FitClass, missing: int) -> None:
        """Skip a class; what was offered before counts no more."""
        if fit_class not in self.classes:
            demand = fit_class.demand
            self.demands[demand] = self.demands.get(demand, 0) + 1
        self.untried.pop(fit_class, None)
        blocked = Blocked(self.serial, missing)
        self.classes[fit_class] = blocked
        if fit_class.width > 1:
            self.gangs[fit_class] = blocked
        if fit_class.urgent:
            self.urgent[fit_class] = None
        if fit_class.demand.accelerators:
            self.scarce[fit_class] = None

    def remove(self, fit_class: FitClass) -> None:
        """Forget a class."""
        self.untried.pop(fit_class, None)
        if self.classes.pop(fit_class, None) is None:
            return
        self.gangs.pop(fit_class, None)
        self.urgent.pop(fit_class, None)
        self.scarce.pop(fit_class, None)
        demand = fit_class.demand
        self.demands[demand] -= 1
        if not self.demands[demand]:
            self.demands.pop(demand)
            self.capacities.pop(demand, None)
            self.offers.pop(demand, None)

    def offer(self, worker: str, capacity: HasCapacity) -> None:
        """Note a worker with new room for the demands that fit it."""
        self.serial += 1
        for demand in self.demands:
            if demand.fits_in(capacity.free):
                self.capacities.setdefault(demand, {})[worker] = capacity
                self.offers[demand] = self.serial
        for fit_class, blocked in self.gangs.items():
            blocked.gained += fit_class.demand.times_in(capacity.free)

    def use(self, worker: str, free: Resources) -> None:
        """Withdraw offers that no longer hold after a placement."""
        for demand in tuple(self.capacities):
            if demand.fits_in(free):
                continue
            capacities = self.capacities[demand]
            capacities.pop(worker, None)
            if not capacities:
                self.capacities.pop(demand)

    def finish(self) -> None:
        """Drop the offers once every class that they open was tried."""
        self.capacities.clear()

    def is_open(self, fit_class: FitClass) -> bool:
        """Tell whether a class may fit somewhere."""
        blocked = self.classes.get(fit_class)
        if blocked is None:
            return True
        if fit_class.width > 1:
            return blocked.gained >= blocked.missing
        demand = fit_class.demand
        if self.offers.get(demand, 0) <= blocked.tried:
            return False
        capacities = self.capacities.get(demand, {})
        return any(
            capacity.admits(fit_class) for capacity in capacities.values()
        )

    def is_hopeless(self, fit_class: FitClass) -> bool:
        """Tell whether a blocked class that asks for less implies this one."""
        if fit_class in self.classes or fit_class.width > 1:
            return False
        return any(
            _implies(other, fit_class) and not self.is_open(other)
            for other in self.classes
        )

    def may_open(self, queues: TeamQueues) -> bool:
        """Tell cheaply whether a team could have an open queue."""
        if self.capacities and not self.capacities.keys().isdisjoint(
            queues.demands
        ):
            return True
        return not self.untried.keys().isdisjoint(queues.keys)

    def candidates(self, fit_class: FitClass) -> tuple[str, ...] | None:
        """Name the workers to look at; None stands for all of them."""
        if fit_class.width > 1 or fit_class not in self.classes:
            return None
        return tuple(self.capacities.get(fit_class.demand, ()))


def _implies(less: FitClass, more: FitClass) -> bool:
    """Tell whether what keeps one class out keeps the other out too."""
    return (
        less.width == 1
        and less.run_bits <= more.run_bits
        and less.urgent == more.urgent
        and less.movable == more.movable
        and bool(less.demand.accelerators) == bool(more.demand.accelerators)
        and less.demand.fits_in(more.demand)
    )
