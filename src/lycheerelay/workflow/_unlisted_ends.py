"""Know which workers have more run ends than they have listed.

Load: many short tasks end on one worker while their ends cannot be recorded. A
worker lists a limited number of ends, and the next ones only after these are
acknowledged. A task whose end is still to come must not be taken for lost.
"""

from ._log_events import log_event
from ._state import CellState, WorkerInfo


def note_unlisted_ends(
    cell: CellState, worker: WorkerInfo, has_all_ends: bool
) -> None:
    """Note whether the last list of a worker held all its ends."""
    if worker.has_more_ends == has_all_ends:
        log_event(
            cell,
            'ends_listed' if has_all_ends else 'ends_unlisted',
            worker=worker.worker_id,
            started_ms=worker.key.started_ms,
            handled_end=worker.handled_end,
            recorded_end=worker.recorded_end,
        )
    worker.has_more_ends = not has_all_ends


def may_have_ended(worker: WorkerInfo) -> bool:
    """Return whether runs on a worker may have ended without a listed end.

    A worker that is out of contact is judged by its silence instead.
    """
    return worker.has_more_ends and not worker.unresponsive


def may_list_end(cell: CellState, worker_id: str) -> bool:
    """Return whether a worker has more ends to list than it has listed."""
    return any(
        worker.has_more_ends for worker in cell.find_instances(worker_id)
    )


def end_takeover(cell: CellState) -> None:
    """Wait no longer for the answers of workers to a new owner.

    Called once no order of an earlier owner is in effect any more. A worker with
    more ends is waited for, since the leases that this owner grants keep them valid.
    """
    missing = [
        worker_id
        for worker_id in cell.unsynced_workers
        if not may_list_end(cell, worker_id)
    ]
    for worker_id in missing:
        cell.mark_synced(worker_id)
    if missing:
        log_event(cell, 'takeover_clear', missing=len(missing))
