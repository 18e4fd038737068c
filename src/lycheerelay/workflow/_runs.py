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

# An unanswered stop is sent again after this time, in ms: a few round trips.
STOP_AGAIN_MS = 500


def start_run(
    cell: CellState,
    step: StepInfo,
    task: TaskInfo,
    worker: WorkerInfo,
    number: int,
    now_ms: int,
) -> Run:
    """Book a run on a worker and order its start."""
    key = RunKey(TaskKey(*step.key, task.index), number)
    run = Run(key, worker, step, step.spec.demand, now_ms)
    adopt(run)
    step.waiting.pop(task.index, None)
    step.job.started = True
    task.assigned = worker.worker_id
    # The start leaves once its record is durable.
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


def adopt(run: Run) -> None:
    """Enter a run in the books of its task and worker."""
    task = run.task
    task.runs[run.key.number] = run
    task.last_run = max(task.last_run, run.key.number)
    run.percent_ms = run.sent_ms
    run.worker.charge(run)


def stop_run(cell: CellState, run: Run, now_ms: int, reason: str) -> None:
    """Order a stop, unless one was sent a moment ago."""
    if run.state is not RunState.STOPPING:
        run.state = RunState.STOPPING
        run.stop_reason = str(reason)
    elif run.stop_answered_ms != NEVER:
        return
    if run.stop_sent_ms != NEVER and now_ms - run.stop_sent_ms < STOP_AGAIN_MS:
        return
    run.stop_sent_ms = now_ms
    cell.outbox.append(StopRun(run.worker.worker_id, run.key))


def release_run(run: Run) -> None:
    """Take a run out of the books of its task and worker."""
    run.worker.release(run)
    run.task.runs.pop(run.key.number, None)


def release_worker_runs(
    cell: CellState, worker: WorkerInfo, reason: str
) -> list[Run]:
    """Release every run of a worker on which nothing can run any more."""
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
