"""Find workers by free capacity without looking at all of them."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import Final, NamedTuple, final

from ._resources import Resources

FULL: Final = -1


class Bucket(NamedTuple):
    """Name workers with the same free accelerators and whole free cores."""

    has_accelerators: bool
    accelerators: int
    cores: int


@final
class WorkerIndex:
    """Keep workers that may take work in buckets ordered by free room."""

    def __init__(self) -> None:
        """Hold no worker."""
        self.places: dict[str, Bucket] = {}
        self.members: dict[Bucket, dict[str, None]] = {}
        self.order: list[Bucket] = []

    def put(self, worker: str, free: Resources, capacity: Resources) -> None:
        """Move a worker to the bucket of its free room."""
        has_place = free.slots > 0 and free.connections > 0
        bucket = Bucket(
            capacity.accelerators > 0,
            free.accelerators,
            free.cores_milli // 1000 if has_place else FULL,
        )
        if self.places.get(worker) == bucket:
            return
        self.remove(worker)
        self.places[worker] = bucket
        if bucket not in self.members:
            self.members[bucket] = {}
            insort(self.order, bucket)
        self.members[bucket][worker] = None

    def remove(self, worker: str) -> None:
        """Stop offering a worker."""
        bucket = self.places.pop(worker, None)
        if bucket is None:
            return
        members = self.members[bucket]
        members.pop(worker)
        if not members:
            self.members.pop(bucket)
            self.order.pop(bisect_left(self.order, bucket))

    def roomy(self, demand: Resources) -> Iterator[str]:
        """Iterate over workers with room in cores, the tightest first.

        Workers without accelerators come first where none is asked for.
        """
        cores = demand.cores_milli // 1000
        start = Bucket(demand.accelerators > 0, demand.accelerators, cores)
        first = bisect_left(self.order, start)
        for bucket in self.order[first:]:
            if bucket.cores >= cores:
                yield from tuple(self.members.get(bucket, ()))

    def emptiest(self) -> Iterator[str]:
        """Iterate over workers by free room, the most first."""
        for bucket in tuple(reversed(self.order)):
            yield from tuple(self.members.get(bucket, ()))
