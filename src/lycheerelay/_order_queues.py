"""Define the queues of waiting jobs and their keys."""

from dataclasses import dataclass, field
from heapq import heapify
from typing import Final, NamedTuple

from ._jobs import JobSpec
from ._resources import Resources

URGENT: Final = 0
NORMAL: Final = 1

# Due time in ms, acceptance time in ms, serial number, job id.
Rank = tuple[int, int, int, str]


class FitClass(NamedTuple):
    """Identify jobs that fit on the same workers.

    `run_bits` is the bit length of the longest expected run time in ms.
    """

    demand: Resources
    run_bits: int
    width: int
    urgent: bool
    movable: bool = False

    @property
    def run_ms(self) -> int:
        """Return an upper bound of the expected run times of the class."""
        return 1 << self.run_bits


class QueueKey(NamedTuple):
    """Identify the waiting jobs of one team, band and fit class."""

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
    """Order the jobs of one queue; ranks of removed jobs are skipped later."""

    heap: list[Rank] = field(default_factory=list)
    stale: int = 0


@dataclass(slots=True)
class TeamQueues:
    """Hold the queues of one team in one band, and their demands."""

    keys: dict[FitClass, QueueKey] = field(default_factory=dict)
    demands: dict[Resources, int] = field(default_factory=dict)

    def add(self, key: QueueKey) -> None:
        """Add a queue."""
        demand = key.fit_class.demand
        self.keys[key.fit_class] = key
        self.demands[demand] = self.demands.get(demand, 0) + 1

    def remove(self, key: QueueKey) -> None:
        """Remove a queue."""
        demand = key.fit_class.demand
        self.keys.pop(key.fit_class)
        self.demands[demand] -= 1
        if not self.demands[demand]:
            self.demands.pop(demand)


def rebuild(queue: ClassQueue, ranks: list[Rank]) -> None:
    """Replace the ranks of a queue by those that are still valid."""
    queue.heap = ranks
    heapify(queue.heap)
    queue.stale = 0
