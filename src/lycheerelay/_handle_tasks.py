"""Place tasks, start them and take in their results."""

from ._commands import Append, ForgetTask, StartTask, StopTask
from ._events import StartAnswered, TaskReport, TasksReported, Tick
from ._handle_keeping import restate
from ._handlers import FOLDS, HANDLERS, Commands
from ._jobs import AttemptKey, TaskState
from ._records import Ended, Intended, Start
from ._schedule import schedule
from ._settle import settle_if_over
from ._state import JobBook, ShardState, TaskBook

RERUN_STATES = frozenset(
    (
        TaskState.NOT_STARTED,
        TaskState.CHECKPOINTED,
        TaskState.LAPSED,
        TaskState.STOPPED,
    )
)
LIVE_REPORTS = frozenset((TaskState.INTENDED, TaskState.RUNNING))


@HANDLERS.register(Tick)
def on_tick(state: ShardState, event: Tick, now_ms: int) -> Commands:
    """Place what waits, where this node is the owner."""
    if state.is_owner:
        yield from schedule(state, now_ms)
    yield from restate(state)


@FOLDS.register(Intended)
def fold_intended(
    state: ShardState,
    record: Intended,
    now_ms: int,
) -> Commands:
    """Book recorded intents; start them where this node is the owner."""
    job = state.jobs.get(record.job_id)
    if job is None or record.term < state.term:
        return
    for start in record.starts:
        yield from _fold_start(state, job, record, start)


def _fold_start(
    state: ShardState,
    job: JobBook,
    record: Intended,
    start: Start,
) -> Commands:
    task = job.tasks[start.task_index]
    key = AttemptKey(record.job_id, start.task_index, start.attempt)
    if task.attempt > start.attempt or (task.recorded and task.is_live):
        return
    task.attempt = start.attempt
    task.state = TaskState.INTENDED
    task.worker = start.worker
    task.boot = start.boot
    task.recorded = True
    task.ending = False
    task.started_ms = record.at_ms
    worker = state.workers.get(start.worker)
    if worker is not None:
        worker.charge(key, job.spec.demand)
    if not state.is_owner:
        return
    if job.cancel_asked:
        yield StopTask(start.worker, state.term, key, checkpoint=False)
    else:
        yield StartTask(start.worker, state.term, key, job.spec)


@HANDLERS.register(StartAnswered)
def on_start_answered(
    state: ShardState,
    event: StartAnswered,
    now_ms: int,
) -> Commands:
    """Take in a worker's definite answer to a start."""
    report = TaskReport(event.key, event.state, event.code)
    yield from take_report(state, report, now_ms)


@HANDLERS.register(TasksReported)
def on_reports(
    state: ShardState,
    event: TasksReported,
    now_ms: int,
) -> Commands:
    """Take in what a worker says of its attempts."""
    worker = state.workers.get(event.worker)
    if worker is not None and event.leaving:
        worker.leaving = True
    for report in event.reports:
        yield from take_report(state, report, now_ms)


def take_report(
    state: ShardState,
    report: TaskReport,
    now_ms: int,
) -> Commands:
    """Record the end of a current attempt; forget one that is past."""
    key = report.key
    job = state.jobs.get(key.job_id)
    if job is None or not state.is_owner:
        return
    task = job.tasks[key.task_index]
    if key.attempt != task.attempt or not task.is_live:
        if report.state not in LIVE_REPORTS and task.worker:
            yield ForgetTask(task.worker, state.term, key)
        return
    if report.state in LIVE_REPORTS:
        task.state = TaskState.RUNNING
        return
    if not task.ending:
        task.ending = True
        yield Append(_ended(state.pool, report, now_ms))


def _ended(pool: str, report: TaskReport, now_ms: int) -> Ended:
    return Ended(
        pool,
        report.key.job_id,
        report.key.task_index,
        report.key.attempt,
        report.state,
        report.code,
        report.answer,
        now_ms,
    )


@FOLDS.register(Ended)
def fold_ended(state: ShardState, record: Ended, now_ms: int) -> Commands:
    """Release the booking and settle or queue the task again."""
    job = state.jobs.get(record.job_id)
    if job is None:
        return
    task = job.tasks[record.task_index]
    if task.attempt != record.attempt or not task.is_live:
        return
    worker = state.workers.get(task.worker)
    if worker is not None:
        worker.release(record.key)
    _apply_end(state, job, task, record)
    yield from settle_if_over(state, job, record.at_ms)
    if state.is_owner:
        yield ForgetTask(task.worker, state.term, record.key)


def _apply_end(
    state: ShardState,
    job: JobBook,
    task: TaskBook,
    record: Ended,
) -> None:
    task.state = record.state
    task.code = record.code
    task.answer = record.answer
    task.ending = False
    if record.state in RERUN_STATES and not job.cancel_asked:
        task.state = TaskState.QUEUED
        task.recorded = False
        task.not_before_ms = record.at_ms + state.policy.limits.retry_base_ms
        state.waiting[record.job_id] = None
