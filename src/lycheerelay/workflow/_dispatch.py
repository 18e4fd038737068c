"""Start waiting tasks in order on workers where they fit."""

from dataclasses import dataclass, field

from .._resources import Resources
from ._advice import (
    STEPS_WITH_FRESH_TICKETS,
    ask_about_new_workers,
    may_ask,
    renew_expiring_tickets,
    renew_tickets,
)
from ._fit import (
    CandidateRanking,
    ReservedCapacity,
    candidates,
    count_fitting,
    estimate_free_ms,
    has_ticket,
    is_usable,
    score_worker,
)
from ._log_events import log_event
from ._order import ORDERS
from ._runs import start_run
from ._state import CellState, StepInfo, TaskInfo, WorkerInfo


@dataclass(slots=True)
class PoolCycle:
    """Track one scheduling cycle over the waiting steps of a pool.

    `usable` holds the workers that accept new runs. `max_free` holds the
    largest free amount of each resource among them; the amounts may belong to
    different workers. `position` counts the steps handled before the
    current one.
    """

    usable: dict[str, WorkerInfo]
    max_free: Resources
    position: int = 0
    reserving_steps: int = 0
    reserved: dict[str, ReservedCapacity] = field(default_factory=dict)


def dispatch(cell: CellState, now_ms: int) -> int:
    """Start the tasks that fit and return the number of started runs."""
    if not cell.loaded or cell.deposed:
        return 0
    waiting = [step for step in cell.open_steps.values() if step.waiting]
    order = ORDERS[cell.order]
    waiting.sort(key=lambda step: order(step, now_ms))
    cycles: dict[str, PoolCycle] = {}
    started = 0
    for step in waiting:
        pool = step.job.spec.pool
        cycle = cycles.get(pool)
        if cycle is None:
            cycle = _begin_cycle(cell, pool, now_ms)
            cycles[pool] = cycle
        started += _dispatch_step(cell, step, cycle, now_ms)
        cycle.position += 1
    return started


def _begin_cycle(cell: CellState, pool: str, now_ms: int) -> PoolCycle:
    usable = {
        worker.worker_id: worker
        for worker in cell.workers.values()
        if worker.pool == pool and is_usable(worker, now_ms)
    }
    free = [worker.free for worker in usable.values()]
    max_free = Resources(*(max(amounts) for amounts in zip(*free, strict=True)))
    return PoolCycle(usable, max_free)


def _may_still_run(cell: CellState, task: TaskInfo, now_ms: int) -> bool:
    """Return whether an unsynced worker may still run the task."""
    return (
        task.assigned_worker in cell.unsynced_workers
        and now_ms < cell.previous_orders_expire_ms
    )


def _dispatch_step(
    cell: CellState,
    step: StepInfo,
    cycle: PoolCycle,
    now_ms: int,
) -> int:
    policy = step.job.spec.advice
    if policy is not None and not step.asked_workers:
        ask_about_new_workers(cell, step, policy, cycle.usable, now_ms)
        return 0
    started = 0
    may_fit = step.spec.demand.fits_in(cycle.max_free)
    if not may_fit and policy is None and not _needs_reserved_capacity(step):
        return 0
    workers = _step_candidates(step, cycle)
    if may_fit:
        tasks = _startable_tasks(cell, step, now_ms)
        if not tasks:
            return 0
        start = _start_gang if step.spec.gang else _start_tasks
        started = start(cell, step, cycle, tasks, workers, now_ms)
        if started == len(tasks):
            return started
    _prepare_next_start(cell, step, cycle, workers, now_ms)
    return started


def _startable_tasks(
    cell: CellState, step: StepInfo, now_ms: int
) -> list[TaskInfo]:
    return [
        step.tasks[index]
        for index in step.waiting
        if step.tasks[index].not_before_ms <= now_ms
        and not _may_still_run(cell, step.tasks[index], now_ms)
    ]


def _step_candidates(step: StepInfo, cycle: PoolCycle) -> list[WorkerInfo]:
    if step.job.spec.advice is None:
        return candidates(cycle.usable.values(), step)
    # The advisor is asked only about workers that meet the requirements.
    usable = cycle.usable
    return [
        usable[worker_id]
        for worker_id in step.eligible_workers
        if worker_id in usable
    ]


