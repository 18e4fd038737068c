"""Start tasks and log each start."""

from ._log_events import log_event
from ._runs import start_run
from ._state import CellState, StepInfo, TaskInfo, WorkerInfo


def next_run_number(tasks: list[TaskInfo]) -> int:
    """Return a number above those of all started runs."""
    return max(task.last_run for task in tasks) + 1


def start_task(
    cell: CellState,
    step: StepInfo,
    task: TaskInfo,
    worker: WorkerInfo,
    number: int,
    now_ms: int,
) -> None:
    """Start a run of a task and log it."""
    start_run(cell, step, task, worker, number, now_ms)
    log_event(
        cell,
        'run_started',
        run=step.key,
        index=task.index,
        number=number,
        worker=worker.worker_id,
        slack_ms=step.latest_start_ms - now_ms,
        fence=cell.fence,
    )
