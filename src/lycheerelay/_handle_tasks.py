"""Start tasks and process their results."""

from typing import Final

from ._allocations import charge, has_queued_task, release
from ._attempt_ends import END_RULES, apply_end
from ._codes import Code
from ._commands import Append, ForgetTask, StartTask, StopTask
from ._deadlines import finalize_expired_jobs
from ._delays import release_due_reruns
from ._events import StartAnswered, TaskReport, TasksReported, Tick
from ._finalize import finalize_if_over
from ._handle_durability import restate
from ._handlers import EVENT_HANDLERS, RECORD_HANDLERS, Commands
from ._jobs import AttemptKey, TaskState
from ._quarantine import give_up, start_probes
from ._records import Ended, Intended, Start
from ._reports import (
    ReportSender,
    apply_report,
    end_record,
    find_current_task,
    stop_live_attempts,
)
from ._retire import retire_final_jobs
from ._schedule import schedule
from ._service_reconcile import reconcile_services
from ._state import JobInfo, ShardState, TaskInfo
from ._task_usage import relieve_overload

STATES_WITH_ANSWERS: Final = frozenset((TaskState.DONE, TaskState.FAILED))


@EVENT_HANDLERS.register(Tick)
def on_tick(state: ShardState, event: Tick, now_ms: int) -> Commands:
    """Apply timeouts; on the owner, also schedule waiting tasks."""
    release_due_reruns(state, now_ms)
    retire_final_jobs(state, now_ms)
    yield from finalize_expired_jobs(state, now_ms)
    if state.is_owner:
        start_probes(state, now_ms)
        yield from reconcile_services(state, now_ms)
        yield from schedule(state, now_ms)
    yield from restate(state)


@RECORD_HANDLERS.register(Intended)
def apply_intended(
    state: ShardState,
    record: Intended,
    now_ms: int,
) -> Commands:
    """Apply an intent unless a higher term made it void."""
    if record.term >= state.term:
        yield from apply_intent_of_any_term(state, record, now_ms)


def apply_intent_of_any_term(
    state: ShardState,
    record: Intended,
    now_ms: int,
) -> Commands:
    """Allocate the intended attempts; the owner also starts them."""
    job = state.jobs.get(record.job_id)
    if job is None or job.is_final or job.cancel_asked:
        return
    for start in record.starts:
        yield from _apply_start(state, job, record, start, now_ms)
    if not has_queued_task(job):
        state.waiting.pop(record.job_id, None)
    yield from finalize_if_over(state, job, record.at_ms)


def _apply_start(
    state: ShardState,
    job: JobInfo,
    record: Intended,
    start: Start,
    now_ms: int,
) -> Commands:
    task = job.task(start.task_index)
    if task is None or not _accepts_start(task, record, start):
        return
    key = AttemptKey(record.job_id, start.task_index, start.attempt)
    if task.is_live and task.worker != start.worker:
        release(state, task.worker, job.attempt_key(start.task_index))
    if not task.runs:
        state.budget.count_first()
    _set_attempt(task, record, start)
    charge(state, start.worker, key, job.allocated(start.task_index))
    if state.is_owner:
        yield from _send_start(state, job, key, now_ms)


def _accepts_start(task: TaskInfo, record: Intended, start: Start) -> bool:
    if task.state is not TaskState.QUEUED and not task.is_live:
        return False
    if 0 < task.intent_term < record.term:
        # The owner of the later term had not seen the earlier intent, although
        # the log shows it first. Before it placed the task, it checked on the
        # workers that the earlier start was never sent.
        return True
    if start.attempt <= task.recorded_attempt:
        return False
    return task.state is TaskState.QUEUED or task.is_planned


def _set_attempt(task: TaskInfo, record: Intended, start: Start) -> None:
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
        # Once the worker's lease is held, its run table shows whether the start
        # is needed. A start sent during a replay of the log could reach the
        # worker after the attempt ended.
        return
    if worker.boot != task.boot:
        # The worker rebooted. Only this node may send the start, and it does
        # not, so the attempt is known not to have started.
        task.ending = True
        report = TaskReport(key, TaskState.NOT_STARTED)
        yield Append(end_record(state.pool, task, report, now_ms))
    else:
        yield StartTask(task.worker, state.term, key, job.spec, task.boot)


@EVENT_HANDLERS.register(StartAnswered)
def on_start_answered(
    state: ShardState,
    event: StartAnswered,
    now_ms: int,
) -> Commands:
    """Process a worker's reply to a start; void a refused start."""
    if event.code == Code.STALE_TERM or not state.is_owner:
        return
    if event.state in STATES_WITH_ANSWERS:
        # The reply has no task answer; a later report brings it.
        return
    sender = ReportSender(event.worker, event.boot)
    if event.state is TaskState.NOT_STARTED and event.code != Code.OK:
        task = find_current_task(state, sender, event.key)
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
    yield from apply_report(state, sender, report, now_ms)


@EVENT_HANDLERS.register(TasksReported)
def on_reports(
    state: ShardState,
    event: TasksReported,
    now_ms: int,
) -> Commands:
    """Process a worker's reports on its attempts."""
    worker = state.workers.get(event.worker)
    if worker is not None and worker.boot == event.boot:
        worker.told_leaving = event.leaving
        worker.update_leaving()
    sender = ReportSender(event.worker, event.boot)
    for report in event.reports:
        yield from apply_report(state, sender, report, now_ms)
    reports_usage = any(report.used_memory_mb for report in event.reports)
    if worker is not None and reports_usage:
        yield from relieve_overload(state, worker, now_ms)


@RECORD_HANDLERS.register(Ended)
def apply_ended(state: ShardState, record: Ended, now_ms: int) -> Commands:
    """Free the attempt's resources and finalize or requeue its task."""
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
            yield from stop_live_attempts(state, job)
    yield from finalize_if_over(state, job, record.at_ms)
    if state.is_owner and record.state is TaskState.FAILED:
        yield from give_up(state, job, now_ms)
