"""Order waiting steps by what waiting costs their callers."""

from typing import Final

from ._state import StepBook

OrderKey = tuple[int, int, int]

IN_TIME: Final = 0
LATE: Final = 1
WORTHLESS: Final = 2


def order_key(step: StepBook, wall_ms: int) -> OrderKey:
    """Rank a waiting step; lower goes first.

    Least slack first among what can still be in time, then what is late but
    still worth something, the nearest to its limit first, then the rest.
    """
    offset = step.job.offset
    if wall_ms <= step.latest_start_ms:
        return IN_TIME, step.latest_start_ms, offset
    if step.spec.lasts:
        return IN_TIME, step.latest_start_ms, offset
    if wall_ms <= step.hopeless_ms:
        return LATE, step.hopeless_ms, offset
    return WORTHLESS, offset, offset
