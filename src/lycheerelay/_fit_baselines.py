"""Register the common simple fit policies, as baselines for comparison."""

from collections.abc import Iterable

from ._fit import FITS, FitPolicy, FitRequest
from ._hashing import number_of
from ._state import ShardState, WorkerInfo


def choose_first(
    state: ShardState,
    request: FitRequest,
    fitting: Iterable[WorkerInfo],
) -> WorkerInfo | None:
    """Choose the first worker in the order of the VM list."""
    return next(iter(fitting), None)


def choose_best(
    state: ShardState,
    request: FitRequest,
    fitting: Iterable[WorkerInfo],
) -> WorkerInfo | None:
    """Choose the worker with the least free capacity."""
    return min(
        fitting,
        key=lambda worker: (worker.free, worker.spec.name),
        default=None,
    )


def choose_worst(
    state: ShardState,
    request: FitRequest,
    fitting: Iterable[WorkerInfo],
) -> WorkerInfo | None:
    """Choose the worker with the most free capacity."""
    return max(
        fitting,
        key=lambda worker: (worker.free, worker.spec.name),
        default=None,
    )


def choose_next(
    state: ShardState,
    request: FitRequest,
    fitting: Iterable[WorkerInfo],
) -> WorkerInfo | None:
    """Choose the next worker after the previously chosen one."""
    positions = {name: index for index, name in enumerate(state.workers)}
    chosen = min(
        fitting,
        key=lambda worker: (
            (positions[worker.spec.name] - state.next_worker) % len(positions)
        ),
        default=None,
    )
    if chosen is not None:
        state.next_worker = positions[chosen.spec.name] + 1
    return chosen


def choose_random(
    state: ShardState,
    request: FitRequest,
    fitting: Iterable[WorkerInfo],
) -> WorkerInfo | None:
    """Choose uniformly by a hash of the attempt and the configured seed."""
    workers = tuple(fitting)
    if not workers:
        return None
    seed = state.policy.limits.fit_seed
    number = number_of(f'{seed}\0{request.key.to_text()}')
    return workers[number % len(workers)]


FITS.register('first_fit')(FitPolicy(choose_first))
FITS.register('best_fit')(FitPolicy(choose_best))
FITS.register('worst_fit')(FitPolicy(choose_worst))
FITS.register('round_robin')(FitPolicy(choose_next))
FITS.register('random')(FitPolicy(choose_random))
