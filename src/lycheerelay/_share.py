"""Count what each team holds, for dominant-share fairness."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final, Protocol

from ._jobs import AttemptKey, JobSpec
from ._resources import Resources

NOTHING: Final = Resources()


class HasSpec(Protocol):
    """Anything that carries a job's description."""

    spec: JobSpec


@dataclass(slots=True)
class Ledger:
    """Track bookings by team and the workers whose room changed."""

    jobs: Mapping[str, HasSpec]
    total: Resources = NOTHING
    shapes: dict[Resources, int] = field(default_factory=dict)
    used: dict[str, Resources] = field(default_factory=dict)
    teams: dict[AttemptKey, str] = field(default_factory=dict)
    touched: dict[str, None] = field(default_factory=dict)

    def charge(self, worker: str, key: AttemptKey, demand: Resources) -> None:
        """Count an attempt towards its team."""
        job = self.jobs.get(key.job_id)
        team = job.spec.team if job else ''
        self.teams[key] = team
        self.used[team] = self.used.get(team, NOTHING).plus(demand)
        if demand.accelerators:
            self.touched[worker] = None

    def release(self, worker: str, key: AttemptKey, demand: Resources) -> None:
        """Stop counting an attempt; its worker has room again."""
        team = self.teams.pop(key, '')
        self.used[team] = self.used.get(team, NOTHING).minus(demand)
        self.touched[worker] = None
        if self.used[team] == NOTHING:
            self.used.pop(team)

    def dominant_share(self, team: str, quota: int) -> float:
        """Return the team's largest part of any resource, by its quota.

        Source: Ghodsi et al., "Dominant Resource Fairness: Fair Allocation
        of Multiple Resource Types", 2011.
        """
        used = self.used.get(team)
        if used is None:
            return 0
        total = self.total
        largest = max(
            used.cores_milli / (total.cores_milli or 1),
            used.memory_mb / (total.memory_mb or 1),
            used.accelerators / (total.accelerators or 1),
            used.slots / (total.slots or 1),
        )
        return largest / max(1, quota)
