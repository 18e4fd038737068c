"""Know which workers may hold runs that a new owner has not heard of.

Load: restoring a cell takes longer than the orders of the owner before are in effect.
The new owner extends the leases of all workers meanwhile, and with them the runs that
they hold, before it has applied the run tables that tell of these.
"""

from ._log_events import log_event
from ._state import CellState, WorkerInfo

# Workers that one log line names.
MAX_NAMED = 20


def may_hold_unknown_runs(cell: CellState, worker_id: str) -> bool:
    """Return whether a worker may hold runs, or have ends, of an earlier owner.

    Orders of earlier owners are not in effect any more. A lease that this owner has
    granted keeps their runs alive until it expires or a run table has told of them.
    """
    return any(map(_may_hold, cell.find_instances(worker_id)))


def end_takeover(cell: CellState) -> None:
    """Wait no longer for workers that cannot hold runs of an earlier owner.

    Called once no order of an earlier owner is in effect any more.
    """
    missing = [
        worker_id
        for worker_id in cell.unsynced_workers
        if not may_hold_unknown_runs(cell, worker_id)
    ]
    for worker_id in missing:
        cell.mark_synced(worker_id)
    if missing:
        log_event(
            cell,
            'takeover_clear',
            missing=len(missing),
            workers=tuple(missing[:MAX_NAMED]),
            awaited=len(cell.unsynced_workers),
        )


def _may_hold(worker: WorkerInfo) -> bool:
    return worker.has_more_ends or (
        worker.lease_until_ms > 0 and not worker.synced
    )
