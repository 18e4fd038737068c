"""Order waiting steps for scheduling."""

from collections.abc import Callable
from typing import Final

from .._registry import Registry
from ._state import StepInfo

OrderKey = tuple[int, int, int]
Order = Callable[[StepInfo, int], OrderKey]

IN_TIME: Final = 0
LATE: Final = 1
VALUE_EXPIRED: Final = 2

# Sort key functions for waiting steps. Each takes a step and the current time in
# ms; the step with the lowest key is served first.
ORDERS: Final[Registry[str, Order]] = Registry('order')


@ORDERS.register('slack')
def by_slack(step: StepInfo, now_ms: int) -> OrderKey:
    """Serve steps that can meet their objective first, by least slack.

    Late steps whose job still has value follow, ordered by the time at which
    that value expires, then all other steps in order of acceptance.
    """
    offset = step.job.offset
    if now_ms <= step.latest_start_ms or step.spec.lasts:
        return IN_TIME, step.latest_start_ms, offset
    if now_ms <= step.infeasible_from_ms:
        return LATE, step.infeasible_from_ms, offset
    return VALUE_EXPIRED, offset, offset


@ORDERS.register('arrival')
def by_arrival(step: StepInfo, now_ms: int) -> OrderKey:
    """Serve steps in order of acceptance."""
    return IN_TIME, step.job.offset, step.key.step


@ORDERS.register('shortest')
def by_expected_work(step: StepInfo, now_ms: int) -> OrderKey:
    """Serve the step with the least expected work first."""
    work_ms = step.spec.expected_ms * len(step.waiting)
    return IN_TIME, work_ms, step.job.offset


@ORDERS.register('priority')
def by_priority(step: StepInfo, now_ms: int) -> OrderKey:
    """Serve by timeliness, then by queue priority, then by due time."""
    timeliness, due_ms, _ = by_slack(step, now_ms)
    return timeliness, step.job.spec.priority, due_ms
