"""Index workers by free capacity, so that a search skips most of them."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import Final, NamedTuple, final

from ._resources import Resources

# Free cores in the bucket of workers without a free slot or connection.
NO_FREE_SLOT: Final = -1


class Bucket(NamedTuple):
    """Group workers with the same free accelerators and whole free cores."""

    has_accelerators: bool
    accelerators: int
    cores: int


@final
class WorkerIndex:
    """Keep workers that accept tasks in buckets ordered by free capacity."""

    def __init__(self) -> None:
        """Create an empty index."""
        self.buckets: dict[str, Bucket] = {}
        self.members: dict[Bucket, dict[str, None]] = {}
        self.order: list[Bucket] = []

    def put(self, worker: str, free: Resources, capacity: Resources) -> None:
        """Move a worker to the bucket of its free capacity."""
        has_slot = free.slots > 0 and free.connections > 0
        bucket = Bucket(
            capacity.accelerators > 0,
            free.accelerators,
            free.cores_milli // 1000 if has_slot else NO_FREE_SLOT,
        )
        if self.buckets.get(worker) == bucket:
            return
        self.remove(worker)
        self.buckets[worker] = bucket
        if bucket not in self.members:
            self.members[bucket] = {}
            insort(self.order, bucket)
        self.members[bucket][worker] = None

    def remove(self, worker: str) -> None:
        """Remove a worker, if it is indexed."""
        bucket = self.buckets.pop(worker, None)
        if bucket is None:
            return
        members = self.members[bucket]
        members.pop(worker)
        if not members:
            self.members.pop(bucket)
            self.order.pop(bisect_left(self.order, bucket))

    def workers_for(self, demand: Resources) -> Iterator[str]:
        """Iterate over workers with enough free cores, the fullest first.

        Workers without accelerators come first if the demand has none.
        """
        cores = demand.cores_milli // 1000
        start = Bucket(demand.accelerators > 0, demand.accelerators, cores)
        first = bisect_left(self.order, start)
        for bucket in self.order[first:]:
            if bucket.cores >= cores:
                yield from tuple(self.members.get(bucket, ()))

    def most_free_first(self) -> Iterator[str]:
        """Iterate over workers by free capacity, in descending order."""
        for bucket in tuple(reversed(self.order)):
            yield from tuple(self.members.get(bucket, ()))
