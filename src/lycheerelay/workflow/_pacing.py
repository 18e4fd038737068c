"""Slow down filler runs before they raise the latency of services."""

from typing import Final

from ._commands import PaceRun
from ._fit import serving_runs
from ._log_events import log_event
from ._state import CellState, Run, RunState, WorkerInfo

# The pace of filler runs is halved above this ratio of tail latency to its target
# and raised below the lower one. The gap keeps the pace from oscillating.
HIGH_TAIL_RATIO: Final = 0.85
LOW_TAIL_RATIO: Final = 0.6
FULL_PACE_PERCENT: Final = 100
# Increase of the pace per poll while the latency is low.
PACE_STEP_PERCENT: Final = 20
# A run is paused instead of slowed below this pace.
MIN_PACE_PERCENT: Final = 15


def pace_worker(cell: CellState, worker: WorkerInfo) -> None:
    """Set the pace of filler runs from the tail latencies on their worker."""
    fillers = [
        run
        for run in worker.runs.values()
        if run.step.spec.fills and run.state is RunState.RUNNING
    ]
    if not fillers:
        return
    tail_ratio = max(
        (
            run.load / run.step.spec.tail_target_ms
            for run in serving_runs(worker)
        ),
        default=float(0),
    )
    pace = min(run.pace for run in fillers)
    next_pace = _next_pace(pace, tail_ratio)
    for run in fillers:
        if run.pace != next_pace:
            _set_pace(cell, run, next_pace, tail_ratio)


def _next_pace(pace: int, tail_ratio: float) -> int:
    if tail_ratio > 1:
        return 0
    if tail_ratio > HIGH_TAIL_RATIO:
        halved = pace // 2
        return halved if halved >= MIN_PACE_PERCENT else 0
    if tail_ratio < LOW_TAIL_RATIO:
        return min(pace + PACE_STEP_PERCENT, FULL_PACE_PERCENT)
    return pace


def _set_pace(
    cell: CellState,
    run: Run,
    percent: int,
    tail_ratio: float,
) -> None:
    log_event(
        cell,
        'run_paced',
        run=run.key,
        worker=run.worker.worker_id,
        percent=percent,
        strain=round(tail_ratio, 2),
    )
    run.pace = percent
    cell.outbox.append(PaceRun(run.worker.key, run.key, percent))
