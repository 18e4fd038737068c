"""Start suspected tasks where nothing else has just begun.

Load: tasks that crash their workers, in a cell so full that no worker is ever
empty, and workers that crash under dozens of services. A worker that runs nothing
is used at once, another one is held until all of its runs are settled. Then the
suspected tasks of one step start there, or those of several if there are more of
them than workers, and nothing else does until they have ended or settled. So a
crash has few explanations, and takes little other work with it. A gang holds as
many workers as it needs.
"""

from collections.abc import Iterable, Sequence
from itertools import repeat
from typing import Final

from ._advice import (
    MAX_WORKERS_PER_RENEWAL,
    ask_about_new_workers,
    call_advisor,
    may_ask,
)
from ._fit import count_fitting, has_ticket, score_worker
from ._log_events import log_event
from ._pool_cycle import PoolCycle, startable_tasks, step_candidates
from ._probation import watch_run
from ._runs import start_run
from ._starting import log_starts, next_run_number
from ._state import CellState, Run, StepInfo, TaskInfo, WorkerInfo
from ._suspects import has_worked, is_settled
from ._trial_groups import idle_workers, runs_on_trial, shareable_workers

# A worker is held for this time at most while its step is not decided on again.
HOLD_MS: Final = 500


def start_trials(
    cell: CellState, step: StepInfo, cycle: PoolCycle, now_ms: int
) -> int:
    """Start the suspected tasks of a step where nothing else has just begun."""
    tasks = _startable_suspects(cell, step, now_ms)
    tasks = tasks[: cycle.quotas.count_startable(step)]
    if not tasks or _is_trial_open(step, now_ms):
        return 0
    held = [
        worker
        for worker in cycle.held.get(step.key, ())
        if not runs_on_trial(worker, now_ms)
    ]
    workers = [] if held else _choose_at_once(cell, step, cycle, tasks, now_ms)
    if not workers:
        needed = len(tasks) if step.spec.gang else 1
        workers = _hold_workers(cell, step, cycle, needed, held, now_ms)
    return _start(cell, step, cycle, tasks, workers, now_ms) if workers else 0


def _hold_workers(
    cell: CellState,
    step: StepInfo,
    cycle: PoolCycle,
    needed: int,
    held: list[WorkerInfo],
    now_ms: int,
) -> list[WorkerInfo]:
    """Hold workers for a step; return them once all of them are ready."""
    workers = list(held)
    if _count_slots(step, workers) < needed:
        workers += _choose(step, cycle, needed, workers, now_ms)
    policy = step.job.spec.advice
    if _count_slots(step, workers) < needed:
        if policy is not None:
            ask_about_new_workers(
                cell, step, policy, cycle.usable_for(step), now_ms
            )
        return []
    for worker in workers:
        _note_hold(cell, worker, step, now_ms)
    cycle.hold(step, workers, now_ms + HOLD_MS)
    if not all(map(_is_ready, workers)):
        return []
    expired = [
        worker for worker in workers if not has_ticket(step, worker, now_ms)
    ]
    if expired and policy is not None and may_ask(step, now_ms):
        call_advisor(cell, step, policy, expired, is_urgent=True)
    return [] if expired else workers


def _choose_at_once(
    cell: CellState,
    step: StepInfo,
    cycle: PoolCycle,
    tasks: Sequence[TaskInfo],
    now_ms: int,
) -> list[WorkerInfo]:
    """Return workers that need no hold: one with a new trial, or idle ones."""
    shared = shareable_workers(cell, step, cycle, tasks, now_ms)
    for worker in shared:
        has_begun = runs_on_trial(worker, now_ms)
        if has_begun and has_ticket(step, worker, now_ms):
            return [worker]
    needed = len(tasks) if step.spec.gang else 1
    idle = [
        worker
        for worker in idle_workers(step_candidates(step, cycle), cycle)
        if count_fitting(step, worker, {}, now_ms)
    ]
    idle.sort(key=lambda worker: score_worker(step, worker, None))
    ready = [worker for worker in idle if has_ticket(step, worker, now_ms)]
    for count, _ in enumerate(ready, 1):
        if _count_slots(step, ready[:count]) >= needed:
            return ready[:count]
    _renew_tickets(cell, step, idle + shared, needed, now_ms)
    return []


def _renew_tickets(
    cell: CellState,
    step: StepInfo,
    workers: Sequence[WorkerInfo],
    needed: int,
    now_ms: int,
) -> None:
    policy = step.job.spec.advice
    if policy is None or not may_ask(step, now_ms):
        return
    expired = [
        worker for worker in workers if not has_ticket(step, worker, now_ms)
    ]
    count = max(needed, MAX_WORKERS_PER_RENEWAL)
    call_advisor(cell, step, policy, expired[:count], is_urgent=True)


