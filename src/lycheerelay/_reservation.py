"""Hold room on workers for one job until that job can start."""

from dataclasses import dataclass, field
from typing import Final

from ._resources import Resources
from ._share import NOTHING

CLEARING_MS: Final = 2500


@dataclass(slots=True)
class Reservation:
    """Keep room for a job; `hard` bars backfill in time as well."""

    job_id: str
    at_ms: int
    made_ms: int
    holds: dict[str, Resources]
    urgent: bool = False
    hard: bool = False
    cleared_ms: int = 0

    def is_clearing(self, now_ms: int) -> bool:
        """Tell whether stops were sent lately to make the room free."""
        return self.urgent or now_ms < self.cleared_ms + CLEARING_MS

    def admits(self, end_ms: int, movable: bool, now_ms: int) -> bool:
        """Tell whether other work may use the room for now."""
        if movable and not self.is_clearing(now_ms):
            return True
        return not self.hard and end_ms <= self.at_ms


@dataclass(slots=True)
class Reservations:
    """Find the reservations by role and by worker."""

    by_role: dict[str, Reservation] = field(default_factory=dict)
    by_worker: dict[str, dict[str, Reservation]] = field(default_factory=dict)

    def make(self, role: str, reservation: Reservation) -> None:
        """Put a reservation in force."""
        self.by_role[role] = reservation
        for worker in reservation.holds:
            self.by_worker.setdefault(worker, {})[role] = reservation

    def drop(self, role: str) -> tuple[str, ...]:
        """Give a reservation up; return the workers that have room again."""
        reservation = self.by_role.pop(role, None)
        if reservation is None:
            return ()
        for worker in reservation.holds:
            roles = self.by_worker[worker]
            roles.pop(role)
            if not roles:
                self.by_worker.pop(worker)
        return tuple(reservation.holds)

    def role_of(self, job_id: str) -> str | None:
        """Return the role under which a job holds room."""
        for role, reservation in self.by_role.items():
            if reservation.job_id == job_id:
                return role
        return None

    def names_for(self, job_id: str) -> tuple[str, ...]:
        """Name the workers on which a job holds room."""
        role = self.role_of(job_id)
        return tuple(self.by_role[role].holds) if role else ()

    def held(self, worker: str, job_id: str, urgent: bool) -> Resources:
        """Sum what others hold on a worker; urgent work yields to urgent."""
        total = NOTHING
        for reservation in self.by_worker.get(worker, {}).values():
            if reservation.job_id != job_id and urgent <= reservation.urgent:
                total = total.plus(reservation.holds[worker])
        return total

    def others(self, worker: str, job_id: str) -> list[Reservation]:
        """Return the reservations of other jobs on a worker."""
        return [
            reservation
            for reservation in self.by_worker.get(worker, {}).values()
            if reservation.job_id != job_id
        ]
