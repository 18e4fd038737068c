"""Slow filling runs down before they hurt what serves beside them."""

from typing import Final

from ._commands import PaceRun
from ._fit import serving_runs
from ._log_events import log_event
from ._state import CellState, Run, RunState, WorkerInfo

# Above this share of its target a tail is taken to be in danger, below the
# other one to be safe; the gap keeps the pace from swinging.
DANGER_SHARE: Final = 0.85
SAFE_SHARE: Final = 0.6
FULL: Final = 100
# In danger the pace is halved, once safe it rises by so many percent a look.
RISE: Final = 20
# Below this pace a run is held still.
LEAST_PACE: Final = 15


def pace_worker(cell: CellState, worker: WorkerInfo) -> None:
    """Set the pace of a worker's filling runs from its tails."""
    fillers = [
        run
        for run in worker.runs.values()
        if run.step.spec.fills and run.state is RunState.RUNNING
    ]
    if not fillers:
        return
    strain = max(
        (
            run.load / run.step.spec.tail_target_ms
            for run in serving_runs(worker)
        ),
        default=float(0),
    )
    pace = min(run.pace for run in fillers)
    wanted = _next_pace(pace, strain)
    for run in fillers:
        if run.pace != wanted:
            _set_pace(cell, run, wanted, strain)


def _next_pace(pace: int, strain: float) -> int:
    if strain > 1:
        return 0
    if strain > DANGER_SHARE:
        halved = pace // 2
        return halved if halved >= LEAST_PACE else 0
    if strain < SAFE_SHARE:
        return min(pace + RISE, FULL)
    return pace


def _set_pace(
    cell: CellState,
    run: Run,
    percent: int,
    strain: float,
) -> None:
    log_event(
        cell,
        'run_paced',
        run=run.key,
        worker=run.worker.worker_id,
        percent=percent,
        strain=round(strain, 2),
    )
    run.pace = percent
    cell.outbox.append(PaceRun(run.worker.worker_id, run.key, percent))
