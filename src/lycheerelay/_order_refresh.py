"""Update the queues and the worker index before jobs are placed."""

from itertools import islice
from typing import Final

from ._fence import may_start
from ._fit_capacity import capacity_of
from ._gang import refresh_reservations
from ._jobs import Kind, TaskState
from ._learn import allocated_demand
from ._order import ORDERS, OrderPolicy, band_of
from ._order_queues import URGENT, Entry, FitClass, QueueKey
from ._preempt_victims import is_movable
from ._resources import Resources
from ._state import JobInfo, ShardState

RESYNC_INTERVAL_MS: Final = 1000
GANG_RECHECK_MS: Final = 1000
# Accelerators count as scarce for this long after a check that found them so.
SCARCITY_HOLD_MS: Final = 5000
MAX_PENDING_PER_CYCLE: Final = 128
ACCELERATORS_INDEX: Final = Resources._fields.index('accelerators')


def refresh(state: ShardState, now_ms: int) -> None:
    """Apply what changed since the last scheduling cycle."""
    if now_ms - state.synced_ms >= RESYNC_INTERVAL_MS or state.synced_ms < 0:
        _resync(state, now_ms)
    refresh_reservations(state, now_ms)
    for name in tuple(state.ledger.touched):
        _offer(state, name, now_ms)
    state.ledger.touched.clear()
    _enqueue_changed(state, now_ms)


def demand_of(state: ShardState, job: JobInfo) -> Resources:
    """Return the resources allocated to one task of a job."""
    return allocated_demand(state, job.spec)


def _resync(state: ShardState, now_ms: int) -> None:
    was_scarce = state.synced_ms < state.scarce_until_ms
    state.synced_ms = now_ms
    is_scarce = state.waiting.is_scarce(ACCELERATORS_INDEX, state.ledger.total)
    if is_scarce and state.waiting.blocked.with_accelerators:
        state.scarce_until_ms = now_ms + SCARCITY_HOLD_MS
    elif was_scarce and now_ms >= state.scarce_until_ms:
        state.ledger.touched.update(dict.fromkeys(state.workers))
    shapes: dict[Resources, int] = {}
    for name, worker in state.workers.items():
        capacity = worker.spec.capacity
        shapes[capacity] = shapes.get(capacity, 0) + 1
        if worker.is_schedulable != (name in state.index.buckets):
            state.ledger.touched[name] = None
    state.flows.update(state.waiting.counts, now_ms)
    state.ledger.resize(shapes, state.policy.teams)


def _offer(state: ShardState, name: str, now_ms: int) -> None:
    worker = state.workers.get(name)
    if worker is None or not worker.is_schedulable:
        state.index.remove(name)
        return
    state.index.put(name, worker.free, worker.spec.capacity)
    state.waiting.offer(name, capacity_of(state, worker, now_ms))


def _enqueue_changed(state: ShardState, now_ms: int) -> None:
    waiting = state.waiting
    order = ORDERS[state.policy.limits.order]
    changed = dict.fromkeys(waiting.due(now_ms))
    changed.update(
        dict.fromkeys(islice(waiting.pending, MAX_PENDING_PER_CYCLE))
    )
    for job_id in changed:
        waiting.pending.pop(job_id, None)
        job = state.jobs.get(job_id)
        if job is None or job_id not in waiting:
            continue
        if may_start(state, job):
            _enqueue(state, order, job, now_ms)
        else:
            waiting.drop_entry(job_id)


def _enqueue(
    state: ShardState,
    order: OrderPolicy,
    job: JobInfo,
    now_ms: int,
) -> None:
    waiting = state.waiting
    queued = [
        index
        for index, task in enumerate(job.tasks)
        if task.state is TaskState.QUEUED
    ]
    due = [job.tasks[index].not_before_ms for index in queued]
    ready = [
        index
        for index, due_ms in zip(queued, due, strict=True)
        if due_ms <= now_ms
    ]
    later_ms = min((due_ms for due_ms in due if due_ms > now_ms), default=0)
    if later_ms:
        waiting.delay(later_ms, job.spec.job_id)
    if job.spec.kind is Kind.GANG and _is_split(job, later_ms):
        ready = []
        waiting.delay(later_ms or now_ms + GANG_RECHECK_MS, job.spec.job_id)
    if ready:
        waiting.add_entry(
            _entry(state, order, job, tuple(reversed(ready)), now_ms)
        )
    else:
        waiting.drop_entry(job.spec.job_id)


def _run_bits(expected_ms: int) -> int:
    """Return the bit length of a run time in ms, rounded up to be even.

    Run times within a factor of four share a fit class, which keeps the
    number of classes small.
    """
    bits = max(1, expected_ms).bit_length()
    return bits + bits % 2


def _is_split(job: JobInfo, later_ms: int) -> bool:
    """Return whether the queued tasks of a gang can't start together yet."""
    return later_ms > 0 or any(task.is_live for task in job.tasks)


def _entry(
    state: ShardState,
    order: OrderPolicy,
    job: JobInfo,
    indexes: tuple[int, ...],
    now_ms: int,
) -> Entry:
    spec = job.spec
    band = band_of(order, spec)
    fit_class = FitClass(
        demand_of(state, job),
        _run_bits(spec.expected_run_ms),
        len(indexes) if spec.kind is Kind.GANG else 1,
        band == URGENT,
        spec.kind is Kind.BATCH
        and all(is_movable(job, job.tasks[index]) for index in indexes),
    )
    rank = (
        order.due_ms(job),
        job.accepted_ms,
        state.waiting.next_serial(),
        spec.job_id,
    )
    state.ledger.record_need(fit_class.demand)
    key = QueueKey(band, spec.team, fit_class)
    return Entry(spec, key, rank, list(indexes), now_ms)
