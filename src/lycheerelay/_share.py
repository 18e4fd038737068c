"""Count what each team holds, for dominant-share fairness."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final, Protocol

from ._jobs import AttemptKey, JobSpec
from ._policy import TeamPolicy
from ._resources import Resources

NOTHING: Final = Resources()
MAX_NEED: Final = 4000


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
    policies: dict[str, TeamPolicy] = field(default_factory=dict)
    shares: dict[str, float] = field(default_factory=dict)
    need: Resources = NOTHING

    def charge(self, worker: str, key: AttemptKey, demand: Resources) -> None:
        """Count an attempt towards its team."""
        job = self.jobs.get(key.job_id)
        team = job.spec.team if job else ''
        self.teams[key] = team
        self.used[team] = self.used.get(team, NOTHING).plus(demand)
        self.shares.pop(team, None)
        if demand.accelerators:
            self.touched[worker] = None

    def release(self, worker: str, key: AttemptKey, demand: Resources) -> None:
        """Stop counting an attempt; its worker has room again."""
        team = self.teams.pop(key, '')
        self.used[team] = self.used.get(team, NOTHING).minus(demand)
        self.touched[worker] = None
        self.shares.pop(team, None)
        if self.used[team] == NOTHING:
            self.used.pop(team)

    def dominant_share(self, team: str) -> float:
        """Return the team's largest part of any resource, by its quota.

        Source: Ghodsi et al., "Dominant Resource Fairness: Fair Allocation
        of Multiple Resource Types", 2011.
        """
        share = self.shares.get(team)
        if share is None:
            share = self._largest_part(team) / self.quota_of(team)
            self.shares[team] = share
        return share

    def note_need(self, demand: Resources) -> None:
        """Learn what work with accelerators needs beside them."""
        if not demand.accelerators:
            return
        if self.need.accelerators > MAX_NEED:
            self.need = Resources(*(amount // 2 for amount in self.need))
        self.need = self.need.plus(demand)

    def need_for(self, accelerators: int) -> Resources:
        """Return the mean need of work that would use the accelerators."""
        seen = self.need.accelerators
        if accelerators <= 0 or not seen:
            return NOTHING
        return Resources(
            self.need.cores_milli * accelerators // seen,
            self.need.memory_mb * accelerators // seen,
            0,
            accelerators,
            self.need.connections * accelerators // seen,
        )

    def resize(
        self,
        shapes: dict[Resources, int],
        teams: tuple[TeamPolicy, ...],
    ) -> None:
        """Follow the workers of the pool and the quotas of its teams."""
        self.shapes = shapes
        self.policies = {team.name: team for team in teams}
        self.total = NOTHING
        for shape, count in shapes.items():
            self.total = self.total.plus(shape.times(count))
        self.shares.clear()

    def quota_of(self, team: str) -> int:
        """Return the share that the operators gave a team."""
        policy = self.policies.get(team)
        return max(1, policy.share) if policy else 1

    def _largest_part(self, team: str) -> float:
        used = self.used.get(team)
        if used is None:
            return 0
        total = self.total
        return max(
            used.cores_milli / (total.cores_milli or 1),
            used.memory_mb / (total.memory_mb or 1),
            used.accelerators / (total.accelerators or 1),
            used.slots / (total.slots or 1),
        )
