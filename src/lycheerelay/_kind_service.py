"""Place the replicas of a service apart from each other."""

from ._fit import FitPolicy
from ._kind_batch import Placement, place_request, request_for
from ._order_lanes import Entry
from ._service import jobs_beside
from ._state import ShardState


def place_spread(
    state: ShardState,
    entry: Entry,
    fit: FitPolicy,
    now_ms: int,
) -> list[Placement]:
    """Place the next replica in the rack that holds the fewest."""
    request = request_for(state, entry, now_ms)
    racks = _used_racks(state, entry.spec.job_id)
    return place_request(state, entry, fit, request._replace(racks=racks))


def _used_racks(state: ShardState, job_id: str) -> tuple[str, ...]:
    return tuple(
        state.workers[task.worker].spec.rack
        for job in jobs_beside(state, job_id)
        for task in job.tasks
        if task.is_live and task.worker in state.workers
    )
