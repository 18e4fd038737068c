"""Register the usual simple fits, to be measured against."""

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
    """Choose the worker that has the least free."""
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
    """Choose the worker that has the most free."""
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
    """Choose the next worker after the one chosen last."""
    names = {name: place for place, name in enumerate(state.workers)}
    chosen = min(
        fitting,
        key=lambda worker: (
            (names[worker.spec.name] - state.next_worker) % len(names)
        ),
        default=None,
    )
    if chosen is not None:
        state.next_worker = names[chosen.spec.name] + 1
    return chosen


def choose_random(
    state: ShardState,
    request: FitRequest,
    fitting: Iterable[WorkerInfo],
) -> WorkerInfo | None:
    """Choose evenly by a hash of the attempt and the configured seed."""
    able = tuple(fitting)
    if not able:
        return None
    seed = state.policy.limits.fit_seed
    draw = number_of(f'{seed}\0{request.key.to_text()}')
    return able[draw % len(able)]


FITS.register('first_fit')(FitPolicy(choose_first))
FITS.register('best_fit')(FitPolicy(choose_best))
FITS.register('worst_fit')(FitPolicy(choose_worst))
FITS.register('round_robin')(FitPolicy(choose_next))
FITS.register('random')(FitPolicy(choose_random))
