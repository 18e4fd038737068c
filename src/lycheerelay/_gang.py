"""Reserve capacity for the first blocked gang and the first overdue job."""

from collections.abc import Iterator
from heapq import nsmallest
from itertools import islice
from typing import Final

from ._jobs import Kind, TaskState
from ._order_queues import Entry
from ._preempt_victims import is_movable
from ._reservation import Reservation
from ._resources import Resources
from ._state import JobInfo, ShardState, TaskInfo, WorkerInfo

GANG_ROLE: Final = 'gang'
# The role of a job that waited past the priority-aging limit, `patience_ms`.
AGED_ROLE: Final = 'patient'
REVIEW_INTERVAL_MS: Final = 500
URGENT_TTL_MS: Final = 2500
# A movable attempt is expected to free its worker this long after its stop.
CHECKPOINT_MS: Final = 2000
# An older reservation keeps its workers, so that it is not postponed forever.
MAX_REPLANNING_MS: Final = 600_000
# An overdue reservation stays closed to backfill if it can start this soon.
MAX_HARD_WAIT_MS: Final = 5000
MIN_COMPARED_WORKERS: Final = 32
COMPARED_WORKERS_PER_TASK: Final = 2

# Start time in ms, number of tasks that fit on the worker before, worker.
Opening = tuple[int, int, str]


def refresh_reservations(state: ShardState, now_ms: int) -> None:
    """Drop obsolete reservations and end backfill on those that are due."""
    for role, reservation in tuple(state.reservations.by_role.items()):
        if _is_obsolete(state, reservation, now_ms):
            drop_reservation(state, role)
        elif now_ms >= reservation.at_ms:
            reservation.hard = True


def drop_reservation(state: ShardState, role: str) -> None:
    """Drop a reservation and offer its workers to other jobs again."""
    for name in state.reservations.drop(role):
        state.ledger.touched[name] = None


def _is_obsolete(
    state: ShardState,
    reservation: Reservation,
    now_ms: int,
) -> bool:
    if reservation.job_id not in state.waiting.entries:
        return True
    if reservation.urgent:
        return now_ms - reservation.made_ms >= URGENT_TTL_MS
    workers = [state.workers.get(name) for name in reservation.holds]
    return not all(
        worker is not None and worker.is_schedulable for worker in workers
    )


def is_review_due(state: ShardState, now_ms: int) -> bool:
    """Return whether to review the reservations, and record the review."""
    if now_ms - state.reserved_ms < REVIEW_INTERVAL_MS:
        return False
    state.reserved_ms = now_ms
    return True


def reserve_for_waiting(state: ShardState, now_ms: int) -> None:
    """Reserve for the first blocked gang and the first overdue job."""
    for role in (GANG_ROLE, AGED_ROLE):
        reservation = state.reservations.by_role.get(role)
        if reservation is None:
            _reserve_first(state, role, now_ms)
        elif not reservation.is_preempting(now_ms):
            _replan(state, role, reservation, now_ms)


def _replan(
    state: ShardState,
    role: str,
    reservation: Reservation,
    now_ms: int,
) -> None:
    """Plan a reservation again from the current allocations.

    One that is not due yet is replaced only by an earlier start, which opens
    up when other jobs end sooner than expected.
    """
    if now_ms - reservation.made_ms >= MAX_REPLANNING_MS:
        return
    drop_reservation(state, role)
    entry = state.waiting.entries.get(reservation.job_id)
    if entry is None:
        return
    plan = plan_reservation(state, entry, now_ms)
    is_worse = not reservation.hard and plan and plan.at_ms >= reservation.at_ms
    if plan is None or is_worse:
        state.reservations.make(role, reservation)
        return
    plan.made_ms = reservation.made_ms
    # Backfill that ran longer than expected has postponed the start already.
    plan.hard = reservation.hard and plan.at_ms - now_ms <= MAX_HARD_WAIT_MS
    state.reservations.make(role, plan)
    state.waiting.reopen(entry.key.fit_class)


