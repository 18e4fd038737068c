"""Place all tasks of a gang together or none of them."""

from ._fit import FitPolicy
from ._jobs import AttemptKey
from ._kind_batch import Placement, place_next
from ._order_queues import Entry
from ._state import ShardState


def place_all(
    state: ShardState,
    entry: Entry,
    fit: FitPolicy,
    now_ms: int,
) -> list[Placement]:
    """Place all tasks of the job, or undo the partial placement."""
    placements: list[Placement] = []
    touched = dict(state.ledger.touched)
    while entry.indexes:
        placed = place_next(state, entry, fit, now_ms)
        if not placed:
            entry.missing = len(entry.indexes)
            _undo_placements(state, entry, placements)
            state.ledger.touched = touched
            return []
        placements.extend(placed)
    return placements


def _undo_placements(
    state: ShardState,
    entry: Entry,
    placements: list[Placement],
) -> None:
    job_id = entry.spec.job_id
    for index, name in reversed(placements):
        worker = state.workers[name]
        attempt = state.jobs[job_id].tasks[index].attempt + 1
        worker.release(AttemptKey(job_id, index, attempt))
        state.index.put(name, worker.free, worker.spec.capacity)
        state.waiting.put_back(entry, index)
