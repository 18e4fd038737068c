"""Hold capacity on workers for a job until that job can start."""

from dataclasses import dataclass, field
from typing import Final

from ._resources import Resources
from ._share import NO_RESOURCES

PREEMPTION_WINDOW_MS: Final = 2500


@dataclass(slots=True)
class Reservation:
    """Reserve capacity for a job that is expected to start at `at_ms`.

    `hard` excludes backfill too, that is, jobs that end before `at_ms`.
    `made_ms` is the time of the first plan; `cleared_ms` is the time of the
    last stops in favour of the job, 0 for none.
    """

    job_id: str
    at_ms: int
    made_ms: int
    holds: dict[str, Resources]
    urgent: bool = False
    hard: bool = False
    cleared_ms: int = 0

    def is_preempting(self, now_ms: int) -> bool:
        """Return whether stops were sent recently to free the capacity."""
        return self.urgent or now_ms < self.cleared_ms + PREEMPTION_WINDOW_MS

    def admits(self, end_ms: int, movable: bool, now_ms: int) -> bool:
        """Return whether another job may use the capacity until it starts."""
        if movable and not self.is_preempting(now_ms):
            return True
        return not self.hard and end_ms <= self.at_ms


@dataclass(slots=True)
class Reservations:
    """Index the reservations by role and by worker."""

    by_role: dict[str, Reservation] = field(default_factory=dict)
    by_worker: dict[str, dict[str, Reservation]] = field(default_factory=dict)

    def make(self, role: str, reservation: Reservation) -> None:
        """Add a reservation."""
        self.by_role[role] = reservation
        for worker in reservation.holds:
            self.by_worker.setdefault(worker, {})[role] = reservation

    def drop(self, role: str) -> tuple[str, ...]:
        """Drop a reservation and return the workers that it held."""
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
        """Return the role of a job's reservation, or None."""
        for role, reservation in self.by_role.items():
            if reservation.job_id == job_id:
                return role
        return None

    def names_for(self, job_id: str) -> tuple[str, ...]:
        """Return the names of the workers reserved for a job."""
        role = self.role_of(job_id)
        return tuple(self.by_role[role].holds) if role else ()

    def held(self, worker: str, job_id: str, urgent: bool) -> Resources:
        """Sum what other jobs hold on a worker.

        For an urgent job only the reservations of urgent jobs count.
        """
        total = NO_RESOURCES
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
