"""Report steps that wait although there is capacity for them.

Such a step waits for something else than capacity: advice, tickets, a worker
that has not answered since a takeover, or a retry delay. Steps that the quota
of their tenant holds back are left out, and those that no set of workers can hold.
"""

from typing import Final

from ._fit import count_fitting
from ._log_events import log_event
from ._pool_cycle import (
    PoolCycle,
    begin_cycle,
    startable_tasks,
)
from ._quota import QuotaCycle, is_held_by_quota
from ._state import NEVER, CellState, StepInfo

# A step counts as stalled after this time with free capacity.
STALL_MS: Final = 3000
# The waiting tasks must fit this many times over, as others use capacity too.
FREE_FACTOR: Final = 2
# Steps that are checked at a time, the oldest first.
MAX_CHECKED_STEPS: Final = 10


def report_stalled_steps(cell: CellState, now_ms: int) -> int:
    """Log each newly stalled step; return how many are stalled."""
    quotas = QuotaCycle(cell, now_ms)
    oldest = sorted(_waiting_steps(cell), key=lambda step: step.job.offset)
    cycles: dict[str, PoolCycle] = {}
    stalled = 0
    for step in oldest[:MAX_CHECKED_STEPS]:
        pool = step.job.spec.pool
        if pool not in cycles:
            cycles[pool] = begin_cycle(cell, pool, quotas, now_ms)
        if not _is_stalled(step, cycles[pool], now_ms):
            continue
        stalled += 1
        if not step.stall_reported:
            step.stall_reported = True
            _report(cell, step, cycles[pool], now_ms)
    return stalled


def count_waiting_suspects(cell: CellState) -> int:
    """Return how many tasks wait to be started on trial."""
    return sum(
        len(step.suspects.keys() & step.waiting.keys())
        for step in cell.open_steps.values()
        if step.suspects
    )


def count_hopeless_steps(cell: CellState) -> int:
    """Return how many steps no set of workers can hold."""
    return sum(step.is_hopeless for step in cell.open_steps.values())


def _waiting_steps(cell: CellState) -> list[StepInfo]:
    waiting = []
    for step in cell.open_steps.values():
        if is_held_by_quota(step):
            step.free_since_ms = NEVER
            step.stall_reported = False
        elif step.waiting and not step.is_hopeless:
            waiting.append(step)
    return waiting


def _is_stalled(step: StepInfo, cycle: PoolCycle, now_ms: int) -> bool:
    """Update since when capacity is free; return whether it is too long."""
    if not _has_free_capacity(step, cycle, now_ms):
        step.free_since_ms = NEVER
        step.stall_reported = False
        return False
    if step.free_since_ms == NEVER:
        step.free_since_ms = now_ms
    return now_ms - step.free_since_ms >= STALL_MS


def _has_free_capacity(step: StepInfo, cycle: PoolCycle, now_ms: int) -> bool:
    workers = [*cycle.usable.values(), *cycle.barred.workers.values()]
    if step.eligible_workers:
        workers = [
            worker for worker in workers if worker.key in step.eligible_workers
        ]
    fitting = sum(count_fitting(step, worker, {}, now_ms) for worker in workers)
    return fitting >= FREE_FACTOR * len(step.waiting)


def _report(
    cell: CellState, step: StepInfo, cycle: PoolCycle, now_ms: int
) -> None:
    valid = sum(ticket.until_ms > now_ms for ticket in step.tickets.values())
    log_event(
        cell,
        'step_stalled',
        step=step.key,
        waiting=len(step.waiting),
        startable=len(startable_tasks(cell, step, now_ms)),
        suspects=len(step.suspects.keys() & step.waiting.keys()),
        calls=len(step.pending_calls),
        asked=len(step.asked_workers),
        eligible=len(step.eligible_workers),
        valid_tickets=valid,
        planned_in_ms=step.openings[-1].at_ms - now_ms
        if step.openings
        else NEVER,
        unsynced=len(cell.unsynced_workers),
        barred=len(cycle.barred.workers),
    )