def _startable_suspects(
    cell: CellState, step: StepInfo, now_ms: int
) -> list[TaskInfo]:
    tasks = startable_tasks(cell, step, now_ms)
    if step.spec.gang:
        return tasks if len(tasks) == len(step.tasks) else []
    return [task for task in tasks if task.index in step.suspects]


def _is_trial_open(step: StepInfo, now_ms: int) -> bool:
    return any(
        run.trial_until_ms > now_ms and not has_worked(run)
        for index in step.suspects
        for run in step.tasks[index].runs.values()
    )


def _choose(
    step: StepInfo,
    cycle: PoolCycle,
    needed: int,
    held: Sequence[WorkerInfo],
    now_ms: int,
) -> list[WorkerInfo]:
    """Return the workers to hold in addition, those that are ready soonest."""
    candidates = [
        worker
        for worker in step_candidates(step, cycle)
        if worker not in cycle.held.get(step.key, ())
        and _count_slots(step, [worker])
    ]
    candidates.sort(
        key=lambda worker: (
            worker in cycle.reserved,
            not _has_room_soon(step, worker),
            not has_ticket(step, worker, now_ms),
            _count_unsettled(worker),
            score_worker(step, worker, None),
        )
    )
    chosen: list[WorkerInfo] = []
    for worker in candidates:
        if _count_slots(step, [*held, *chosen]) >= needed:
            break
        chosen.append(worker)
    is_enough = _count_slots(step, [*held, *chosen]) >= needed
    return chosen if is_enough and cycle.may_hold(step, len(chosen)) else []


def _count_slots(step: StepInfo, workers: Iterable[WorkerInfo]) -> int:
    """Return how many tasks fit once all runs but those that last are over."""
    return sum(
        _count_on(
            step,
            worker,
            (run for run in worker.runs.values() if not run.step.spec.lasts),
        )
        for worker in workers
    )


def _has_room_soon(step: StepInfo, worker: WorkerInfo) -> bool:
    """Return whether a task fits once the runs that have just begun are over."""
    unsettled = (run for run in worker.runs.values() if not is_settled(run))
    return _count_on(step, worker, unsettled) > 0


def _count_on(step: StepInfo, worker: WorkerInfo, ending: Iterable[Run]) -> int:
    free = worker.free
    for run in ending:
        free = free.plus(run.demand)
    spec = step.spec
    count = spec.demand.times_in(free) if any(spec.demand) else spec.width
    if spec.spread_limit:
        used = step.runs_per_worker.get(worker.key, 0)
        count = min(count, spec.spread_limit - used)
    return max(count, 0)


def _count_unsettled(worker: WorkerInfo) -> int:
    return sum(not is_settled(run) for run in worker.runs.values())


def _is_ready(worker: WorkerInfo) -> bool:
    # Polls are short from the first answer after the hold on, so that a later
    # crash is not taken for one at the start.
    is_polled_often = worker.last_contact_ms > worker.held_since_ms
    return is_polled_often and not _count_unsettled(worker)


def _note_hold(
    cell: CellState, worker: WorkerInfo, step: StepInfo, now_ms: int
) -> None:
    if worker.held_for == step.key and _is_held(worker, now_ms):
        return
    if worker.last_contact_ms >= worker.held_until_ms:
        # Otherwise the poll in progress was sent while the worker was held.
        worker.held_since_ms = now_ms
    log_event(
        cell,
        'worker_held',
        worker=worker.worker_id,
        step=step.key,
        unsettled=_count_unsettled(worker),
    )


def _is_held(worker: WorkerInfo, now_ms: int) -> bool:
    return worker.held_until_ms > now_ms


def _start(
    cell: CellState,
    step: StepInfo,
    cycle: PoolCycle,
    tasks: Sequence[TaskInfo],
    workers: Sequence[WorkerInfo],
    now_ms: int,
) -> int:
    slots = [
        slot
        for worker in workers
        for slot in repeat(worker, count_fitting(step, worker, {}, now_ms))
    ]
    if step.spec.gang and len(slots) < len(tasks):
        return 0
    for worker in workers:
        if not _is_held(worker, now_ms):
            _note_hold(cell, worker, step, now_ms)
            cycle.hold(step, [worker], now_ms + HOLD_MS)
    # The members of a gang share their number.
    number = next_run_number(list(tasks))
    runs = [
        start_run(cell, step, task, worker, number, now_ms)
        for task, worker in zip(tasks, slots, strict=False)
    ]
    for run in runs:
        watch_run(run, now_ms)
        run.holds_worker = True
        run.worker.held_until_ms = run.trial_until_ms
    log_starts(cell, step, runs, now_ms)
    return len(runs)
