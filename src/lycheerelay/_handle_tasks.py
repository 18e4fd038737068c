"""Start tasks and take in their results."""

from typing import Final

from ._allocations import charge, has_queued, release
from ._codes import Code
from ._commands import Append, ForgetTask, StartTask, StopTask
from ._deadlines import settle_late
from ._delays import release_due
from ._ends import END_RULES, apply_end
from ._events import StartAnswered, TaskReport, TasksReported, Tick
from ._handle_durability import restate
from ._handlers import FOLDS, HANDLERS, Commands
from ._jobs import AttemptKey, TaskState
from ._quarantine import give_up, start_probes
from ._records import Ended, Intended, Start
from ._reports import Sender, ended, find_current, stop_live, take_report
from ._retire import retire_final
from ._schedule import schedule
from ._service_reconcile import reconcile_services
from ._settle import settle_if_over
from ._state import JobInfo, ShardState, TaskInfo
from ._task_use import relieve

STATES_WITH_ANSWERS: Final = frozenset((TaskState.DONE, TaskState.FAILED))


@HANDLERS.register(Tick)
def on_tick(state: ShardState, event: Tick, now_ms: int) -> Commands:
    """Let time take effect, then place what waits, where this node owns."""
    release_due(state, now_ms)
    retire_final(state, now_ms)
    yield from settle_late(state, now_ms)
    if state.is_owner:
        start_probes(state, now_ms)
        yield from reconcile_services(state, now_ms)
        yield from schedule(state, now_ms)
    yield from restate(state)


@FOLDS.register(Intended)
def fold_intended(
    state: ShardState,
    record: Intended,
    now_ms: int,
) -> Commands:
    """Book recorded intents; start them where this node is the owner."""
    if record.term >= state.term:
        yield from take_intent(state, record, now_ms)


def take_intent(
    state: ShardState,
    record: Intended,
    now_ms: int,
) -> Commands:
    """Book an intent that counts, whatever its term."""
    job = state.jobs.get(record.job_id)
    if job is None or job.is_final or job.cancel_asked:
        return
    for start in record.starts:
        yield from _fold_start(state, job, record, start, now_ms)
    if not has_queued(job):
        state.waiting.pop(record.job_id, None)
    yield from settle_if_over(state, job, record.at_ms)


def _fold_start(
    state: ShardState,
    job: JobInfo,
    record: Intended,
    start: Start,
    now_ms: int,
) -> Commands:
    task = job.task(start.task_index)
    if task is None or not _takes(task, record, start):
        return
    key = AttemptKey(record.job_id, start.task_index, start.attempt)
    if task.is_live and task.worker != start.worker:
        release(state, task.worker, job.attempt_key(start.task_index))
    if not task.runs:
        state.budget.count_first()
    _book_start(task, record, start)
    charge(state, start.worker, key, job.booked(start.task_index))
    if state.is_owner:
        yield from _send_start(state, job, key, now_ms)


def _takes(task: TaskInfo, record: Intended, start: Start) -> bool:
    if task.state is not TaskState.QUEUED and not task.is_live:
        return False
    if 0 < task.intent_term < record.term:
        # Its owner could not know the earlier intent, which the log shows
        # first, and made sure on the workers that it was never sent.
        return True
    if start.attempt <= task.recorded_attempt:
        return False
    return task.state is TaskState.QUEUED or task.is_planned


def _book_start(task: TaskInfo, record: Intended, start: Start) -> None:
    task.attempt = start.attempt
    task.state = TaskState.INTENDED
    task.worker = start.worker
    task.boot = start.boot
    task.recorded = True
    task.ending = False
    task.started_ms = record.at_ms
    task.intent_term = record.term
    task.runs += 1
    task.booked_cores_milli = start.booked_cores_milli
    task.booked_memory_mb = start.booked_memory_mb
    task.used_cores_milli = 0
    task.used_memory_mb = 0


def _send_start(
    state: ShardState,
    job: JobInfo,
    key: AttemptKey,
    now_ms: int,
) -> Commands:
    task = job.tasks[key.task_index]
    worker = state.workers.get(task.worker)
    if worker is None or not worker.ready:
        # The comparison with the worker's table decides once it is held. A
        # start sent from a replay of the log could come after its end.
        return
    if worker.boot != task.boot:
        # This node alone may send the start, and does not.
        task.ending = True
        report = TaskReport(key, TaskState.NOT_STARTED)
        yield Append(ended(state.pool, task, report, now_ms))
    else:
        yield StartTask(task.worker, state.term, key, job.spec, task.boot)


@HANDLERS.register(StartAnswered)
def on_start_answered(
    state: ShardState,
    event: StartAnswered,
    now_ms: int,
) -> Commands:
    """Take in a worker's answer; void a start that it refused."""
    if event.code == Code.STALE_TERM or not state.is_owner:
        return
    if event.state in STATES_WITH_ANSWERS:
        # The reply lacks the task's answer; the report that follows has it.
        return
    sender = Sender(event.worker, event.boot)
    if event.state is TaskState.NOT_STARTED and event.code != Code.OK:
        task = find_current(state, sender, event.key)
        if task is not None:
            yield StopTask(
                event.worker,
                state.term,
                event.key,
                checkpoint=False,
                boot=task.boot,
            )
        return
    report = TaskReport(event.key, event.state, event.code)
    yield from take_report(state, sender, report, now_ms)


@HANDLERS.register(TasksReported)
def on_reports(
    state: ShardState,
    event: TasksReported,
    now_ms: int,
) -> Commands:
    """Take in what a worker says of its attempts."""
    worker = state.workers.get(event.worker)
    if worker is not None and worker.boot == event.boot:
        worker.told_leaving = event.leaving
        worker.follow_leaving()
    sender = Sender(event.worker, event.boot)
    for report in event.reports:
        yield from take_report(state, sender, report, now_ms)
    tells_use = any(report.used_memory_mb for report in event.reports)
    if worker is not None and tells_use:
        yield from relieve(state, worker, now_ms)


@FOLDS.register(Ended)
def fold_ended(state: ShardState, record: Ended, now_ms: int) -> Commands:
    """Release the booking and settle or queue the task again."""
    job = state.jobs.get(record.job_id)
    task = job.task(record.task_index) if job else None
    if job is None or task is None or record.state not in END_RULES:
        return
    if task.attempt != record.attempt or not task.may_run:
        return
    if record.worker and (record.worker, record.boot) != (
        task.worker,
        task.boot,
    ):
        return
    release(state, task.worker, record.key)
    apply_end(state, job, task, record)
    if state.is_owner:
        yield ForgetTask(task.worker, state.term, record.key)
        if job.restarting:
            yield from stop_live(state, job)
    yield from settle_if_over(state, job, record.at_ms)
    if state.is_owner and record.state is TaskState.FAILED:
        yield from give_up(state, job, now_ms)
