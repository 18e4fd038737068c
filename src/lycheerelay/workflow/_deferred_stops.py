"""Stop the runs of final jobs over several scheduling cycles.

Load: a job with thousands of running tasks is cancelled or fails, or many jobs are
cancelled at once. All their stop orders in one turn of the event loop would hold up
the renewal of the ownership.
"""

from collections.abc import Iterable
from itertools import islice
from typing import Final

from ._runs import stop_run
from ._state import CellState, Run

# Runs of final jobs that are stopped between two scheduling cycles.
MAX_STOPS_PER_CYCLE: Final = 512


def stop_runs(
    cell: CellState, runs: Iterable[Run], now_ms: int, reason: str
) -> None:
    """Stop runs, those beyond the limit of this cycle in the next ones.

    `runs` is read as they are stopped.
    """
    cell.deferred_stops.append((iter(runs), reason))
    _stop_deferred(cell, now_ms)


def begin_stop_cycle(cell: CellState, now_ms: int) -> bool:
    """Stop the next runs that earlier cycles left; return whether some remain."""
    cell.stops_in_cycle = 0
    _stop_deferred(cell, now_ms)
    return bool(cell.deferred_stops)


def _stop_deferred(cell: CellState, now_ms: int) -> None:
    deferred = cell.deferred_stops
    while deferred:
        runs, reason = deferred[0]
        for run in islice(runs, MAX_STOPS_PER_CYCLE - cell.stops_in_cycle):
            cell.stops_in_cycle += 1
            stop_run(cell, run, now_ms, reason)
        if cell.stops_in_cycle >= MAX_STOPS_PER_CYCLE:
            return
        deferred.popleft()
