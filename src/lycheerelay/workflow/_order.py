"""Order waiting steps by what waiting costs their callers."""

from collections.abc import Callable
from typing import Final

from .._registry import Registry
from ._state import StepInfo

OrderKey = tuple[int, int, int]
Order = Callable[[StepInfo, int], OrderKey]

IN_TIME: Final = 0
LATE: Final = 1
WORTHLESS: Final = 2

# Orders of waiting steps: a step and the time in ms give a key, and the
# lowest key is served first.
ORDERS: Final[Registry[str, Order]] = Registry('order')


@ORDERS.register('slack')
def by_slack(step: StepInfo, now_ms: int) -> OrderKey:
    """Serve the least slack first among what can still be in time.

    Then what is late but still worth something, the nearest to its limit
    first, then the rest.
    """
    offset = step.job.offset
    if now_ms <= step.latest_start_ms or step.spec.lasts:
        return IN_TIME, step.latest_start_ms, offset
    if now_ms <= step.infeasible_from_ms:
        return LATE, step.infeasible_from_ms, offset
    return WORTHLESS, offset, offset


@ORDERS.register('arrival')
def by_arrival(step: StepInfo, now_ms: int) -> OrderKey:
    """Serve in the order of acceptance."""
    return IN_TIME, step.job.offset, step.key.step


@ORDERS.register('shortest')
def by_length(step: StepInfo, now_ms: int) -> OrderKey:
    """Serve the least expected work first."""
    work_ms = step.spec.expected_ms * len(step.waiting)
    return IN_TIME, work_ms, step.job.offset


@ORDERS.register('priority')
def by_priority(step: StepInfo, now_ms: int) -> OrderKey:
    """Serve by the queue's priority, then by slack."""
    state, due_ms, _ = by_slack(step, now_ms)
    return state, step.job.spec.priority, due_ms
