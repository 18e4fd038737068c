"""Plan the jobs that keep the services of the operators' folder up."""

from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from ._jobs import ID_SEPARATOR, JobSpec, Kind, TaskState
from ._policy import Policy, ServicePolicy
from ._state import JobBook, ShardState

SERVICE_PREFIX: Final = 'svc-'
MAX_NAME_CHARS: Final = 40
EXPECTED_RUN_MS: Final = 86_400_000
REPLACE_MS: Final = 60_000


class ServicePlan(NamedTuple):
    """Hold the jobs to submit and the ids of jobs to cancel."""

    submits: tuple[JobSpec, ...] = ()
    cancels: tuple[str, ...] = ()


def plan_services(state: ShardState, now_ms: int) -> ServicePlan:
    """Compare the services of one pool with the jobs that keep them up.

    A service is one job whose tasks are its replicas. Another number or
    shape of replicas is another job; the old one stays until that runs.
    """
    policy = state.policy
    kept = _kept_jobs(state)
    wanted = [
        service
        for service in policy.services
        if service.replicas and policy.pool_of(service.workload) == state.pool
    ]
    plans = [
        _plan_one(
            _spec_of(service, state, kept.get(service.workload, ())),
            kept.pop(service.workload, ()),
            policy,
            now_ms,
        )
        for service in wanted
    ]
    for jobs in kept.values():
        plans.append(ServicePlan(cancels=_ids(filter(_is_live, jobs))))
    return ServicePlan(
        tuple(spec for plan in plans for spec in plan.submits),
        tuple(job_id for plan in plans for job_id in plan.cancels),
    )


def _kept_jobs(state: ShardState) -> dict[str, list[JobBook]]:
    prefix = f'{state.domain}{ID_SEPARATOR}{SERVICE_PREFIX}'
    kept: dict[str, list[JobBook]] = {}
    for job_id, job in state.jobs.items():
        if job_id.startswith(prefix):
            kept.setdefault(job.spec.workload, []).append(job)
    return kept


def _plan_one(
    wanted: JobSpec,
    jobs: Sequence[JobBook],
    policy: Policy,
    now_ms: int,
) -> ServicePlan:
    live = sorted(
        filter(_is_live, jobs),
        key=lambda job: (job.accepted_ms, job.spec.job_id),
    )
    same = [job for job in live if _shape(job.spec) == _shape(wanted)]
    if not same:
        # A service that was changed starts at once, one that ended waits.
        wait_ms = 0 if live else policy.limits.retry_max_ms
        is_early = any(now_ms < job.settled_ms + wait_ms for job in jobs)
        return ServicePlan() if is_early else ServicePlan((wanted,))
    first, *spare = same
    other = [job for job in live if job not in same]
    if _is_up(first) or now_ms > first.accepted_ms + REPLACE_MS:
        spare.extend(other)
    return ServicePlan(cancels=_ids(spare))


def _spec_of(
    service: ServicePolicy,
    state: ShardState,
    jobs: Sequence[JobBook],
) -> JobSpec:
    name = f'{SERVICE_PREFIX}{service.name[:MAX_NAME_CHARS]}'
    stem = f'{state.domain}{ID_SEPARATOR}{name}-{state.policy.version}-'
    numbers = [
        int(job.spec.job_id.removeprefix(stem))
        for job in jobs
        if job.spec.job_id.startswith(stem)
    ]
    return JobSpec(
        f'{stem}{max(numbers, default=0) + 1}',
        service.team,
        service.workload,
        Kind.SERVICE,
        service.replicas,
        service.cores_milli,
        service.memory_mb,
        service.accelerators,
        expected_run_ms=EXPECTED_RUN_MS,
        payload=service.payload,
    )


def _shape(spec: JobSpec) -> JobSpec:
    return spec._replace(job_id='')


def _is_live(job: JobBook) -> bool:
    return not (job.is_final or job.cancel_asked)


def _is_up(job: JobBook) -> bool:
    return all(task.state is TaskState.RUNNING for task in job.tasks)


def _ids(jobs: Iterable[JobBook]) -> tuple[str, ...]:
    return tuple(job.spec.job_id for job in jobs)
