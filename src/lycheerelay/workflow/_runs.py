"""Start, stop and release runs."""

from typing import Final

from ._commands import StartRun, StopRun
from ._log_events import log_event
from ._probation import is_on_probation, watch_run
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
# An order without an answer may be carried out for this time.
LATE_ORDER_MS: Final = 15_000


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
    if is_on_probation(task):
        watch_run(run, now_ms)
    attach_run(run)
    step.waiting.pop(task.index, None)
    _log_first_start(cell, step, now_ms)
    step.job.started = True
    task.assigned_worker = worker.worker_id
    # The start order is sent once the progress record is durable.
    cell.unrecorded_jobs[step.job.spec.job_id] = None
    ticket = step.tickets.get(worker.key)
    cell.outbox.append(
        StartRun(
            worker.key,
            key,
            step.job.spec.payload,
            task.checkpoint,
            ticket.text if ticket else '',
        ),
    )
    return run


def _log_first_start(cell: CellState, step: StepInfo, now_ms: int) -> None:
    spec = step.job.spec
    if spec.tenant and not step.job.started:
        wait_ms = max(now_ms - max(spec.accepted_ms, spec.first_due_ms), 0)
        log_event(
            cell,
            'job_started',
            job=spec.job_id,
            tenant=spec.tenant,
            wait_ms=wait_ms,
            over_rate=step.job.is_over_rate,
        )


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
    cell.outbox.append(StopRun(run.worker.key, run.key))


def release_run(run: Run) -> None:
    """Remove a run from its task and free its allocation."""
    run.worker.release(run)
    run.task.runs.pop(run.key.number, None)


def release_ended_run(run: Run) -> None:
    """Release a run that its worker is known not to hold any more.

    A later crash of the worker then tells nothing about the task.
    """
    release_run(run)
    forget_assignment(run.task, run.worker)


def forget_assignment(task: TaskInfo, worker: WorkerInfo) -> None:
    """Note that a worker holds no run of a task any more."""
    if task.assigned_worker == worker.worker_id and not task.runs:
        task.assigned_worker = ''


def is_start_unconfirmed(run: Run) -> bool:
    """Return whether no run table has shown that an order sent was carried out."""
    return run.order_sent and not run.listed


def note_unconfirmed_start(run: Run, now_ms: int) -> None:
    """Remember a run that is given up without an answer to its start order."""
    if not is_start_unconfirmed(run) or run.answered_ms != NEVER:
        return
    worker = run.worker
    worker.unconfirmed_starts = {
        key: given_up_ms
        for key, given_up_ms in worker.unconfirmed_starts.items()
        if now_ms - given_up_ms < LATE_ORDER_MS
    }
    worker.unconfirmed_starts[run.key] = now_ms


def release_worker_runs(
    cell: CellState, worker: WorkerInfo, reason: str
) -> list[Run]:
    """Release and return every run of a worker that can run no more."""
    runs = list(worker.runs.values())
    for run in runs:
        release_run(run)
    worker.orphaned_runs.clear()
    if runs:
        _log_lost_runs(cell, worker, runs)
    log_event(
        cell,
        'worker_over',
        worker=worker.worker_id,
        started_ms=worker.key.started_ms,
        reason=reason,
        runs=len(runs),
    )
    return runs


def _log_lost_runs(
    cell: CellState, worker: WorkerInfo, runs: list[Run]
) -> None:
    """Log the runs that a worker takes with it, and how long each had run."""
    log_event(
        cell,
        'runs_lost',
        worker=worker.worker_id,
        started_ms=worker.key.started_ms,
        draining=worker.draining,
        runs=tuple(run.key for run in runs),
        ran_ms=tuple(worker.last_contact_ms - run.sent_ms for run in runs),
        listed=tuple(run.listed for run in runs),
    )
