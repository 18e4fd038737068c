"""Start, stop and release runs."""

from ._commands import StartRun, StopRun
from ._log_events import log_event
from ._spec import RunKey, TaskKey
from ._state import (
    NEVER,
    CellState,
    Run,
    RunState,
    StepInfo,
    TaskInfo,
    WorkerInfo,
)

# Interval for resending an unanswered stop order: a few round trips.
STOP_RETRY_MS = 500


def start_run(
    cell: CellState,
    step: StepInfo,
    task: TaskInfo,
    worker: WorkerInfo,
    number: int,
    now_ms: int,
) -> Run:
    """Allocate a run on a worker and queue its start order."""
    key = RunKey(TaskKey(*step.key, task.index), number)
    run = Run(key, worker, step, step.spec.demand, now_ms)
    attach_run(run)
    step.waiting.pop(task.index, None)
    step.job.started = True
    task.assigned_worker = worker.worker_id
    # The start order is sent once the progress record is durable.
    cell.unrecorded_jobs[step.job.spec.job_id] = None
    ticket = step.tickets.get(worker.worker_id)
    cell.outbox.append(
        StartRun(
            worker.worker_id,
            key,
            step.job.spec.payload,
            task.checkpoint,
            ticket.text if ticket else '',
        ),
    )
    return run


def attach_run(run: Run) -> None:
    """Register a run with its task and allocate it on its worker."""
    task = run.task
    task.runs[run.key.number] = run
    task.last_run = max(task.last_run, run.key.number)
    run.percent_ms = run.sent_ms
    run.worker.allocate(run)


def stop_run(cell: CellState, run: Run, now_ms: int, reason: str) -> None:
    """Queue a stop order unless one was sent recently or answered."""
    if run.state is not RunState.STOPPING:
        run.state = RunState.STOPPING
        run.stop_reason = str(reason)
    elif run.stop_answered_ms != NEVER:
        return
    if run.stop_sent_ms != NEVER and now_ms - run.stop_sent_ms < STOP_RETRY_MS:
        return
    run.stop_sent_ms = now_ms
    cell.outbox.append(StopRun(run.worker.worker_id, run.key))


def release_run(run: Run) -> None:
    """Remove a run from its task and free its allocation."""
    run.worker.release(run)
    run.task.runs.pop(run.key.number, None)


def release_worker_runs(
    cell: CellState, worker: WorkerInfo, reason: str
) -> list[Run]:
    """Release and return every run of a worker that can run no more."""
    runs = list(worker.runs.values())
    for run in runs:
        release_run(run)
    worker.orphaned_runs.clear()
    log_event(
        cell,
        'worker_over',
        worker=worker.worker_id,
        reason=reason,
        runs=len(runs),
    )
    return runs
