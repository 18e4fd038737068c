"""Process the ends of runs."""

from enum import StrEnum, unique
from typing import Final, NamedTuple

from ._crashes import Crash, CrashSign, count_crash
from ._intake import finalize_job, find_step, finish_step, reopen_task
from ._log_events import log_event
from ._runs import (
    forget_assignment,
    note_unconfirmed_start,
    release_ended_run,
    stop_run,
)
from ._spec import RunKey
from ._state import (
    NEVER,
    CellState,
    JobPhase,
    Run,
    RunState,
    StepInfo,
    TaskInfo,
    WorkerInfo,
)
from ._worker_bars import clear_failures, count_failure

# Delay before a failed service task is restarted, multiplied by its number of
# failed runs. It is short because callers of the service are waiting.
SERVICE_RETRY_MS: Final = 50
MAX_SERVICE_RETRY_MS: Final = 1000
# Failed runs of a service task that are kept; the delay does not grow beyond.
MAX_SERVICE_FAILURES: Final = MAX_SERVICE_RETRY_MS // SERVICE_RETRY_MS


@unique
class RunOutcome(StrEnum):
    """Outcome of a run; the values are those that workers report."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    EXPIRED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class RunEnd(NamedTuple):
    """One run end as listed by its worker."""

    number: int
    run: RunKey
    outcome: RunOutcome
    checkpoint: str


def apply_end(
    cell: CellState,
    worker: WorkerInfo,
    end: RunEnd,
    now_ms: int,
) -> None:
    """Process one run end listed by a worker."""
    worker.orphaned_runs.pop(end.run, None)
    run = worker.runs.get(end.run)
    if run is not None:
        release_ended_run(run)
        if end.outcome is RunOutcome.DONE:
            run.step.duration_by_worker_ms[worker.key] = now_ms - run.sent_ms
    step = find_step(cell, end.run)
    if step is None or step.job.is_final:
        return
    task = step.tasks[end.run.task.member]
    _note_end(cell, worker, step, end)
    log_event(
        cell,
        'run_ended',
        run=end.run,
        worker=worker.worker_id,
        how=end.outcome,
        known=run is not None,
        stop=run.stop_reason if run else '',
        answered_ms=_elapsed_ms(run, run.answered_ms) if run else NEVER,
        took_ms=_elapsed_ms(run, now_ms) if run else NEVER,
    )
    if end.checkpoint:
        keep_checkpoint(step, task, end.checkpoint)
    if end.outcome is RunOutcome.DONE:
        _handle_done(cell, step, task, end.run.number, now_ms)
        clear_failures(worker)
    elif end.outcome is RunOutcome.FAILED:
        _handle_failed(cell, worker, step, end.run, now_ms)
        count_failure(cell, worker, step, now_ms)
    requeue(cell, step, task, now_ms)


def _note_end(
    cell: CellState, worker: WorkerInfo, step: StepInfo, end: RunEnd
) -> None:
    """Record that a worker holds a run no more, for the next owner."""
    task = step.tasks[end.run.task.member]
    if end.run.number == task.last_run:
        forget_assignment(task, worker)
    if not task.done:
        cell.unrecorded_jobs[step.job.spec.job_id] = None


def _elapsed_ms(run: Run, at_ms: int) -> int:
    """Return the time from the decision to start a run, or NEVER."""
    return NEVER if at_ms == NEVER else at_ms - run.sent_ms


def keep_checkpoint(step: StepInfo, task: TaskInfo, checkpoint: str) -> None:
    """Store a checkpoint; all members of a gang share it."""
    if step.spec.gang:
        for member in step.tasks:
            member.checkpoint = checkpoint
    else:
        task.checkpoint = checkpoint


def requeue(
    cell: CellState,
    step: StepInfo,
    task: TaskInfo,
    now_ms: int,
) -> None:
    """Requeue a task once no worker may hold a run of it."""
    if step.spec.gang:
        _requeue_gang(cell, step, now_ms)
    elif not task.done and not task.runs:
        reopen_task(cell, step, task.index)


def _requeue_gang(cell: CellState, step: StepInfo, now_ms: int) -> None:
    if step.is_done:
        return
    for member in step.tasks:
        for run in list(member.runs.values()):
            stop_run(cell, run, now_ms, 'another gang member ended')
    if not step.has_runs:
        for member in step.tasks:
            reopen_task(cell, step, member.index)


def _handle_done(
    cell: CellState,
    step: StepInfo,
    task: TaskInfo,
    number: int,
    now_ms: int,
) -> None:
    if step.spec.lasts:
        return
    members = step.tasks if step.spec.gang else [task]
    cell.unrecorded_jobs[step.job.spec.job_id] = None
    for member in members:
        mark_done(step, member)
        for run in list(member.runs.values()):
            if not step.spec.gang or run.key.number != number:
                stop_run(cell, run, now_ms, 'another run of the task completed')
    if step.is_done:
        finish_step(cell, step, now_ms)


def mark_done(step: StepInfo, task: TaskInfo) -> None:
    """Mark a task as done; repeated calls have no effect."""
    if not task.done:
        task.done = True
        step.done_count += 1
    step.waiting.pop(task.index, None)


def note_failed_run(step: StepInfo, task: TaskInfo, number: int) -> None:
    """Count a failed run; of a task that lasts, the last ones are kept."""
    task.failed_runs[number] = None
    while step.spec.lasts and len(task.failed_runs) > MAX_SERVICE_FAILURES:
        task.failed_runs.pop(min(task.failed_runs))


def _handle_failed(
    cell: CellState,
    worker: WorkerInfo,
    step: StepInfo,
    run: RunKey,
    now_ms: int,
) -> None:
    members = step.tasks if step.spec.gang else [step.tasks[run.task.member]]
    job = step.job
    cell.unrecorded_jobs[job.spec.job_id] = None
    for member in members:
        note_failed_run(step, member, run.number)
        member.avoided_worker = worker.key
    failures = len(members[0].failed_runs)
    if step.spec.lasts:
        wait_ms = min(SERVICE_RETRY_MS * failures, MAX_SERVICE_RETRY_MS)
        members[0].not_before_ms = now_ms + wait_ms
    elif failures >= job.spec.max_attempts:
        finalize_job(
            cell, job, JobPhase.FAILED, f'{failures} runs failed', now_ms
        )


def discard_lost_run(
    cell: CellState,
    run: Run,
    now_ms: int,
    reason: str,
) -> None:
    """Discard a run that its worker can no longer hold."""
    note_unconfirmed_start(run, now_ms)
    release_ended_run(run)
    log_event(
        cell,
        'run_over',
        run=run.key,
        worker=run.worker.worker_id,
        reason=reason,
        state=run.state.value,
        worker_started_ms=run.worker.key.started_ms,
        handled_end=run.worker.handled_end,
    )
    if run.state is not RunState.STOPPING and run.step.spec.checkpoints:
        cell.unrecorded_jobs[run.key.task.job_id] = None
    if run.earlier_crash is not None:
        suspects = (run.earlier_crash,)
        crash = Crash(run.worker.worker_id, CrashSign.RESTARTED, suspects)
        count_crash(cell, crash, now_ms)
    if not run.step.job.is_final:
        requeue(cell, run.step, run.task, now_ms)
