"""Reconcile running replicas with the configured services."""

from collections.abc import Iterator
from itertools import islice
from typing import Final

from ._commands import Append
from ._handlers import Commands
from ._jobs import JobState
from ._policy import ServicePolicy
from ._records import Accepted, CancelAsked
from ._retry import RetryDelays, retry_delay_ms
from ._service import ReplicaId, latest_replicas, replica_spec
from ._state import JobInfo, PendingAccept, ShardState

RECONCILE_INTERVAL_MS: Final = 500


def reconcile_services(state: ShardState, now_ms: int) -> Commands:
    """Start missing, replace failed and cancel surplus replicas."""
    if now_ms - state.reconciled_ms < RECONCILE_INTERVAL_MS:
        return
    state.reconciled_ms = now_ms
    wanted = {service.name: service for service in _services_in_pool(state)}
    for service in wanted.values():
        changes = (
            change
            for index in range(service.replicas)
            for change in _reconcile_replica(state, service, index, now_ms)
        )
        # Make one change per round, so that each replica is placed when the
        # place of the previous one is known.
        yield from islice(changes, 1)
    for name in tuple(state.services):
        yield from _cancel_surplus(state, name, wanted.get(name), now_ms)


def _services_in_pool(state: ShardState) -> Iterator[ServicePolicy]:
    for service in state.policy.services:
        if state.policy.pool_of(service.workload) == state.pool:
            yield service


def _reconcile_replica(
    state: ShardState,
    service: ServicePolicy,
    index: int,
    now_ms: int,
) -> Commands:
    generation = state.services.get(service.name, {}).get(index, 0)
    latest = ReplicaId(service.name, index, generation)
    job = state.jobs.get(latest.job_id(state.domain))
    if job is not None and not job.is_final:
        if job.spec != replica_spec(service, job.spec.job_id):
            yield from _cancel(state, job, now_ms)
    elif job is None or now_ms >= _replacement_due_ms(state, job, generation):
        replacement = latest._replace(generation=generation + 1)
        job_id = replacement.job_id(state.domain)
        yield from _submit_replica(state, service, job_id, now_ms)


def _replacement_due_ms(
    state: ShardState,
    job: JobInfo,
    generation: int,
) -> int:
    """Return when a replica may be replaced; only cancelled ones at once."""
    if job.state is JobState.CANCELLED:
        return job.settled_ms
    limits = state.policy.limits
    delays = RetryDelays(limits.retry_base_ms, limits.retry_max_ms)
    delay_ms = retry_delay_ms(delays, generation, job.spec.job_id)
    return job.settled_ms + delay_ms


def _submit_replica(
    state: ShardState,
    service: ServicePolicy,
    job_id: str,
    now_ms: int,
) -> Commands:
    if job_id in state.accepting or not state.can_keep:
        return
    spec = replica_spec(service, job_id)
    state.accepting[job_id] = PendingAccept(spec, [])
    yield Append(Accepted(state.pool, spec, now_ms))


def _cancel_surplus(
    state: ShardState,
    name: str,
    service: ServicePolicy | None,
    now_ms: int,
) -> Commands:
    wanted = service.replicas if service else 0
    domain = state.domain
    wanted_ids = {
        ReplicaId(name, index, generation).job_id(domain)
        for index, generation in state.services[name].items()
        if index < wanted
    }
    for job in latest_replicas(state, name):
        if job.spec.job_id not in wanted_ids:
            yield from _cancel(state, job, now_ms)


def _cancel(state: ShardState, job: JobInfo, now_ms: int) -> Commands:
    job_id = job.spec.job_id
    if job.is_final or job.cancel_asked or job_id in state.cancelling:
        return
    state.cancelling[job_id] = []
    yield Append(CancelAsked(state.pool, job_id, now_ms))
