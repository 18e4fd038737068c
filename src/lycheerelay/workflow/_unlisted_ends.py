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
