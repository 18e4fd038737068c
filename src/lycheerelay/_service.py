"""Derive job ids of service replicas and find the replicas' jobs."""

from collections.abc import Iterator
from typing import Final, NamedTuple

from ._jobs import ID_SEPARATOR, JobSpec, Kind
from ._policy import ServicePolicy
from ._state import JobInfo, ShardState

REPLICA_PREFIX: Final = 'svc-'


class ReplicaId(NamedTuple):
    """Identify one generation of one replica of a service."""

    service: str
    number: int
    generation: int

    def job_id(self, domain: str) -> str:
        """Return the job id, which is the same on every entry VM."""
        name = f'{self.service}-{self.number}-{self.generation}'
        return f'{domain}{ID_SEPARATOR}{REPLICA_PREFIX}{name}'


def parse_replica(job_id: str) -> ReplicaId | None:
    """Parse the job id of a replica; return None for any other job."""
    _, _, name = job_id.partition(ID_SEPARATOR)
    if not name.startswith(REPLICA_PREFIX):
        return None
    parts = name[len(REPLICA_PREFIX) :].rsplit('-', 2)
    if len(parts) != 3 or not (parts[1].isdigit() and parts[2].isdigit()):
        return None
    return ReplicaId(parts[0], int(parts[1]), int(parts[2]))


def replica_spec(service: ServicePolicy, job_id: str) -> JobSpec:
    """Return the job that runs one replica."""
    return JobSpec(
        job_id,
        service.team,
        service.workload,
        Kind.SERVICE,
        cores_milli=service.cores_milli,
        memory_mb=service.memory_mb,
        accelerators=service.accelerators,
        payload=service.payload,
    )


def track_replica(state: ShardState, job_id: str) -> None:
    """Track the latest generation of a replica."""
    replica = parse_replica(job_id)
    if replica is not None:
        known = state.services.setdefault(replica.service, {})
        latest = known.get(replica.number, 0)
        known[replica.number] = max(latest, replica.generation)


def latest_replicas(state: ShardState, service: str) -> Iterator[JobInfo]:
    """Iterate over the jobs in memory of each replica's latest generation."""
    for index, generation in state.services.get(service, {}).items():
        replica = ReplicaId(service, index, generation)
        job = state.jobs.get(replica.job_id(state.domain))
        if job is not None:
            yield job


def spread_group(state: ShardState, job_id: str) -> tuple[JobInfo, ...]:
    """Return the jobs among which a job is spread, including itself."""
    replica = parse_replica(job_id)
    if replica is not None and replica.service in state.services:
        return tuple(latest_replicas(state, replica.service))
    return (state.jobs[job_id],)
