"""Describe the lanes that waiting jobs stand in."""

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import Final, NamedTuple, Protocol

from ._jobs import JobSpec
from ._resources import Resources

URGENT: Final = 0
NORMAL: Final = 1

Rank = tuple[int, int, int, str]


class FitClass(NamedTuple):
    """Name the jobs that fit, or do not fit, the same workers."""

    demand: Resources
    run_bits: int
    width: int
    urgent: bool
    movable: bool = False

    @property
    def run_ms(self) -> int:
        """Return the longest expected run time of the class."""
        return 1 << self.run_bits


class LaneKey(NamedTuple):
    """Name the jobs of one team that wait for the same thing."""

    band: int
    team: str
    fit_class: FitClass


class HasRoom(Protocol):
    """Tell which classes may use a worker's free room."""

    @property
    def free(self) -> Resources:
        """Return what nothing is booked on."""

    def admits(self, fit_class: FitClass) -> bool:
        """Tell whether a class that fits the free room may use it."""


@dataclass(slots=True)
class Entry:
    """Track the queued tasks of one waiting job."""

    spec: JobSpec
    key: LaneKey
    rank: Rank
    indexes: list[int]
    enqueued_ms: int
    missing: int = 1


@dataclass(slots=True)
class Lane:
    """Order the jobs of one lane; dropped ones are skipped later.

    `front` is the rank under which the team's heap shows the lane.
    """

    heap: list[Rank] = field(default_factory=list)
    dead: int = 0
    front: Rank | None = None


class TeamFronts:
    """Find the first open lane of each team in one band."""

    def __init__(self) -> None:
        """Show nothing."""
        self.heaps: dict[str, list[tuple[Rank, LaneKey]]] = {}

    def show(self, key: LaneKey, lane: Lane, rank: Rank) -> None:
        """Show a lane under the rank of its first job."""
        lane.front = rank
        heappush(self.heaps.setdefault(key.team, []), (rank, key))

    def hide_first(self, team: str) -> None:
        """Take away what is shown first."""
        heap = self.heaps[team]
        heappop(heap)
        if not heap:
            self.heaps.pop(team)

    def first(self, team: str) -> tuple[Rank, LaneKey] | None:
        """Return what is shown first, if anything."""
        heap = self.heaps.get(team)
        return heap[0] if heap else None


@dataclass(slots=True)
class Blocked:
    """Remember that a class fits nowhere but, perhaps, on new room."""

    missing: int = 1
    gained: int = 0
    candidates: dict[str, None] = field(default_factory=dict)

    @property
    def is_open(self) -> bool:
        """Tell whether enough room was gained to try again."""
        return self.gained >= self.missing

    def gain(self, worker: str, count: int) -> bool:
        """Count room on a worker; tell whether that opens the class."""
        was_open = self.is_open
        self.gained += count
        self.candidates[worker] = None
        return self.is_open and not was_open


class BlockedClasses:
    """Track the classes that are skipped until a worker gains room."""

    def __init__(self) -> None:
        """Skip nothing."""
        self.classes: dict[FitClass, Blocked] = {}
        self.by_demand: dict[Resources, dict[FitClass, Blocked]] = {}
        self.urgent: dict[FitClass, None] = {}
        self.scarce: dict[FitClass, None] = {}

    def add(self, fit_class: FitClass, missing: int) -> None:
        """Skip a class; what it gained before counts no more."""
        blocked = Blocked(missing)
        self.classes[fit_class] = blocked
        self.by_demand.setdefault(fit_class.demand, {})[fit_class] = blocked
        if fit_class.urgent:
            self.urgent[fit_class] = None
        if fit_class.demand.accelerators:
            self.scarce[fit_class] = None

    def remove(self, fit_class: FitClass) -> bool:
        """Skip a class no more; tell whether it was skipped."""
        if self.classes.pop(fit_class, None) is None:
            return False
        self.urgent.pop(fit_class, None)
        self.scarce.pop(fit_class, None)
        classes = self.by_demand[fit_class.demand]
        classes.pop(fit_class)
        if not classes:
            self.by_demand.pop(fit_class.demand)
        return True

    def is_open(self, fit_class: FitClass) -> bool:
        """Tell whether a class may fit somewhere."""
        blocked = self.classes.get(fit_class)
        return blocked is None or blocked.is_open

    def offer(self, worker: str, room: HasRoom) -> list[FitClass]:
        """Count a worker's new room; return the classes that it opens."""
        fitting = [
            entry
            for demand, classes in self.by_demand.items()
            if demand.fits_in(room.free)
            for entry in classes.items()
        ]
        opened = []
        for fit_class, blocked in fitting:
            if not room.admits(fit_class):
                continue
            if blocked.gain(worker, fit_class.demand.times_in(room.free)):
                opened.append(fit_class)
        return opened


def rebuild(lane: Lane, live: list[Rank]) -> None:
    """Keep only the live jobs of a lane."""
    lane.heap = live
    heapify(lane.heap)
    lane.dead = 0
