"""Take in what workers say of attempts."""

from typing import Final, NamedTuple

from ._commands import Append, ForgetTask, StopTask
from ._events import TaskReport
from ._handlers import Commands
from ._jobs import LIVE_TASK_STATES, AttemptKey, TaskState
from ._records import Ended
from ._state import JobInfo, ShardState, TaskInfo
from ._task_use import note_usage

# A worker that says one of these has not said how an attempt ended.
OPEN_STATES: Final = frozenset((TaskState.QUEUED, TaskState.UNKNOWN))


class Sender(NamedTuple):
    """Name the worker, and its boot, that a report comes from."""

    worker: str
    boot: str


def find_current(
    state: ShardState,
    sender: Sender,
    key: AttemptKey,
) -> TaskInfo | None:
    """Return the task whose live attempt is meant for this worker."""
    job = state.jobs.get(key.job_id)
    task = job.task(key.task_index) if job else None
    if task is None or not task.may_run or task.attempt != key.attempt:
        return None
    return task if task.worker == sender.worker else None


def take_report(
    state: ShardState,
    sender: Sender,
    report: TaskReport,
    now_ms: int,
) -> Commands:
    """Record the end of a current attempt; clear away any other one."""
    if not state.is_owner or report.state in OPEN_STATES:
        return
    task = find_current(state, sender, report.key)
    if task is None:
        yield from _clear_stray(state, sender, report)
        return
    if task.boot != sender.boot:
        return
    if report.state in LIVE_TASK_STATES:
        task.state = TaskState.RUNNING
        note_usage(state, sender.worker, task, report)
    elif not task.ending:
        task.ending = True
        yield Append(ended(state.pool, task, report, now_ms))


def _clear_stray(
    state: ShardState,
    sender: Sender,
    report: TaskReport,
) -> Commands:
    worker = state.workers.get(sender.worker)
    if worker is None:
        return
    key = report.key
    if report.state in LIVE_TASK_STATES:
        worker.strays[key] = None
        yield StopTask(
            sender.worker,
            state.term,
            key,
            checkpoint=False,
            boot=sender.boot,
        )
    else:
        worker.strays.pop(key, None)
        yield ForgetTask(sender.worker, state.term, key)


def stop_live(state: ShardState, job: JobInfo) -> Commands:
    """Stop every live attempt of a job."""
    for index, task in enumerate(job.tasks):
        if task.may_run:
            yield stop_task(state, job, index)


def stop_task(state: ShardState, job: JobInfo, index: int) -> StopTask:
    """Stop one attempt; a gang that restarts is checkpointed."""
    task = job.tasks[index]
    keeps_work = job.spec.checkpointable and not job.cancel_asked
    return StopTask(
        task.worker,
        state.term,
        job.attempt_key(index),
        checkpoint=keeps_work,
        boot=task.boot,
    )


def ended(
    pool: str,
    task: TaskInfo,
    report: TaskReport,
    now_ms: int,
) -> Ended:
    """Return the record of a reported end."""
    key = report.key
    return Ended(
        pool,
        key.job_id,
        key.task_index,
        key.attempt,
        report.state,
        report.code,
        report.answer,
        now_ms,
        task.worker,
        task.boot,
    )
