"""Choose a worker for one task."""

from collections.abc import Callable
from typing import Final

from ._registry import Registry
from ._resources import Resources
from ._state import ShardState, WorkerBook

FitPolicy = Callable[[ShardState, Resources], str | None]

FITS: Final[Registry[str, FitPolicy]] = Registry('fit policy')


def can_hold(worker: WorkerBook, demand: Resources) -> bool:
    """Check every hard limit; each start passes here."""
    return worker.takes_work and demand.fits_in(worker.free)


@FITS.register('best_fit')
def best_fit(state: ShardState, demand: Resources) -> str | None:
    """Choose the worker that is left with the least."""
    fitting = [
        worker for worker in state.workers.values() if can_hold(worker, demand)
    ]
    if not fitting:
        return None
    best = min(fitting, key=lambda worker: (worker.free, worker.spec.name))
    return best.spec.name
