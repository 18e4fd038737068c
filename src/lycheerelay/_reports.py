"""Process what workers report about attempts."""

from typing import Final, NamedTuple

from ._commands import Append, ForgetTask, StopTask
from ._events import TaskReport
from ._handlers import Commands
from ._jobs import LIVE_TASK_STATES, AttemptKey, TaskState
from ._records import Ended
from ._state import JobInfo, ShardState, TaskInfo
from ._task_usage import record_usage

# States in a report that do not tell whether or how an attempt ended.
INCONCLUSIVE_STATES: Final = frozenset((TaskState.QUEUED, TaskState.UNKNOWN))


class ReportSender(NamedTuple):
    """Identify the worker and the boot that sent a report."""

    worker: str
    boot: str


def find_current_task(
    state: ShardState,
    sender: ReportSender,
    key: AttemptKey,
) -> TaskInfo | None:
    """Return the task whose live attempt is assigned to the sender."""
    job = state.jobs.get(key.job_id)
    task = job.task(key.task_index) if job else None
    if task is None or not task.may_run or task.attempt != key.attempt:
        return None
    return task if task.worker == sender.worker else None


def apply_report(
    state: ShardState,
    sender: ReportSender,
    report: TaskReport,
    now_ms: int,
) -> Commands:
    """Record the end of a current attempt; clear an orphaned run."""
    if not state.is_owner or report.state in INCONCLUSIVE_STATES:
        return
    task = find_current_task(state, sender, report.key)
    if task is None:
        yield from _clear_orphaned_run(state, sender, report)
        return
    if task.boot != sender.boot:
        return
    if report.state in LIVE_TASK_STATES:
        task.state = TaskState.RUNNING
        record_usage(state, sender.worker, task, report)
    elif not task.ending:
        task.ending = True
        yield Append(end_record(state.pool, task, report, now_ms))


def _clear_orphaned_run(
    state: ShardState,
    sender: ReportSender,
    report: TaskReport,
) -> Commands:
    worker = state.workers.get(sender.worker)
    if worker is None:
        return
    key = report.key
    is_live = report.state in LIVE_TASK_STATES
    if is_live:
        worker.strays[key] = None
    else:
        worker.strays.pop(key, None)
    if state.log_term < state.term:
        # The log may hold intents before the claim of this term that this
        # node has not read yet. Run tables are read again after that.
        return
    if is_live:
        yield StopTask(
            sender.worker,
            state.term,
            key,
            checkpoint=False,
            boot=sender.boot,
        )
    else:
        yield ForgetTask(sender.worker, state.term, key)


def stop_live_attempts(state: ShardState, job: JobInfo) -> Commands:
    """Stop every live attempt of a job."""
    for index, task in enumerate(job.tasks):
        if task.may_run:
            yield stop_command(state, job, index)


def stop_command(state: ShardState, job: JobInfo, index: int) -> StopTask:
    """Return the command to stop one attempt.

    A checkpointable task is checkpointed unless its job is cancelled.
    """
    task = job.tasks[index]
    checkpoint = job.spec.checkpointable and not job.cancel_asked
    return StopTask(
        task.worker,
        state.term,
        job.attempt_key(index),
        checkpoint=checkpoint,
        boot=task.boot,
    )


def end_record(
    pool: str,
    task: TaskInfo,
    report: TaskReport,
    now_ms: int,
) -> Ended:
    """Return the record of an attempt's reported end."""
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
