"""Place the replicas of a service apart from each other."""

from typing import Final

from ._fit import FitPolicy
from ._jobs import TaskState
from ._kind_batch import Placement, place_request, request_for
from ._order_queues import Entry
from ._service import jobs_beside
from ._state import ShardState

MAX_COMPARED_WORKERS: Final = 64


def place_spread(
    state: ShardState,
    entry: Entry,
    fit: FitPolicy,
    now_ms: int,
) -> list[Placement]:
    """Place the next replica in the rack, then worker, with the fewest."""
    neighbours = _used_workers(state, entry)
    request = request_for(state, entry, now_ms)._replace(
        racks=tuple(state.workers[name].spec.rack for name in neighbours),
        neighbours=neighbours,
        compared=MAX_COMPARED_WORKERS,
    )
    placements = place_request(state, entry, fit, request)
    entry.placed.update(placements)
    return placements


def _used_workers(state: ShardState, entry: Entry) -> tuple[str, ...]:
    """Name the worker of each replica, those of this step included."""
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
    return tuple(name for name in names if name in state.workers)
