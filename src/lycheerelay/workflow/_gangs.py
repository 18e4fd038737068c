"""Start all tasks of a gang together.

Load: gangs as wide as several workers can hold, beside a stream of short jobs.
Their advice takes a good part of their slack, allows a third of the workers,
and its tickets expire before all of the capacity is free.
"""

from collections.abc import Callable
from itertools import chain
from typing import Final

from .._registry import Registry
from ._advice import (
    TICKET_EXPIRY_MARGIN_MS,
    ask_about_new_workers,
    call_advisor,
    may_ask,
    renew_tickets,
)
from ._fit import count_fitting, has_ticket, score_worker
from ._openings import Opening, current_openings, earliest_openings
from ._pool_cycle import PoolCycle, startable_tasks, step_candidates
from ._spec import AdvicePolicy
from ._starting import start_tasks
from ._state import CellState, StepInfo, WorkerInfo

# A plan is kept for this long, unless new advice arrives. Estimated ends are less
# precise than that. Gangs without reserved capacity are planned less often,
# since a backlog of them would use up the processor.
REPLAN_INTERVAL_MS: Final = 100
UNRESERVED_REPLAN_INTERVAL_MS: Final = 300
# A gang that does not fit, even once all runs that end are over, is planned less and
# less often after some plans, down to once in the first interval doubled this many
# times. A reservation of others mostly keeps it from fitting for some plans only.
STEADY_PLANS: Final = 5
MAX_REPLAN_DOUBLINGS: Final = 4
# Time for which a plan keeps its capacity if there is no turn to make it again.
MAX_PLAN_AGE_MS: Final = 1000

# Validity that the tickets of a planned gang need beyond its expected start.
TICKET_RESERVE_MS: Final = 300

GangPolicy = Callable[[CellState, StepInfo, PoolCycle, int], int]

# Functions that start a waiting gang if it fits, and prepare its start
# otherwise. Each takes the cell, the step, the cycle of its pool and the current
# time in ms, and returns the number of started tasks.
GANG_POLICIES: Final[Registry[str, GangPolicy]] = Registry('gang policy')


@GANG_POLICIES.register('planned')
def start_planned(
    cell: CellState, step: StepInfo, cycle: PoolCycle, now_ms: int
) -> int:
    """Choose the workers that can hold the gang soonest, and keep them free.

    Tickets are requested for just these workers, shortly before the capacity
    is free. While they are outstanding the capacity stays reserved.
    """
    may_reserve = _may_reserve(cell, step, cycle)
    if now_ms < step.replan_ms or not cycle.plans_left:
        # A plan that waits for tickets is kept, or others take its capacity.
        if may_reserve or step.pending_calls:
            _keep_plan(step, cycle, now_ms)
        return 0
    if len(startable_tasks(cell, step, now_ms)) < len(step.tasks):
        return 0
    if not may_reserve and not step.spec.demand.fits_in(cycle.max_free):
        return 0
    cycle.plans_left -= 1
    interval_ms = REPLAN_INTERVAL_MS
    if not may_reserve:
        interval_ms = UNRESERVED_REPLAN_INTERVAL_MS
    step.planned_ms = now_ms
    step.replan_ms = now_ms + interval_ms
    openings = _plan(step, cycle, may_reserve, now_ms)
    if len(openings) == len(step.tasks):
        step.failed_plans = 0
        return _follow_plan(cell, step, cycle, openings, now_ms)
    step.openings = ()
    if may_reserve:
        _back_off(step, now_ms)
        _ask_about_more(cell, step, cycle, now_ms)
    return 0


def _back_off(step: StepInfo, now_ms: int) -> None:
    if step.job.spec.advice is not None:
        # Each answer of the advisor may let the gang fit.
        return
    step.failed_plans += 1
    doublings = max(step.failed_plans - STEADY_PLANS, 0)
    step.replan_ms = now_ms + (
        REPLAN_INTERVAL_MS << min(doublings, MAX_REPLAN_DOUBLINGS)
    )


def _may_reserve(cell: CellState, step: StepInfo, cycle: PoolCycle) -> bool:
    has_reservations = cycle.reserving_steps < cell.policies.reserving_steps
    return has_reservations and cycle.quotas.may_reserve(step)


def _follow_plan(
    cell: CellState,
    step: StepInfo,
    cycle: PoolCycle,
    openings: list[Opening],
    now_ms: int,
) -> int:
    if openings[-1].at_ms <= now_ms and all(
        has_ticket(step, opening.worker, now_ms) for opening in openings
    ):
        step.openings = ()
        plan = [opening.worker for opening in openings]
        return _start_all(cell, step, plan, now_ms)
    step.openings = tuple(openings)
    _reserve(step, cycle, step.openings)
    _prepare_tickets(cell, step, cycle, openings, now_ms)
    return 0


