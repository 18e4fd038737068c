"""Define amounts of resources for demand, capacity and allocations."""

from typing import NamedTuple


class Resources(NamedTuple):
    """Hold one amount for each resource that a worker limits."""

    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum of each amount."""
        return Resources(
            self.cores_milli + other.cores_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
            self.connections + other.connections,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return the difference of each amount."""
        return Resources(
            self.cores_milli - other.cores_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
            self.connections - other.connections,
        )

    def fits_in(self, free: 'Resources') -> bool:
        """Return whether no amount exceeds the free amount."""
        return (
            self.cores_milli <= free.cores_milli
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
            and self.slots <= free.slots
            and self.connections <= free.connections
        )

    def times(self, count: int) -> 'Resources':
        """Return each amount multiplied by the count."""
        return Resources(*(amount * count for amount in self))

    def times_in(self, free: 'Resources') -> int:
        """Return how often this demand fits in the free amounts."""
        return min(
            (
                available // needed
                for needed, available in zip(self, free, strict=True)
                if needed
            ),
            default=0,
        )
