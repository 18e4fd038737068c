"""Choose a worker for one task."""

from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import Final, NamedTuple

from ._fit_capacity import capacity_without_accelerators
from ._jobs import AttemptKey
from ._registry import Registry
from ._resources import Resources
from ._state import ShardState, WorkerInfo

MAX_COMPARED_WORKERS: Final = 4


class FitRequest(NamedTuple):
    """Describe a task that needs a worker.

    `reserved` names the workers reserved for the job. `racks` and
    `neighbours` name the racks and workers of a service's other replicas,
    which the choice avoids. `compared` limits the workers compared.
    """

    key: AttemptKey
    demand: Resources
    run_ms: int
    now_ms: int
    urgent: bool = False
    reserved: tuple[str, ...] = ()
    movable: bool = False
    racks: tuple[str, ...] = ()
    neighbours: tuple[str, ...] = ()
    compared: int = MAX_COMPARED_WORKERS

    def may_block_accelerators(self, worker: str) -> bool:
        """Return whether the task may make free accelerators unusable."""
        return self.urgent or worker in self.reserved


ChooseWorker = Callable[
    [ShardState, FitRequest, Iterable[WorkerInfo]],
    WorkerInfo | None,
]


class FitPolicy(NamedTuple):
    """Choose one of the workers that can hold a task.

    An indexed policy gets the workers by free capacity, others in the order
    of the VM list.
    """

    choose: ChooseWorker
    is_indexed: bool = False


FITS: Final[Registry[str, FitPolicy]] = Registry('fit policy')


def can_hold(worker: WorkerInfo, demand: Resources) -> bool:
    """Check every hard limit; every placement must pass this check."""
    return worker.is_schedulable and demand.fits_in(worker.free)


def find_worker(
    state: ShardState,
    fit: FitPolicy,
    request: FitRequest,
    names: Iterable[str],
) -> WorkerInfo | None:
    """Choose one of the named workers that can hold the task."""
    return fit.choose(state, request, _fitting(state, request, names))


def names_for(
    state: ShardState,
    fit: FitPolicy,
    demand: Resources,
) -> Iterable[str]:
    """Return the workers to try, in the order that the policy expects."""
    if fit.is_indexed:
        return state.index.workers_for(demand)
    return state.workers


def _fitting(
    state: ShardState,
    request: FitRequest,
    names: Iterable[str],
) -> Iterator[WorkerInfo]:
    demand = request.demand
    reserved = state.reservations.by_worker
    for name in names:
        worker = state.workers.get(name)
        if worker is None or not can_hold(worker, demand):
            continue
        if name not in reserved or _respects_reserved(state, worker, request):
            yield worker


def _respects_reserved(
    state: ShardState,
    worker: WorkerInfo,
    request: FitRequest,
) -> bool:
    reservations = state.reservations
    name = worker.spec.name
    job_id = request.key.job_id
    held = reservations.held(name, job_id, request.urgent)
    if request.demand.plus(held).fits_in(worker.free):
        return True
    end_ms = request.now_ms + request.run_ms
    return all(
        reservation.admits(end_ms, request.movable, request.now_ms)
        for reservation in reservations.others(name, job_id)
    )


def blocks_accelerators(
    state: ShardState,
    worker: WorkerInfo,
    demand: Resources,
) -> bool:
    """Return whether free accelerators would lack a slot, cores or memory."""
    if demand.accelerators or not worker.spec.capacity.accelerators:
        return False
    return not demand.fits_in(
        capacity_without_accelerators(state, worker, worker.free)
    )


def leftover_score(
    worker: WorkerInfo,
    demand: Resources,
) -> tuple[bool, float]:
    """Rank a worker: no idle accelerators, then a small, balanced remainder.

    The remainder counts cores, memory and slots as fractions of capacity.
    """
    capacity = worker.spec.capacity
    free = worker.free
    cores = (free.cores_milli - demand.cores_milli) / capacity.cores_milli
    memory = (free.memory_mb - demand.memory_mb) / capacity.memory_mb
    slots = (free.slots - demand.slots) / capacity.slots
    spread = max(cores, memory, slots) - min(cores, memory, slots)
    idles_accelerators = capacity.accelerators > 0 and not demand.accelerators
    return idles_accelerators, cores + memory + slots + spread


def choose_leftover(
    state: ShardState,
    request: FitRequest,
    fitting: Iterable[WorkerInfo],
) -> WorkerInfo | None:
    """Keep accelerators usable, spread over racks, then pack tightly."""
    usable = (
        worker
        for worker in fitting
        if request.may_block_accelerators(worker.spec.name)
        or not blocks_accelerators(state, worker, request.demand)
    )
    return min(
        islice(usable, request.compared),
        key=lambda worker: (
            request.racks.count(worker.spec.rack),
            request.neighbours.count(worker.spec.name),
            *leftover_score(worker, request.demand),
        ),
        default=None,
    )


FITS.register('leftover')(FitPolicy(choose_leftover, is_indexed=True))