def _keep_plan(step: StepInfo, cycle: PoolCycle, now_ms: int) -> None:
    """Reserve the openings of the last plan, unless it is long out of date."""
    if step.openings and now_ms - step.planned_ms <= MAX_PLAN_AGE_MS:
        _reserve(step, cycle, step.openings)


def _reserve(
    step: StepInfo, cycle: PoolCycle, openings: tuple[Opening, ...]
) -> None:
    cycle.reserve(step, openings)
    cycle.reserving_steps += 1


@GANG_POLICIES.register('ticketed')
def start_with_tickets(
    cell: CellState, step: StepInfo, cycle: PoolCycle, now_ms: int
) -> int:
    """Start a gang once workers with valid tickets happen to hold it."""
    if len(startable_tasks(cell, step, now_ms)) < len(step.tasks):
        return 0
    workers = step_candidates(step, cycle)
    ranked = sorted(
        (worker for worker in workers if has_ticket(step, worker, now_ms)),
        key=lambda worker: score_worker(step, worker, step.tasks[0]),
    )
    plan: list[WorkerInfo] = []
    for worker in ranked:
        fitting = count_fitting(step, worker, cycle.reserved, now_ms)
        missing = len(step.tasks) - len(plan)
        plan.extend(worker for _ in range(min(fitting, missing)))
    if len(plan) == len(step.tasks):
        return _start_all(cell, step, plan, now_ms)
    policy = step.job.spec.advice
    if policy is not None and cycle.quotas.may_ask(step):
        expired = [
            worker
            for worker in workers
            if not has_ticket(step, worker, now_ms)
            and count_fitting(step, worker, cycle.reserved, now_ms)
        ]
        renew_tickets(cell, step, policy, expired, now_ms)
        ask_about_new_workers(
            cell, step, policy, cycle.usable_for(step), now_ms
        )
    return 0


def _plan(
    step: StepInfo,
    cycle: PoolCycle,
    with_later: bool,
    now_ms: int,
) -> list[Opening]:
    """Return the openings of a whole gang, or fewer if it does not fit.

    Unless `with_later` is set, only capacity that is free now counts.
    """
    workers = step_candidates(step, cycle)
    reserved = cycle.reserved_for(step)
    preferred = frozenset(chain.from_iterable(step.pending_calls)) | {
        worker.key for worker in workers if has_ticket(step, worker, now_ms)
    }
    # Workers that another gang has planned with come last.
    own = {opening.worker.key for opening in step.openings}
    preferred -= cycle.wanted - own
    if step.spec.same_rack:
        for rack in dict.fromkeys(worker.rack for worker in workers):
            group = [worker for worker in workers if worker.rack == rack]
            openings = current_openings(
                step, group, preferred, reserved, now_ms
            )
            if len(openings) == len(step.tasks):
                return openings
    openings = current_openings(step, workers, preferred, reserved, now_ms)
    if with_later and len(openings) < len(step.tasks):
        return earliest_openings(step, workers, preferred, reserved, now_ms)
    return openings


def _prepare_tickets(
    cell: CellState,
    step: StepInfo,
    cycle: PoolCycle,
    openings: list[Opening],
    now_ms: int,
) -> None:
    """Request tickets that are valid when the last opening is due."""
    policy = step.job.spec.advice
    if policy is None or not may_ask(step, now_ms):
        return
    if not cycle.quotas.may_ask(step):
        return
    planned = {opening.worker.key: opening.worker for opening in openings}
    call_ms = policy.call_ms(len(planned))
    begin_ms = openings[-1].at_ms
    if begin_ms > now_ms + call_ms + TICKET_EXPIRY_MARGIN_MS:
        _ask_about_more(cell, step, cycle, now_ms)
        return
    # Tickets that would expire soon after are renewed by the same call.
    needed_until_ms = int(max(begin_ms, now_ms + call_ms)) + TICKET_RESERVE_MS
    missing = [
        worker
        for worker in planned.values()
        if not has_ticket(step, worker, needed_until_ms)
    ]
    call_advisor(cell, step, policy, missing, is_urgent=True)


def _ask_about_more(
    cell: CellState, step: StepInfo, cycle: PoolCycle, now_ms: int
) -> None:
    policy: AdvicePolicy | None = step.job.spec.advice
    if policy is not None:
        ask_about_new_workers(
            cell, step, policy, cycle.usable_for(step), now_ms
        )


def _start_all(
    cell: CellState,
    step: StepInfo,
    plan: list[WorkerInfo],
    now_ms: int,
) -> int:
    starts = list(zip(step.tasks, plan, strict=True))
    start_tasks(cell, step, starts, now_ms)
    return len(plan)
