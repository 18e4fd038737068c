"""Choose how many workers the calls for a step name.

Load: steps wider than the workers of one call can hold. Calls one after the
other take longer than the first tickets are valid.
"""

from collections.abc import Callable, Sequence
from itertools import repeat
from typing import Final

from .._registry import Registry

CallSizes = Callable[[int, Sequence[int], float], list[int]]

# Functions that return the sizes of the calls to make side by side. Each takes
# the number of waiting tasks, the number of tasks that fit on each worker in
# the order in which the workers are named, and the expected share of allowed
# workers.
CALL_SIZES: Final[Registry[str, CallSizes]] = Registry('call sizes')

# Workers of an ordinary call. The objective of a job includes its time.
USUAL_CALL_SIZE: Final = 30
# Calls are made longer by up to this factor before they are split.
MAX_CALL_FACTOR: Final = 1.5
# Capacity is asked for beyond the need, as other steps take some of it.
SPARE_FACTOR: Final = 1.3


@CALL_SIZES.register('by_need')
def sizes_by_need(
    tasks: int, fitting: Sequence[int], share: float
) -> list[int]:
    """Name as many workers as the tasks need; split them over equal calls."""
    needed = SPARE_FACTOR * tasks / share
    count = 0
    for fits in fitting:
        if needed <= 0:
            break
        needed -= fits
        count += 1
    count = max(count, min(USUAL_CALL_SIZE, len(fitting)))
    calls = -(-count // int(MAX_CALL_FACTOR * USUAL_CALL_SIZE))
    return list(repeat(-(-count // calls), calls))


@CALL_SIZES.register('usual')
def usual_size(tasks: int, fitting: Sequence[int], share: float) -> list[int]:
    """Name the same number of workers for every step."""
    return [USUAL_CALL_SIZE]
