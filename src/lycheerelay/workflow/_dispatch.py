"""Start waiting tasks in order on workers where they fit."""

from itertools import islice

from ._advice import (
    STEPS_WITH_FRESH_TICKETS,
    ask_about_new_workers,
    may_ask,
    renew_expiring_tickets,
    renew_tickets,
)
from ._deferred_stops import begin_stop_cycle
from ._fit import CandidateRanking, count_fitting, has_ticket
from ._gangs import GANG_POLICIES
from ._hopeless import HopelessFilter
from ._last_resort import note_progress
from ._log_events import log_event
from ._openings import earliest_openings
from ._order import choose_order
from ._pool_cycle import (
    MAX_STARTS_PER_CYCLE,
    PoolCycle,
    begin_cycle,
    iter_startable,
    step_candidates,
)
from ._quota import QuotaCycle
from ._runs import start_run
from ._starting import log_starts, next_run_number
from ._state import NEVER, CellState, StepInfo, TaskInfo, WorkerInfo
from ._trials import start_trials


def dispatch(cell: CellState, now_ms: int) -> int:
    """Start the tasks that fit and return the number of started runs.

    `cell.dispatch_unfinished` tells whether another call may start or stop more at
    once.
    """
    cell.dispatch_unfinished = False
    if not cell.loaded or cell.deposed:
        return 0
    has_more_stops = begin_stop_cycle(cell, now_ms)
    waiting = [step for step in cell.open_steps.values() if step.waiting]
    waiting = choose_order(cell)(cell, waiting, now_ms)
    cycles: dict[str, PoolCycle] = {}
    quotas = QuotaCycle(cell, now_ms)
    hopeless = HopelessFilter(cell, now_ms)
    started = 0
    for step in waiting:
        # The steps that follow wait for the next cycle, so that none of them
        # takes the capacity of this one.
        if started >= MAX_STARTS_PER_CYCLE:
            break
        if _is_left_out(step, quotas, hopeless):
            continue
        pool = step.job.spec.pool
        cycle = cycles.get(pool)
        if cycle is None:
            cycle = begin_cycle(cell, pool, quotas, now_ms)
            cycles[pool] = cycle
        cycle.starts_left = MAX_STARTS_PER_CYCLE - started
        started += _decide_step(cell, step, cycle, now_ms)
    cell.dispatch_unfinished = started >= MAX_STARTS_PER_CYCLE
    if not cell.dispatch_unfinished:
        quotas.finish()
        cell.wanted_workers = {
            pool: frozenset(worker.key for worker in cycle.reserved)
            for pool, cycle in cycles.items()
        }
    cell.dispatch_unfinished |= has_more_stops
    return started


def _is_left_out(
    step: StepInfo, quotas: QuotaCycle, hopeless: HopelessFilter
) -> bool:
    return _is_still_held(step, quotas) or hopeless.contains(step)


def _is_still_held(step: StepInfo, quotas: QuotaCycle) -> bool:
    """Return whether the quota holds a step back as in the last cycle."""
    account = step.job.account
    if account is None or step.held_epoch != account.epoch:
        return False
    quotas.keep_held(account)
    return True


def _decide_step(
    cell: CellState, step: StepInfo, cycle: PoolCycle, now_ms: int
) -> int:
    runs = _try_step(cell, step, cycle, now_ms)
    note_progress(step, runs, now_ms)
    account = step.job.account
    if account is not None:
        cycle.quotas.finish_step(step, account, cycle.last_reserved is step)
    cycle.position += step.held_by_quota_ms == NEVER
    return runs


def _try_step(
    cell: CellState, step: StepInfo, cycle: PoolCycle, now_ms: int
) -> int:
    if step.crashed:
        return 0
    try:
        return _dispatch_step(cell, step, cycle, now_ms)
    except Exception as error:
        # Any job may reach any owner, so a fault in the decision on one step
        # must not end the term of one owner after the other.
        step.crashed = True
        log_event(cell, 'step_crashed', step=step.key, error=repr(error))
        return 0


