"""Learn which share of the workers the advisor allows for the jobs of a queue.

Load: queues whose steps may run on a third to two thirds of the workers. A call
that names too few of them has to be followed by another one, and most of the
time of a call does not depend on how many it names.
"""

from collections.abc import Iterable
from typing import Final

from ._spec import WorkerKey
from ._state import AdviceCounts, CellState, StepInfo

# The share assumed before the first reply, and its weight in workers.
INITIAL_SHARE: Final = 0.4
INITIAL_WORKERS: Final = 10
# Older replies count less once this many workers were asked about.
MAX_COUNTED_WORKERS: Final = 1000


def expected_share(cell: CellState, step: StepInfo) -> float:
    """Return the share of the workers that is expected to be allowed."""
    counts = cell.advice_counts.get(step.job.spec.queue, AdviceCounts())
    allowed = counts.allowed + INITIAL_SHARE * INITIAL_WORKERS
    return allowed / (counts.asked + INITIAL_WORKERS)


def observe_share(
    cell: CellState, step: StepInfo, asked: Iterable[WorkerKey], allowed: int
) -> None:
    """Count a reply about workers that the step had no advice on.

    Renewals are left out, as they name workers that were allowed before.
    """
    new_workers = [key for key in asked if key not in step.asked_workers]
    if not new_workers:
        return
    counts = cell.advice_counts.setdefault(step.job.spec.queue, AdviceCounts())
    counts.asked += len(new_workers)
    counts.allowed += allowed
    if counts.asked > MAX_COUNTED_WORKERS:
        counts.asked /= 2
        counts.allowed /= 2
