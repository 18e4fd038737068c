"""Count what a task needs and a worker holds."""

from typing import NamedTuple


class Resources(NamedTuple):
    """Hold one amount per hard limit of a worker."""

    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Add amount by amount."""
        return Resources(
            self.cores_milli + other.cores_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
            self.connections + other.connections,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Subtract amount by amount."""
        return Resources(
            self.cores_milli - other.cores_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
            self.connections - other.connections,
        )

    def fits_in(self, free: 'Resources') -> bool:
        """Tell whether every amount is within the free amount."""
        return (
            self.cores_milli <= free.cores_milli
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
            and self.slots <= free.slots
            and self.connections <= free.connections
        )

    def times(self, count: int) -> 'Resources':
        """Multiply amount by amount."""
        return Resources(*(amount * count for amount in self))

    def times_in(self, free: 'Resources') -> int:
        """Return how many of these fit in the free amount."""
        return min(
            (
                room // need
                for need, room in zip(self, free, strict=True)
                if need
            ),
            default=0,
        )
