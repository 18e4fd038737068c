"""Describe the queues that waiting jobs stand in."""

from dataclasses import dataclass, field
from heapq import heapify
from typing import Final, NamedTuple

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


class QueueKey(NamedTuple):
    """Name the jobs of one team that wait for the same thing."""

    band: int
    team: str
    fit_class: FitClass


@dataclass(slots=True)
class Entry:
    """Track the queued tasks of one waiting job."""

    spec: JobSpec
    key: QueueKey
    rank: Rank
    indexes: list[int]
    enqueued_ms: int
    missing: int = 1
    placed: dict[int, str] = field(default_factory=dict)


@dataclass(slots=True)
class ClassQueue:
    """Order the jobs of one queue; dropped ones are skipped later."""

    heap: list[Rank] = field(default_factory=list)
    dead: int = 0


@dataclass(slots=True)
class TeamQueues:
    """Hold the queues of one team in one band, and what they ask for."""

    keys: dict[FitClass, QueueKey] = field(default_factory=dict)
    demands: dict[Resources, int] = field(default_factory=dict)

    def add(self, key: QueueKey) -> None:
        """Note a queue."""
        demand = key.fit_class.demand
        self.keys[key.fit_class] = key
        self.demands[demand] = self.demands.get(demand, 0) + 1

    def remove(self, key: QueueKey) -> None:
        """Drop a queue."""
        demand = key.fit_class.demand
        self.keys.pop(key.fit_class)
        self.demands[demand] -= 1
        if not self.demands[demand]:
            self.demands.pop(demand)


def rebuild(queue: ClassQueue, live: list[Rank]) -> None:
    """Keep only the live jobs of a queue."""
    queue.heap = live
    heapify(queue.heap)
    queue.dead = 0
