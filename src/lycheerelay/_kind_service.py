"""Place the replicas of a service apart from each other."""

from typing import Final

from ._fit import FitPolicy
from ._jobs import TaskState
from ._kind_batch import Placement, place_request, request_for
from ._order_lanes import Entry
from ._service import jobs_beside
from ._state import ShardState

MAX_COMPARED: Final = 64


def place_spread(
    state: ShardState,
    entry: Entry,
    fit: FitPolicy,
    now_ms: int,
) -> list[Placement]:
    """Place the next replica in the rack that holds the fewest."""
    request = request_for(state, entry, now_ms)
    racks = _used_racks(state, entry)
    request = request._replace(racks=racks, compared=MAX_COMPARED)
    placements = place_request(state, entry, fit, request)
    entry.placed.update(placements)
    return placements


def _used_racks(state: ShardState, entry: Entry) -> tuple[str, ...]:
    """Name the rack of each replica, those of this step included."""
    job_id = entry.spec.job_id
    names = [
        task.worker
        for job in jobs_beside(state, job_id)
        for task in job.tasks
        if task.is_live
    ]
    tasks = state.jobs[job_id].tasks
    names += [
        name
        for index, name in entry.placed.items()
        if tasks[index].state is TaskState.QUEUED
    ]
    books = map(state.workers.get, names)
    return tuple(book.spec.rack for book in books if book is not None)
