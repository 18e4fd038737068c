"""Start tasks and log the starts of a step."""

from collections.abc import Sequence

from ._log_events import log_event
from ._runs import start_run
from ._state import CellState, Run, StepInfo, TaskInfo, WorkerInfo


def next_run_number(tasks: list[TaskInfo]) -> int:
    """Return a number above those of all started runs."""
    return max(task.last_run for task in tasks) + 1


def start_tasks(
    cell: CellState,
    step: StepInfo,
    starts: Sequence[tuple[TaskInfo, WorkerInfo]],
    now_ms: int,
) -> None:
    """Start tasks together on the given workers and log them in one line."""
    number = next_run_number([task for task, _ in starts])
    log_starts(
        cell,
        step,
        [
            start_run(cell, step, task, worker, number, now_ms)
            for task, worker in starts
        ],
        now_ms,
    )


def log_starts(
    cell: CellState, step: StepInfo, runs: Sequence[Run], now_ms: int
) -> None:
    """Log the runs of a step that were started in one decision."""
    if not runs:
        return
    log_event(
        cell,
        'runs_started',
        step=step.key,
        members=tuple(run.key.task.member for run in runs),
        numbers=tuple(run.key.number for run in runs),
        workers=tuple(run.worker.worker_id for run in runs),
        slack_ms=step.latest_start_ms - now_ms,
        fence=cell.fence,
    )
