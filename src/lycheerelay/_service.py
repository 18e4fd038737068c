"""Name the replicas of services and find them among the jobs."""

from collections.abc import Iterator
from typing import Final, NamedTuple

from ._jobs import ID_SEPARATOR, JobSpec, Kind
from ._policy import ServicePolicy
from ._state import JobInfo, ShardState

PREFIX: Final = 'svc-'


class ReplicaId(NamedTuple):
    """Name one life of one replica of a service."""

    service: str
    place: int
    generation: int

    def job_id(self, domain: str) -> str:
        """Return the job id, the same on every entry VM."""
        name = f'{self.service}-{self.place}-{self.generation}'
        return f'{domain}{ID_SEPARATOR}{PREFIX}{name}'


def parse_replica(job_id: str) -> ReplicaId | None:
    """Read the id of a replica; return None for any other job."""
    _, _, name = job_id.partition(ID_SEPARATOR)
    if not name.startswith(PREFIX):
        return None
    parts = name[len(PREFIX) :].rsplit('-', 2)
    if len(parts) != 3 or not (parts[1].isdigit() and parts[2].isdigit()):
        return None
    return ReplicaId(parts[0], int(parts[1]), int(parts[2]))


def replica_spec(service: ServicePolicy, job_id: str) -> JobSpec:
    """Return the job that keeps one replica up."""
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


def note_replica(state: ShardState, job_id: str) -> None:
    """Remember the latest generation of a replica."""
    replica = parse_replica(job_id)
    if replica is not None:
        known = state.services.setdefault(replica.service, {})
        latest = known.get(replica.place, 0)
        known[replica.place] = max(latest, replica.generation)


def replicas_of(state: ShardState, service: str) -> Iterator[JobInfo]:
    """Iterate over the latest jobs of a service that are in memory."""
    for index, generation in state.services.get(service, {}).items():
        replica = ReplicaId(service, index, generation)
        job = state.jobs.get(replica.job_id(state.domain))
        if job is not None:
            yield job


def jobs_beside(state: ShardState, job_id: str) -> tuple[JobInfo, ...]:
    """Return the jobs that a job is spread against, itself included."""
    replica = parse_replica(job_id)
    if replica is not None and replica.service in state.services:
        return tuple(replicas_of(state, replica.service))
    return (state.jobs[job_id],)