def _reserve_first(state: ShardState, role: str, now_ms: int) -> None:
    reserved = {held.job_id for held in state.reservations.by_role.values()}
    entries = (
        entry
        for entry in _blocked_heads(state)
        if entry.spec.job_id not in reserved
        and _is_eligible(state, entry, role, now_ms)
    )
    first = min(entries, key=lambda entry: entry.rank, default=None)
    if first is None:
        return
    reservation = plan_reservation(state, first, now_ms)
    if reservation is not None:
        state.reservations.make(role, reservation)
        state.waiting.reopen(first.key.fit_class)


def _is_eligible(
    state: ShardState,
    entry: Entry,
    role: str,
    now_ms: int,
) -> bool:
    if role == GANG_ROLE:
        return entry.key.fit_class.width > 1
    waited_ms = now_ms - entry.enqueued_ms
    return waited_ms >= state.policy.limits.patience_ms


def _blocked_heads(state: ShardState) -> Iterator[Entry]:
    waiting = state.waiting
    for fit_class in waiting.blocked.classes:
        for key in waiting.classes.get(fit_class, ()):
            entry = waiting.head(key)
            if entry is not None:
                yield entry


def plan_reservation(
    state: ShardState,
    entry: Entry,
    now_ms: int,
) -> Reservation | None:
    """Choose the workers that can hold every task soonest."""
    fit_class = entry.key.fit_class
    openings = (
        opening
        for worker in _sample_workers(state, fit_class.demand, fit_class.width)
        for opening in _openings(state, worker, fit_class.demand, now_ms)
    )
    chosen = nsmallest(fit_class.width, openings)
    if len(chosen) < fit_class.width:
        return None
    holds: dict[str, Resources] = {}
    for _, _, name in chosen:
        held = holds.get(name, Resources())
        holds[name] = held.plus(fit_class.demand)
    return Reservation(entry.spec.job_id, chosen[-1][0], now_ms, holds)


def _sample_workers(
    state: ShardState,
    demand: Resources,
    width: int,
) -> Iterator[WorkerInfo]:
    suitable = (
        state.workers[name]
        for name in state.index.most_free_first()
        if name in state.workers
        and _is_suitable(state, state.workers[name].spec.capacity, demand)
        and name not in state.reservations.by_worker
    )
    limit = max(MIN_COMPARED_WORKERS, COMPARED_WORKERS_PER_TASK * width)
    return islice(suitable, limit)


def _is_suitable(
    state: ShardState,
    capacity: Resources,
    demand: Resources,
) -> bool:
    """Check the capacity; spare accelerators if a plain worker suffices."""
    if not demand.fits_in(capacity):
        return False
    if demand.accelerators or not capacity.accelerators:
        return True
    return not any(
        demand.fits_in(shape)
        for shape in state.ledger.shapes
        if not shape.accelerators
    )


def _openings(
    state: ShardState,
    worker: WorkerInfo,
    demand: Resources,
    now_ms: int,
) -> Iterator[Opening]:
    """Iterate over the times at which one more task fits."""
    name = worker.spec.name
    free = worker.free
    counted = 0
    for end_ms, held in _allocation_ends(state, worker, now_ms):
        free = free.plus(held)
        count = demand.times_in(free)
        for earlier_tasks in range(counted, count):
            yield end_ms, earlier_tasks, name
        counted = max(counted, count)


def _allocation_ends(
    state: ShardState,
    worker: WorkerInfo,
    now_ms: int,
) -> list[tuple[int, Resources]]:
    ends = [(now_ms, Resources())]
    for key, held in worker.charges.items():
        job = state.jobs.get(key.job_id)
        if job is not None and job.spec.kind is not Kind.SERVICE:
            ends.append((_possible_end(job, key.task_index, now_ms), held))
    return sorted(ends)


def _possible_end(job: JobInfo, index: int, now_ms: int) -> int:
    """Return when an attempt ends, or when it can be checkpointed."""
    task = job.tasks[index]
    end_ms = expected_end(task, job.spec.expected_run_ms, now_ms)
    if is_movable(job, task):
        return min(end_ms, now_ms + CHECKPOINT_MS)
    return end_ms


def expected_end(task: TaskInfo, expected_ms: int, now_ms: int) -> int:
    """Estimate the end; an overdue task is expected to run as long again."""
    if task.state is not TaskState.RUNNING and not task.recorded:
        return now_ms + expected_ms
    end_ms = task.started_ms + expected_ms
    if end_ms > now_ms:
        return end_ms
    return now_ms + max(1, now_ms - task.started_ms)
