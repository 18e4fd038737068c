"""Judge how runs ended."""

from enum import StrEnum, unique
from typing import Final, NamedTuple

from ._intake import finish_step, reopen_tasks, settle
from ._log_events import log_event
from ._runs import release_run, stop_run
from ._spec import RunKey
from ._state import (
    CellState,
    JobPhase,
    Run,
    RunState,
    StepInfo,
    TaskInfo,
    WorkerInfo,
)

# A failed run of a task that lasts is started again after this time, in ms,
# times the failures in a row; short, as callers of the task wait.
LASTING_RETRY_MS: Final = 50
LASTING_RETRY_LIMIT_MS: Final = 1000


@unique
class RunOutcome(StrEnum):
    """Name how a run ended; values are as recorded."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class RunEnd(NamedTuple):
    """Tell one end as its worker lists it."""

    number: int
    run: RunKey
    how: RunOutcome
    checkpoint: str


def apply_end(
    cell: CellState,
    worker: WorkerInfo,
    end: RunEnd,
    now_ms: int,
) -> None:
    """Judge one end that a worker lists."""
    worker.orphaned_runs.pop(end.run, None)
    run = worker.runs.get(end.run)
    if run is not None:
        release_run(run)
        if end.how is RunOutcome.DONE:
            run.step.needed_ms[worker.worker_id] = now_ms - run.sent_ms
    step = find_step(cell, end.run)
    if step is None or step.job.is_final:
        return
    task = step.tasks[end.run.task.member]
    log_event(
        cell,
        'run_ended',
        run=end.run,
        worker=worker.worker_id,
        how=end.how,
        known=run is not None,
        stop=run.stop_reason if run else '',
    )
    if end.checkpoint:
        keep_checkpoint(step, task, end.checkpoint)
    if end.how is RunOutcome.DONE:
        _done(cell, step, task, end.run.number, now_ms)
    elif end.how is RunOutcome.FAILED:
        _failed(cell, worker, step, end.run, now_ms)
    _judge_worker(cell, worker, step, end.how, now_ms)
    requeue(cell, step, task, now_ms)


def find_step(cell: CellState, run: RunKey) -> StepInfo | None:
    """Return the step that a run belongs to, if it is known and open."""
    job = cell.jobs.get(run.task.job_id)
    if job is None:
        return None
    steps = job.occurrences.get(run.task.occurrence)
    if steps is None or not 0 <= run.task.step < len(steps):
        return None
    step = steps[run.task.step]
    if not 0 <= run.task.member < len(step.tasks):
        return None
    return step


def keep_checkpoint(step: StepInfo, task: TaskInfo, checkpoint: str) -> None:
    """Remember saved progress; members of a gang share it."""
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
    """Let a task wait again once no worker may hold a run of it."""
    if step.spec.gang:
        _requeue_gang(cell, step, now_ms)
    elif not task.done and not task.runs:
        reopen_tasks(cell, step, task.index)


def _requeue_gang(cell: CellState, step: StepInfo, now_ms: int) -> None:
    if step.is_done:
        return
    for member in step.tasks:
        for run in list(member.runs.values()):
            stop_run(cell, run, now_ms, 'another member ended')
    if not step.has_runs:
        for member in step.tasks:
            reopen_tasks(cell, step, member.index)


def _done(
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
                stop_run(cell, run, now_ms, 'another run is done')
    if step.is_done:
        finish_step(cell, step, now_ms)


def mark_done(step: StepInfo, task: TaskInfo) -> None:
    """Count a task as done, once."""
    if not task.done:
        task.done = True
        step.done_count += 1
    step.waiting.pop(task.index, None)


def _failed(
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
        member.failed_runs[run.number] = None
        member.avoid = worker.worker_id
    failures = len(members[0].failed_runs)
    if step.spec.lasts:
        wait_ms = min(LASTING_RETRY_MS * failures, LASTING_RETRY_LIMIT_MS)
        members[0].not_before_ms = now_ms + wait_ms
    elif failures >= job.spec.max_attempts:
        settle(cell, job, JobPhase.FAILED, f'{failures} runs failed', now_ms)


# A worker on which runs of so many jobs failed in a row, with none done in
# between, is left alone for a while: single jobs may be at fault themselves.
FAILURES_TO_BAR: Final = 2
BAR_MS: Final = 2500
BAR_LIMIT_MS: Final = 10000


def _judge_worker(
    cell: CellState,
    worker: WorkerInfo,
    step: StepInfo,
    how: RunOutcome,
    now_ms: int,
) -> None:
    if how is RunOutcome.DONE:
        worker.failures_in_row.clear()
        worker.bars = 0
        return
    if how is not RunOutcome.FAILED:
        return
    worker.failures_in_row[step.job.spec.job_id] = None
    if len(worker.failures_in_row) >= FAILURES_TO_BAR:
        worker.bars += 1
        bar_ms = min(BAR_MS * worker.bars, BAR_LIMIT_MS)
        worker.barred_until_ms = now_ms + bar_ms
        jobs = len(worker.failures_in_row)
        worker.failures_in_row.clear()
        log_event(
            cell,
            'worker_barred',
            worker=worker.worker_id,
            jobs=jobs,
            for_ms=bar_ms,
        )


def run_vanished(
    cell: CellState,
    run: Run,
    now_ms: int,
    reason: str,
) -> None:
    """Give up a run that its worker cannot hold any more."""
    release_run(run)
    log_event(
        cell, 'run_over', run=run.key, reason=reason, state=run.state.value
    )
    if run.state is not RunState.STOPPING and run.step.spec.checkpoints:
        cell.unrecorded_jobs[run.key.task.job_id] = None
    if not run.step.job.is_final:
        requeue(cell, run.step, run.task, now_ms)
