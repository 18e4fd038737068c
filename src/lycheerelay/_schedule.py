"""Order waiting tasks, fit them to workers and record the intents."""

from collections.abc import Callable
from typing import Final

from . import _fit_baselines  # noqa: F401
from ._commands import Append
from ._fence import update_fence
from ._fit import FITS, FitPolicy
from ._gang import drop_reservation, is_review_due, reserve_for_waiting
from ._handlers import Commands
from ._jobs import Kind, TaskState
from ._kind_batch import Placement, is_current, place_next
from ._kind_gang import place_all
from ._kind_service import place_spread
from ._order import ORDERS, OrderPolicy
from ._order_queues import Entry
from ._order_refresh import refresh
from ._preempt import preempt_for_urgent
from ._preempt_reserved import preempt_for_reservations
from ._records import Intended, Start
from ._registry import Registry
from ._resources import Resources
from ._state import JobInfo, ShardState

MAX_STARTS_PER_CYCLE: Final = 32

KindPolicy = Callable[[ShardState, Entry, FitPolicy, int], list[Placement]]

KIND_POLICIES: Final[Registry[Kind, KindPolicy]] = Registry('kind policy')

KIND_POLICIES.register(Kind.BATCH)(place_next)
KIND_POLICIES.register(Kind.SERVICE)(place_spread)
KIND_POLICIES.register(Kind.GANG)(place_all)


def schedule(state: ShardState, now_ms: int) -> Commands:
    """Run one scheduling cycle: append intents in policy order."""
    update_fence(state, now_ms)
    refresh(state, now_ms)
    order = ORDERS[state.policy.limits.order]
    for job_id, chosen in _place_jobs(state, order, now_ms).items():
        yield Append(_plan_starts(state, state.jobs[job_id], chosen, now_ms))
    if order.is_managed:
        yield from preempt_for_urgent(state, now_ms)
    if order.is_managed and is_review_due(state, now_ms):
        reserve_for_waiting(state, now_ms)
        yield from preempt_for_reservations(state, now_ms)


def _place_jobs(
    state: ShardState,
    order: OrderPolicy,
    now_ms: int,
) -> dict[str, list[Placement]]:
    """Place the tasks that fit, by job, until the cycle's limit is reached."""
    planned: dict[str, list[Placement]] = {}
    starts = 0
    for entry in order.pick(state):
        placements = _place(state, entry, now_ms)
        if placements:
            planned.setdefault(entry.spec.job_id, []).extend(placements)
            rate_key = (entry.spec.team, entry.spec.kind)
            state.flows.record_starts(rate_key, len(placements), now_ms)
        starts += len(placements)
        if starts >= MAX_STARTS_PER_CYCLE:
            return planned
    state.waiting.blocked.finish()
    return planned


def _place(
    state: ShardState,
    entry: Entry,
    now_ms: int,
) -> list[Placement]:
    spec = entry.spec
    if not is_current(state, entry, now_ms):
        state.waiting.recheck(spec.job_id)
        return []
    workload = state.policy.workload(spec.workload)
    fit = FITS[workload.fit if workload else state.policy.limits.fit]
    placements: list[Placement] = []
    if not _is_known_infeasible(state, entry):
        placements = KIND_POLICIES[spec.kind](state, entry, fit, now_ms)
    for _, name in placements:
        state.waiting.blocked.use(name, state.workers[name].free)
    if not placements:
        missing = entry.missing if spec.kind is Kind.GANG else 1
        state.waiting.block(entry.key.fit_class, missing)
        return placements
    role = state.reservations.role_of(spec.job_id)
    if role is not None and (spec.kind is not Kind.GANG or not entry.indexes):
        drop_reservation(state, role)
    if not entry.indexes:
        _leave_queue(state, spec.job_id)
    return placements


def _is_known_infeasible(state: ShardState, entry: Entry) -> bool:
    """Return whether earlier searches prove that no worker fits."""
    if state.reservations.role_of(entry.spec.job_id) is not None:
        return False
    return state.waiting.blocked.is_blocked_by_smaller(entry.key.fit_class)


def _leave_queue(state: ShardState, job_id: str) -> None:
    """Remove a job from the queue unless a task waits for its retry delay."""
    state.waiting.drop_entry(job_id)
    if not state.waiting.is_delayed(job_id):
        state.waiting.pop(job_id)


def _start(job: JobInfo, index: int, allocated: Resources) -> Start:
    task = job.tasks[index]
    start = Start(index, task.attempt, task.worker, task.boot)
    if allocated == job.spec.demand:
        return start
    return start._replace(
        booked_cores_milli=allocated.cores_milli,
        booked_memory_mb=allocated.memory_mb,
    )


def _plan_starts(
    state: ShardState,
    job: JobInfo,
    placements: list[Placement],
    now_ms: int,
) -> Intended:
    starts = []
    for index, worker in placements:
        task = job.tasks[index]
        task.attempt += 1
        task.state = TaskState.INTENDED
        task.recorded = False
        task.stopping_ms = 0
        task.worker = worker
        task.boot = state.workers[worker].boot
        allocated = state.workers[worker].charges[job.attempt_key(index)]
        starts.append(_start(job, index, allocated))
    return Intended(
        state.pool,
        state.term,
        job.spec.job_id,
        tuple(starts),
        now_ms,
    )