def _prepare_next_start(
    cell: CellState,
    step: StepInfo,
    cycle: PoolCycle,
    workers: list[WorkerInfo],
    now_ms: int,
) -> None:
    policy = step.job.spec.advice
    if policy is not None and may_ask(step, now_ms):
        expired = [
            worker
            for worker in workers
            if not has_ticket(step, worker, now_ms)
            and count_fitting(step, worker, cycle.reserved, now_ms)
        ]
        if expired:
            renew_tickets(cell, step, policy, expired, now_ms)
        elif cycle.position < STEPS_WITH_FRESH_TICKETS:
            renew_expiring_tickets(cell, step, policy, now_ms)
        if may_ask(step, now_ms):
            ask_about_new_workers(cell, step, policy, cycle.usable, now_ms)
    if not _needs_reserved_capacity(step):
        return
    if cycle.reserving_steps < cell.reserving_steps:
        cycle.reserving_steps += 1
        _reserve(step, cycle, workers, now_ms)


def _needs_reserved_capacity(step: StepInfo) -> bool:
    demand = step.spec.demand
    return step.spec.gang or demand.accelerators > 1


def _reserve(
    step: StepInfo,
    cycle: PoolCycle,
    workers: list[WorkerInfo],
    now_ms: int,
) -> None:
    demand = step.spec.demand
    missing = len(step.waiting)
    by_free_time = sorted(
        (estimate_free_ms(worker, demand, now_ms), index, worker)
        for index, worker in enumerate(workers)
        if worker.worker_id not in cycle.reserved
    )
    for from_ms, _, worker in by_free_time:
        if missing <= 0:
            return
        fitting = max(demand.times_in(worker.capacity), 1)
        count = min(missing, fitting)
        amount = demand.times(count)
        cycle.reserved[worker.worker_id] = ReservedCapacity(
            step.key, amount, from_ms
        )
        missing -= count


def _start_tasks(
    cell: CellState,
    step: StepInfo,
    cycle: PoolCycle,
    tasks: list[TaskInfo],
    workers: list[WorkerInfo],
    now_ms: int,
) -> int:
    ranking = CandidateRanking(step, cycle.reserved, now_ms)
    for worker in workers:
        if has_ticket(step, worker, now_ms):
            ranking.update(worker)
    started = 0
    for task in tasks:
        best = ranking.best(task)
        if best is None:
            break
        _start(cell, step, task, best, next_run_number([task]), now_ms)
        ranking.update(best)
        started += 1
    return started


def _start_gang(
    cell: CellState,
    step: StepInfo,
    cycle: PoolCycle,
    tasks: list[TaskInfo],
    workers: list[WorkerInfo],
    now_ms: int,
) -> int:
    if len(tasks) < len(step.tasks):
        return 0
    ticketed_workers = [
        worker for worker in workers if has_ticket(step, worker, now_ms)
    ]
    plan = _plan_gang(step, cycle, ticketed_workers, now_ms)
    if not plan:
        return 0
    number = next_run_number(step.tasks)
    for task, worker in zip(step.tasks, plan, strict=True):
        _start(cell, step, task, worker, number, now_ms)
    return len(plan)


def _plan_gang(
    step: StepInfo,
    cycle: PoolCycle,
    workers: list[WorkerInfo],
    now_ms: int,
) -> list[WorkerInfo]:
    groups = [workers]
    if step.spec.same_rack:
        racks = dict.fromkeys(worker.rack for worker in workers)
        groups = [
            [worker for worker in workers if worker.rack == rack]
            for rack in racks
        ]
        groups.append(workers)
    for group in groups:
        plan = _plan_within_group(step, cycle, group, now_ms)
        if len(plan) == len(step.tasks):
            return plan
    return []


def _plan_within_group(
    step: StepInfo,
    cycle: PoolCycle,
    workers: list[WorkerInfo],
    now_ms: int,
) -> list[WorkerInfo]:
    plan: list[WorkerInfo] = []
    first = step.tasks[0]
    ranked = sorted(
        workers, key=lambda worker: score_worker(step, worker, first)
    )
    for worker in ranked:
        missing = len(step.tasks) - len(plan)
        fitting = count_fitting(step, worker, cycle.reserved, now_ms)
        plan.extend(worker for _ in range(min(fitting, missing)))
    return plan


def next_run_number(tasks: list[TaskInfo]) -> int:
    """Return a number above those of all started runs."""
    return max(task.last_run for task in tasks) + 1


def _start(
    cell: CellState,
    step: StepInfo,
    task: TaskInfo,
    worker: WorkerInfo,
    number: int,
    now_ms: int,
) -> None:
    start_run(cell, step, task, worker, number, now_ms)
    log_event(
        cell,
        'run_started',
        run=step.key,
        index=task.index,
        number=number,
        worker=worker.worker_id,
        slack_ms=step.latest_start_ms - now_ms,
        fence=cell.fence,
    )
