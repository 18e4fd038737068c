"""Start what waits, in order, where it fits."""

from dataclasses import dataclass, field

from .._resources import Resources
from ._advice import (
    FRESH_STEPS,
    ask_first,
    can_ask,
    renew,
    renew_ahead,
)
from ._fit import (
    Options,
    Reserved,
    candidates,
    free_at,
    has_ticket,
    is_usable,
    room_for,
    score,
)
from ._log_events import log_event
from ._order import ORDERS
from ._runs import start_run
from ._state import CellState, StepInfo, TaskInfo, WorkerInfo


@dataclass(slots=True)
class PoolPass:
    """Track one pass over the waiting steps of a pool.

    `usable` holds the workers that take new runs, `most_free` the largest
    free amounts among them, each for itself.
    """

    usable: dict[str, WorkerInfo]
    most_free: Resources
    rank: int = 0
    reserving: int = 0
    reserved: dict[str, Reserved] = field(default_factory=dict)


def dispatch(cell: CellState, now_ms: int) -> int:
    """Start what fits; return how many runs were started."""
    if not cell.loaded or cell.deposed:
        return 0
    waiting = [step for step in cell.open_steps.values() if step.waiting]
    order = ORDERS[cell.order]
    waiting.sort(key=lambda step: order(step, now_ms))
    passes: dict[str, PoolPass] = {}
    started = 0
    for step in waiting:
        pool = step.job.spec.pool
        turn = passes.get(pool)
        if turn is None:
            turn = _begin_pass(cell, pool, now_ms)
            passes[pool] = turn
        started += _serve(cell, step, turn, now_ms)
        turn.rank += 1
    return started


def _begin_pass(cell: CellState, pool: str, now_ms: int) -> PoolPass:
    usable = {
        worker.worker_id: worker
        for worker in cell.workers.values()
        if worker.pool == pool and is_usable(worker, now_ms)
    }
    free = [worker.free for worker in usable.values()]
    most_free = Resources(
        *(max(amounts) for amounts in zip(*free, strict=True))
    )
    return PoolPass(usable, most_free)


def _may_run_unseen(cell: CellState, task: TaskInfo, now_ms: int) -> bool:
    """Tell whether a worker that has not answered may hold a run."""
    return (
        task.assigned in cell.unsynced_workers
        and now_ms < cell.previous_orders_expire_ms
    )


def _serve(
    cell: CellState,
    step: StepInfo,
    turn: PoolPass,
    now_ms: int,
) -> int:
    policy = step.job.spec.advice
    if policy is not None and not step.asked_workers:
        ask_first(cell, step, policy, turn.usable, now_ms)
        return 0
    started = 0
    may_fit = step.spec.demand.fits_in(turn.most_free)
    if not may_fit and policy is None and not _is_wide(step):
        return 0
    workers = _candidates(step, turn)
    if may_fit:
        tasks = _startable(cell, step, now_ms)
        if not tasks:
            return 0
        serve = _start_gang if step.spec.gang else _start_tasks
        started = serve(cell, step, turn, tasks, workers, now_ms)
        if started == len(tasks):
            return started
    _wait_for_room(cell, step, turn, workers, now_ms)
    return started


def _startable(cell: CellState, step: StepInfo, now_ms: int) -> list[TaskInfo]:
    return [
        step.tasks[index]
        for index in step.waiting
        if step.tasks[index].not_before_ms <= now_ms
        and not _may_run_unseen(cell, step.tasks[index], now_ms)
    ]


def _candidates(step: StepInfo, turn: PoolPass) -> list[WorkerInfo]:
    if step.job.spec.advice is None:
        return candidates(turn.usable.values(), step)
    # Only workers that may run the step were asked about.
    usable = turn.usable
    return [usable[name] for name in step.eligible_workers if name in usable]


def _wait_for_room(
    cell: CellState,
    step: StepInfo,
    turn: PoolPass,
    workers: list[WorkerInfo],
    now_ms: int,
) -> None:
    policy = step.job.spec.advice
    if policy is not None and can_ask(step, now_ms):
        expired = [
            worker
            for worker in workers
            if not has_ticket(step, worker, now_ms)
            and room_for(step, worker, turn.reserved, now_ms)
        ]
        if expired:
            renew(cell, step, policy, expired, now_ms)
        elif turn.rank < FRESH_STEPS:
            renew_ahead(cell, step, policy, now_ms)
        if can_ask(step, now_ms):
            ask_first(cell, step, policy, turn.usable, now_ms)
    if not _is_wide(step):
        return
    if turn.reserving < cell.reserving_steps:
        turn.reserving += 1
        _reserve(step, turn, workers, now_ms)


def _is_wide(step: StepInfo) -> bool:
    demand = step.spec.demand
    return step.spec.gang or demand.accelerators > 1


def _reserve(
    step: StepInfo,
    turn: PoolPass,
    workers: list[WorkerInfo],
    now_ms: int,
) -> None:
    demand = step.spec.demand
    missing = len(step.waiting)
    options = sorted(
        (free_at(worker, demand, now_ms), index, worker)
        for index, worker in enumerate(workers)
        if worker.worker_id not in turn.reserved
    )
    for from_ms, _, worker in options:
        if missing <= 0:
            return
        fitting = max(demand.times_in(worker.capacity), 1)
        count = min(missing, fitting)
        room = demand.times(count)
        turn.reserved[worker.worker_id] = Reserved(step.key, room, from_ms)
        missing -= count


def _start_tasks(
    cell: CellState,
    step: StepInfo,
    turn: PoolPass,
    tasks: list[TaskInfo],
    workers: list[WorkerInfo],
    now_ms: int,
) -> int:
    options = Options(step, turn.reserved, now_ms)
    for worker in workers:
        if has_ticket(step, worker, now_ms):
            options.judge(worker)
    started = 0
    for task in tasks:
        best = options.best(task)
        if best is None:
            break
        _start(cell, step, task, best, next_run([task]), now_ms)
        options.judge(best)
        started += 1
    return started


def _start_gang(
    cell: CellState,
    step: StepInfo,
    turn: PoolPass,
    tasks: list[TaskInfo],
    workers: list[WorkerInfo],
    now_ms: int,
) -> int:
    if len(tasks) < len(step.tasks):
        return 0
    open_workers = [
        worker for worker in workers if has_ticket(step, worker, now_ms)
    ]
    plan = _plan_gang(step, turn, open_workers, now_ms)
    if not plan:
        return 0
    number = next_run(step.tasks)
    for task, worker in zip(step.tasks, plan, strict=True):
        _start(cell, step, task, worker, number, now_ms)
    return len(plan)


def _plan_gang(
    step: StepInfo,
    turn: PoolPass,
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
        plan = _fill_group(step, turn, group, now_ms)
        if len(plan) == len(step.tasks):
            return plan
    return []


def _fill_group(
    step: StepInfo,
    turn: PoolPass,
    workers: list[WorkerInfo],
    now_ms: int,
) -> list[WorkerInfo]:
    plan: list[WorkerInfo] = []
    first = step.tasks[0]
    ranked = sorted(workers, key=lambda worker: score(step, worker, first))
    for worker in ranked:
        missing = len(step.tasks) - len(plan)
        room = room_for(step, worker, turn.reserved, now_ms)
        plan.extend(worker for _ in range(min(room, missing)))
    return plan


def next_run(tasks: list[TaskInfo]) -> int:
    """Return a number above every run that was started."""
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
