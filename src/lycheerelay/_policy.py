"""Define the policy options that operators set."""

from typing import NamedTuple


class TeamPolicy(NamedTuple):
    """Set one team's share and its limit of waiting tasks."""

    name: str
    share: int = 1
    max_waiting: int = 10_000


class WorkloadPolicy(NamedTuple):
    """Set where a workload runs and how it is placed."""

    name: str
    kind: str
    pool: str
    fit: str = 'leftover'
    max_attempts: int = 5
    max_wait_ms: int = 3_600_000
    preemptible: bool = True


class PoolPolicy(NamedTuple):
    """Declare a pool and the size of its workers; 0 means undeclared."""

    name: str
    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class ServicePolicy(NamedTuple):
    """Describe a service that operators define in a configuration file."""

    name: str
    team: str
    workload: str
    replicas: int
    cores_milli: int = 1000
    memory_mb: int = 512
    accelerators: int = 0
    payload: str = ''


class Limits(NamedTuple):
    """Set limits, timeouts and placement options of the pools."""

    max_waiting_tasks: int = 100_000
    task_ttl_ms: int = 60_000
    clock_margin_ms: int = 2_000
    retry_base_ms: int = 200
    retry_max_ms: int = 30_000
    retention_ms: int = 3_600_000
    order: str = 'fair'
    fit: str = 'leftover'
    patience_ms: int = 30_000
    fit_seed: int = 0


class Policy(NamedTuple):
    """Hold one version of the operators' configuration."""

    version: int = 0
    teams: tuple[TeamPolicy, ...] = ()
    workloads: tuple[WorkloadPolicy, ...] = ()
    services: tuple[ServicePolicy, ...] = ()
    limits: Limits = Limits()
    pools: tuple[PoolPolicy, ...] = ()

    def workload(self, name: str) -> WorkloadPolicy | None:
        """Return a workload's policy, or None if it has none."""
        for entry in self.workloads:
            if entry.name == name:
                return entry
        return None

    def pool_of(self, workload: str) -> str:
        """Return the pool of a workload; by default, the pool of its name."""
        entry = self.workload(workload)
        return entry.pool if entry else workload

    def team(self, name: str) -> TeamPolicy | None:
        """Return a team's policy, or None if it has none."""
        for entry in self.teams:
            if entry.name == name:
                return entry
        return None
