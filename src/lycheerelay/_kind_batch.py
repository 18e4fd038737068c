"""Place independent tasks one at a time."""

from collections.abc import Iterable

from ._fit import FitPolicy, FitRequest, find_worker, names_for
from ._jobs import AttemptKey, TaskState
from ._order_queues import Entry
from ._quarantine import worker_choices
from ._state import ShardState

Placement = tuple[int, str]


def place_next(
    state: ShardState,
    entry: Entry,
    fit: FitPolicy,
    now_ms: int,
) -> list[Placement]:
    """Place the next task of a job on a worker that it fits."""
    request = request_for(state, entry, now_ms)
    return place_request(state, entry, fit, request)


def place_request(
    state: ShardState,
    entry: Entry,
    fit: FitPolicy,
    request: FitRequest,
) -> list[Placement]:
    """Place one task and allocate its resources at once."""
    job = state.jobs[request.key.job_id]
    found = (
        find_worker(state, fit, request, names)
        for names in worker_choices(
            state, job, _candidate_workers(state, entry, fit)
        )
    )
    worker = next(filter(None, found), None)
    if worker is None:
        return []
    index = state.waiting.take_index(entry)
    worker.charge(request.key, request.demand)
    state.index.put(worker.spec.name, worker.free, worker.spec.capacity)
    return [(index, worker.spec.name)]


def request_for(
    state: ShardState,
    entry: Entry,
    now_ms: int,
) -> FitRequest:
    """Return the fit request for the next task of a job."""
    index = entry.indexes[-1]
    job_id = entry.spec.job_id
    attempt = state.jobs[job_id].tasks[index].attempt + 1
    fit_class = entry.key.fit_class
    return FitRequest(
        AttemptKey(job_id, index, attempt),
        fit_class.demand,
        fit_class.run_ms,
        now_ms,
        fit_class.urgent,
        state.reservations.names_for(job_id),
        fit_class.movable,
    )


def is_current(state: ShardState, entry: Entry, now_ms: int) -> bool:
    """Return whether the next task of an entry may be placed now."""
    job = state.jobs.get(entry.spec.job_id)
    if job is None:
        return False
    tasks = [job.tasks[index] for index in entry.indexes[-1:]]
    return all(
        task.state is TaskState.QUEUED and task.not_before_ms <= now_ms
        for task in tasks
    )


def _candidate_workers(
    state: ShardState,
    entry: Entry,
    fit: FitPolicy,
) -> Iterable[str]:
    """Return the workers to try for the next task of a job.

    For a blocked class these are only the workers with new free capacity,
    since no other one fits.
    """
    fit_class = entry.key.fit_class
    names = state.waiting.blocked.candidates(fit_class)
    if names is None:
        return names_for(state, fit, fit_class.demand)
    return names
