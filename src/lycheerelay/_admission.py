"""Refuse jobs at submission that cannot or should not be accepted."""

from collections import Counter
from collections.abc import Callable
from typing import Final

from ._codes import Code, Refusal
from ._jobs import JobSpec, Kind
from ._registry import Registry
from ._resources import Resources
from ._state import ShardState

Check = Callable[[ShardState, JobSpec, int], Refusal | None]

RETRY_AFTER_MS: Final = 5000
MAX_RETRY_AFTER_MS: Final = 60_000

CHECKS: Final[Registry[str, Check]] = Registry('admission check')


def refuse(state: ShardState, spec: JobSpec, now_ms: int) -> Refusal | None:
    """Return the first refusal of the registered checks, or None.

    Only a refusal that every node would give at any time sets `not_run`: an
    earlier request with the same id may wait at an owner that was replaced,
    and its record may reach the log after this refusal.
    """
    for name in CHECKS:
        refusal = CHECKS[name](state, spec, now_ms)
        if refusal is not None:
            return refusal
    return None


@CHECKS.register('owner')
def check_owner(
    state: ShardState,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    """Refuse on an entry VM that does not own the pool.

    Such a node can't prove `not_run`: the owner may have recorded the id.
    """
    if state.is_owner:
        return None
    detail = f'this entry VM does not own pool {state.pool} yet'
    return Refusal(Code.NO_OWNER, detail, retry_after_ms=500)


@CHECKS.register('kept')
def check_durability(
    state: ShardState,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    """Refuse while neither the log nor a standby entry VM stores records."""
    if state.can_keep:
        return None
    detail = 'the log is down and no standby entry VM stores records'
    return Refusal(Code.NOT_KEPT, detail, retry_after_ms=2000)


@CHECKS.register('never_fits')
def check_shape(
    state: ShardState,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    """Refuse a job that the known workers could not hold even when idle."""
    if not state.workers or _could_hold(state.ledger.shapes, spec):
        return None
    shapes = Counter(worker.spec.capacity for worker in state.workers.values())
    if _could_hold(shapes, spec):
        return None
    detail = f'{_exceeded_limit(shapes, spec)} in pool {state.pool}'
    return Refusal(Code.NEVER_FITS, detail, not_run=True)


def _could_hold(shapes: dict[Resources, int], spec: JobSpec) -> bool:
    width = spec.tasks if spec.kind is Kind.GANG else 1
    return _count_fitting(shapes, spec.demand) >= width


def _count_fitting(shapes: dict[Resources, int], demand: Resources) -> int:
    """Return how many such tasks all workers could hold at once."""
    return sum(
        demand.times_in(shape) * count for shape, count in shapes.items()
    )


def _exceeded_limit(shapes: dict[Resources, int], spec: JobSpec) -> str:
    demand = spec.demand
    for index, name in enumerate(Resources._fields):
        limit = max(shape[index] for shape in shapes)
        if demand[index] > limit:
            return f'{name}: {demand[index]} exceeds {limit}, the maximum'
    fitting = _count_fitting(shapes, demand)
    if fitting:
        return f'tasks: {spec.tasks} at once exceeds {fitting}, the maximum'
    return 'no single worker has all resources that one task needs'


@CHECKS.register('team_quota')
def check_team(
    state: ShardState,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    """Refuse a job of a team that has too many waiting tasks."""
    team = state.ledger.policies.get(spec.team)
    if team is None:
        return None
    counts = state.waiting.counts
    waiting = sum(counts.get((spec.team, kind), 0) for kind in Kind)
    if waiting < team.max_waiting:
        return None
    detail = f'team {spec.team}: {waiting} tasks wait; max_waiting'
    detail = f'{detail} is {team.max_waiting}'
    return Refusal(
        Code.QUOTA_EXCEEDED,
        detail,
        retry_after_ms=RETRY_AFTER_MS,
    )


@CHECKS.register('predicted_wait')
def check_wait(
    state: ShardState,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    """Refuse a job whose predicted wait exceeds the workload's limit."""
    workload = state.policy.workload(spec.workload)
    if workload is None or spec.urgent or spec.kind is Kind.SERVICE:
        return None
    wait_ms = predict_wait(state, spec, now_ms)
    if wait_ms <= workload.max_wait_ms:
        return None
    detail = f'team {spec.team}, {spec.kind}: predicted wait {wait_ms} ms'
    detail = f'{detail}; max_wait_ms is {workload.max_wait_ms}'
    excess_ms = wait_ms - workload.max_wait_ms
    return Refusal(
        Code.OVERLOADED,
        detail,
        retry_after_ms=max(RETRY_AFTER_MS, min(excess_ms, MAX_RETRY_AFTER_MS)),
    )


@CHECKS.register('deadline')
def check_deadline(
    state: ShardState,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    """Refuse a job that is predicted to start after its deadline."""
    if not spec.deadline_ms:
        return None
    start_ms = (
        now_ms if spec.urgent else now_ms + predict_wait(state, spec, now_ms)
    )
    if start_ms < spec.deadline_ms:
        return None
    detail = f'deadline_ms: {spec.deadline_ms} is not after the'
    detail = f'{detail} earliest start, {start_ms}'
    return Refusal(Code.DEADLINE_PASSED, detail)


@CHECKS.register('waiting')
def check_waiting(
    state: ShardState,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    """Refuse a job when the pool has too many waiting jobs."""
    limit = state.policy.limits.max_waiting_tasks
    if len(state.waiting) + len(state.accepting) < limit:
        return None
    detail = f'{limit} jobs are already waiting'
    return Refusal(
        Code.OVERLOADED,
        detail,
        retry_after_ms=RETRY_AFTER_MS,
    )


def predict_wait(state: ShardState, spec: JobSpec, now_ms: int) -> int:
    """Predict in ms how long a task of the job's team and kind would wait."""
    key = (spec.team, spec.kind)
    return state.flows.predict(key, state.waiting.counts, now_ms)