def _dispatch_step(
    cell: CellState,
    step: StepInfo,
    cycle: PoolCycle,
    now_ms: int,
) -> int:
    policy = step.job.spec.advice
    if policy is not None and not step.asked_workers:
        if cycle.quotas.may_call_first(step):
            ask_about_new_workers(
                cell, step, policy, cycle.usable_for(step), now_ms
            )
        return 0
    if step.spec.gang and not step.suspects:
        if not cycle.quotas.may_start(step):
            return 0
        return GANG_POLICIES[cell.policies.gangs](cell, step, cycle, now_ms)
    return _dispatch_tasks(cell, step, cycle, now_ms)


def _dispatch_tasks(
    cell: CellState,
    step: StepInfo,
    cycle: PoolCycle,
    now_ms: int,
) -> int:
    policy = step.job.spec.advice
    started = start_trials(cell, step, cycle, now_ms) if step.suspects else 0
    if step.spec.gang or step.suspects.keys() >= step.waiting.keys():
        return started
    may_fit = step.spec.demand.fits_in(cycle.max_free)
    if not may_fit and policy is None and not _needs_reserved_capacity(step):
        return started
    if not cycle.quotas.may_start(step):
        return started
    workers = step_candidates(step, cycle)
    if may_fit:
        unsuspected = (
            task
            for task in iter_startable(cell, step, now_ms)
            if task.index not in step.suspects
        )
        # The tasks beyond the quota wait for the next wave.
        limit = min(cycle.quotas.count_startable(step), cycle.starts_left)
        tasks = list(islice(unsuspected, limit))
        beside = _start_tasks(cell, step, cycle, tasks, workers, now_ms)
        started += beside
        if beside == len(tasks):
            return started
    _prepare_next_start(cell, step, cycle, workers, now_ms)
    return started


def _prepare_next_start(
    cell: CellState,
    step: StepInfo,
    cycle: PoolCycle,
    workers: list[WorkerInfo],
    now_ms: int,
) -> None:
    policy = step.job.spec.advice
    is_within_quota = cycle.quotas.may_ask(step)
    if policy is not None and is_within_quota and may_ask(step, now_ms):
        reserved = cycle.reserved_for(step)
        expired = [
            worker
            for worker in workers
            if not has_ticket(step, worker, now_ms)
            and count_fitting(step, worker, reserved, now_ms)
        ]
        if expired:
            renew_tickets(cell, step, policy, expired, now_ms)
        elif cycle.position < STEPS_WITH_FRESH_TICKETS:
            renew_expiring_tickets(cell, step, policy, now_ms)
        if may_ask(step, now_ms):
            ask_about_new_workers(
                cell, step, policy, cycle.usable_for(step), now_ms
            )
    if not _needs_reserved_capacity(step) or not cycle.quotas.may_reserve(step):
        return
    if cycle.reserving_steps < cell.policies.reserving_steps:
        cycle.reserving_steps += 1
        openings = earliest_openings(
            step, workers, frozenset(), cycle.reserved_for(step), now_ms
        )
        # Only as many tasks as the quota lets start next.
        cycle.reserve(step, openings[: cycle.quotas.count_startable(step)])


def _needs_reserved_capacity(step: StepInfo) -> bool:
    return step.spec.demand.accelerators > 1


def _start_tasks(
    cell: CellState,
    step: StepInfo,
    cycle: PoolCycle,
    tasks: list[TaskInfo],
    workers: list[WorkerInfo],
    now_ms: int,
) -> int:
    ranking = CandidateRanking(
        step, cycle.reserved_for(step), cycle.wanted, now_ms
    )
    for worker in workers:
        if has_ticket(step, worker, now_ms):
            ranking.update(worker)
    runs = []
    for task in tasks:
        best = ranking.best(task)
        if best is None:
            break
        number = next_run_number([task])
        runs.append(start_run(cell, step, task, best, number, now_ms))
        ranking.update(best)
    log_starts(cell, step, runs, now_ms)
    return len(runs)
