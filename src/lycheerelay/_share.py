"""Track the allocations of each team for dominant resource fairness."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final, Protocol

from ._jobs import AttemptKey, JobSpec
from ._policy import TeamPolicy
from ._resources import Resources

NO_RESOURCES: Final = Resources()
MAX_COUNTED_ACCELERATORS: Final = 4000


class HasSpec(Protocol):
    """Provide the specification of a job."""

    spec: JobSpec


@dataclass(slots=True)
class Ledger:
    """Track allocations by team and the workers whose capacity changed.

    `need` sums the demands of jobs with accelerators; `touched` names the
    workers whose free capacity is to be offered again.
    """

    jobs: Mapping[str, HasSpec]
    total: Resources = NO_RESOURCES
    shapes: dict[Resources, int] = field(default_factory=dict)
    used: dict[str, Resources] = field(default_factory=dict)
    teams: dict[AttemptKey, str] = field(default_factory=dict)
    touched: dict[str, None] = field(default_factory=dict)
    policies: dict[str, TeamPolicy] = field(default_factory=dict)
    shares: dict[str, float] = field(default_factory=dict)
    need: Resources = NO_RESOURCES

    def charge(self, worker: str, key: AttemptKey, demand: Resources) -> None:
        """Add an attempt's allocation to its team."""
        job = self.jobs.get(key.job_id)
        team = job.spec.team if job else ''
        self.teams[key] = team
        self.used[team] = self.used.get(team, NO_RESOURCES).plus(demand)
        self.shares.pop(team, None)
        if demand.accelerators:
            self.touched[worker] = None

    def release(self, worker: str, key: AttemptKey, demand: Resources) -> None:
        """Subtract an attempt's allocation; its worker gains free capacity."""
        team = self.teams.pop(key, '')
        self.used[team] = self.used.get(team, NO_RESOURCES).minus(demand)
        self.touched[worker] = None
        self.shares.pop(team, None)
        if self.used[team] == NO_RESOURCES:
            self.used.pop(team)

    def dominant_share(self, team: str) -> float:
        """Return the team's largest fraction of any resource, by its quota.

        Source: Ghodsi et al., "Dominant Resource Fairness: Fair Allocation
        of Multiple Resource Types", 2011.
        """
        share = self.shares.get(team)
        if share is None:
            share = self._largest_fraction(team) / self.quota_of(team)
            self.shares[team] = share
        return share

    def record_need(self, demand: Resources) -> None:
        """Learn what jobs with accelerators need besides them.

        The sum is halved at a limit, so that recent jobs weigh more.
        """
        if not demand.accelerators:
            return
        if self.need.accelerators > MAX_COUNTED_ACCELERATORS:
            self.need = Resources(*(amount // 2 for amount in self.need))
        self.need = self.need.plus(demand)

    def need_for(self, accelerators: int) -> Resources:
        """Return the mean demand of jobs that would use the accelerators."""
        counted = self.need.accelerators
        if accelerators <= 0 or not counted:
            return NO_RESOURCES
        return Resources(
            self.need.cores_milli * accelerators // counted,
            self.need.memory_mb * accelerators // counted,
            0,
            accelerators,
            self.need.connections * accelerators // counted,
        )

    def resize(
        self,
        shapes: dict[Resources, int],
        teams: tuple[TeamPolicy, ...],
    ) -> None:
        """Update the capacity of the pool and the quotas of its teams."""
        self.shapes = shapes
        self.policies = {team.name: team for team in teams}
        self.total = NO_RESOURCES
        for shape, count in shapes.items():
            self.total = self.total.plus(shape.times(count))
        self.shares.clear()

    def quota_of(self, team: str) -> int:
        """Return the configured share of a team, 1 by default."""
        policy = self.policies.get(team)
        return max(1, policy.share) if policy else 1

    def _largest_fraction(self, team: str) -> float:
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
