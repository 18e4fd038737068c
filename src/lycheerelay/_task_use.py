"""Book what running tasks use, and relieve workers before they are overfull."""

from collections.abc import Iterator
from typing import Final

from ._commands import StopTask, ThrottleTask
from ._events import TaskReport
from ._handlers import Commands
from ._jobs import AttemptKey, Kind
from ._learn import learned_for
from ._resources import Resources
from ._state import JobInfo, ShardState, TaskInfo, WorkerInfo

PERCENT: Final = 100
FULL_PERCENT: Final = 95
REPEAT_MS: Final = 30_000


def note_usage(
    state: ShardState,
    worker_name: str,
    task: TaskInfo,
    report: TaskReport,
) -> None:
    """Follow an attempt's use and book more where it uses more."""
    worker = state.workers.get(worker_name)
    if worker is None or not report.used_memory_mb:
        return
    task.used_cores_milli = report.used_cores_milli
    task.used_memory_mb = report.used_memory_mb
    job = state.jobs[report.key.job_id]
    learned = learned_for(state, job.spec)
    learned.record_use(report.used_cores_milli, report.used_memory_mb)
    booked = worker.charges.get(report.key)
    if booked is None:
        return
    higher = _higher(booked, report, worker.free)
    if higher != booked:
        worker.release(report.key)
        worker.charge(report.key, higher)


def _higher(
    booked: Resources,
    report: TaskReport,
    free: Resources,
) -> Resources:
    """Book more for a higher use, as far as the worker has room."""
    cores_milli = max(booked.cores_milli, report.used_cores_milli)
    memory_mb = max(booked.memory_mb, report.used_memory_mb)
    return booked._replace(
        cores_milli=min(cores_milli, booked.cores_milli + free.cores_milli),
        memory_mb=min(memory_mb, booked.memory_mb + free.memory_mb),
    )


def relieve(state: ShardState, worker: WorkerInfo, now_ms: int) -> Commands:
    """Throttle or checkpoint what uses more than it declared."""
    if not worker.ready or _was_relieved(worker, now_ms):
        return
    capacity = worker.spec.capacity
    used = _used_on(state, worker)
    command: StopTask | ThrottleTask | None = None
    if PERCENT * used.memory_mb > FULL_PERCENT * capacity.memory_mb:
        command = _checkpoint_largest(state, worker, now_ms)
    elif used.cores_milli > capacity.cores_milli:
        command = _throttle_largest(state, worker)
    if command is not None:
        worker.relieved_ms = now_ms
        yield command


def _was_relieved(worker: WorkerInfo, now_ms: int) -> bool:
    return worker.relieved_ms >= 0 and now_ms < worker.relieved_ms + REPEAT_MS


def _used_on(state: ShardState, worker: WorkerInfo) -> Resources:
    cores_milli = 0
    memory_mb = 0
    for _, _, task in _running(state, worker):
        cores_milli += task.used_cores_milli
        memory_mb += task.used_memory_mb
    return Resources(cores_milli, memory_mb)


def _running(
    state: ShardState,
    worker: WorkerInfo,
) -> Iterator[tuple[AttemptKey, JobInfo, TaskInfo]]:
    for key in worker.charges:
        job = state.jobs.get(key.job_id)
        task = job.task(key.task_index) if job else None
        if job and task and task.may_run and task.attempt == key.attempt:
            yield key, job, task


def _checkpoint_largest(
    state: ShardState,
    worker: WorkerInfo,
    now_ms: int,
) -> StopTask | None:
    over = [
        (task.used_memory_mb - job.spec.memory_mb, key, task)
        for key, job, task in _running(state, worker)
        if job.spec.checkpointable and job.spec.kind is not Kind.GANG
    ]
    excess_mb, key, task = max(over, default=(0, None, None))
    if excess_mb <= 0 or key is None or task is None:
        return None
    task.stopping_ms = now_ms
    return StopTask(task.worker, state.term, key, checkpoint=True)


def _throttle_largest(
    state: ShardState,
    worker: WorkerInfo,
) -> ThrottleTask | None:
    over = [
        (task.used_cores_milli - job.spec.cores_milli, key, job, task)
        for key, job, task in _running(state, worker)
    ]
    if not over:
        return None
    excess, key, job, task = max(over)
    if excess <= 0:
        return None
    percent = PERCENT * job.spec.cores_milli // task.used_cores_milli
    return ThrottleTask(worker.spec.name, state.term, key, max(1, percent))
