"""Order the workers that calls for placement advice name first.

Load: a backlog of gangs that ask at the same time. If all name the emptiest
workers, the first gangs fill these, and the others have to ask again while the
rest of the pool is idle. Tasks that start one by one use whatever is left on
the emptiest workers.
"""

import zlib
from collections.abc import Callable, Mapping
from typing import Final

from .._registry import Registry
from ._call_sizes import SPARE_FACTOR, USUAL_CALL_SIZE
from ._spec import WorkerKey
from ._state import StepInfo, WorkerInfo

TargetKey = tuple[int, int, int]
TargetOrder = Callable[
    [StepInfo, Mapping[WorkerKey, int], float],
    Callable[[WorkerInfo], TargetKey],
]

# Functions that return the sort key of the workers to name. Each takes the step,
# the number of its tasks that fit on each worker, and the expected share of
# allowed workers.
TARGET_ORDERS: Final[Registry[str, TargetOrder]] = Registry('target order')


@TARGET_ORDERS.register('spread')
def by_step(
    step: StepInfo, fitting: Mapping[WorkerKey, int], share: float
) -> Callable[[WorkerInfo], TargetKey]:
    """Name workers with enough room, in another order for each gang."""
    if not step.spec.gang:
        return by_room(step, fitting, share)
    needed = SPARE_FACTOR * len(step.waiting) / (share * USUAL_CALL_SIZE)
    enough = max(round(needed), 1)
    salt = zlib.crc32(step.key.job_id.encode(), step.key.step)

    def key(worker: WorkerInfo) -> TargetKey:
        room = min(fitting[worker.key], enough)
        position = zlib.crc32(worker.worker_id.encode(), salt)
        return -room, -worker.free.accelerators, position

    return key


@TARGET_ORDERS.register('emptiest')
def by_room(
    step: StepInfo, fitting: Mapping[WorkerKey, int], share: float
) -> Callable[[WorkerInfo], TargetKey]:
    """Name the workers first that hold the most tasks of the step."""
    return lambda worker: (
        -fitting[worker.key],
        -worker.free.accelerators,
        0,
    )
