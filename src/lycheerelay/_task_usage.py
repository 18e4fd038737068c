"""Track what running tasks use and relieve overloaded workers."""

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
MEMORY_PRESSURE_PERCENT: Final = 95
RELIEF_INTERVAL_MS: Final = 30_000


def record_usage(
    state: ShardState,
    worker_name: str,
    task: TaskInfo,
    report: TaskReport,
) -> None:
    """Record an attempt's usage; raise its allocation to the usage."""
    worker = state.workers.get(worker_name)
    if worker is None or not report.used_memory_mb:
        return
    task.used_cores_milli = report.used_cores_milli
    task.used_memory_mb = report.used_memory_mb
    job = state.jobs[report.key.job_id]
    learned = learned_for(state, job.spec)
    learned.record_use(report.used_cores_milli, report.used_memory_mb)
    allocated = worker.charges.get(report.key)
    if allocated is None:
        return
    higher = _raise_allocation(allocated, report, worker.free)
    if higher != allocated:
        worker.release(report.key)
        worker.charge(report.key, higher)


def _raise_allocation(
    allocated: Resources,
    report: TaskReport,
    free: Resources,
) -> Resources:
    """Return the allocation raised to the usage, within free capacity."""
    cores_milli = max(allocated.cores_milli, report.used_cores_milli)
    memory_mb = max(allocated.memory_mb, report.used_memory_mb)
    return allocated._replace(
        cores_milli=min(cores_milli, allocated.cores_milli + free.cores_milli),
        memory_mb=min(memory_mb, allocated.memory_mb + free.memory_mb),
    )


def relieve_overload(
    state: ShardState,
    worker: WorkerInfo,
    now_ms: int,
) -> Commands:
    """Throttle or checkpoint the attempt furthest above its declaration."""
    if not worker.ready or _was_recently_relieved(worker, now_ms):
        return
    capacity = worker.spec.capacity
    used = _total_usage(state, worker)
    command: StopTask | ThrottleTask | None = None
    if PERCENT * used.memory_mb > MEMORY_PRESSURE_PERCENT * capacity.memory_mb:
        command = _checkpoint_largest(state, worker, now_ms)
    elif used.cores_milli > capacity.cores_milli:
        command = _throttle_largest(state, worker)
    if command is not None:
        worker.relieved_ms = now_ms
        yield command


def _was_recently_relieved(worker: WorkerInfo, now_ms: int) -> bool:
    if worker.relieved_ms < 0:
        return False
    return now_ms < worker.relieved_ms + RELIEF_INTERVAL_MS


def _total_usage(state: ShardState, worker: WorkerInfo) -> Resources:
    cores_milli = 0
    memory_mb = 0
    for _, _, task in _running_attempts(state, worker):
        cores_milli += task.used_cores_milli
        memory_mb += task.used_memory_mb
    return Resources(cores_milli, memory_mb)


def _running_attempts(
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
    excesses = [
        (task.used_memory_mb - job.spec.memory_mb, key, task)
        for key, job, task in _running_attempts(state, worker)
        if job.spec.checkpointable and job.spec.kind is not Kind.GANG
    ]
    excess_mb, key, task = max(excesses, default=(0, None, None))
    if excess_mb <= 0 or key is None or task is None:
        return None
    task.stopping_ms = now_ms
    return StopTask(task.worker, state.term, key, checkpoint=True)


def _throttle_largest(
    state: ShardState,
    worker: WorkerInfo,
) -> ThrottleTask | None:
    excesses = [
        (task.used_cores_milli - job.spec.cores_milli, key, job, task)
        for key, job, task in _running_attempts(state, worker)
    ]
    if not excesses:
        return None
    excess, key, job, task = max(excesses)
    if excess <= 0:
        return None
    percent = PERCENT * job.spec.cores_milli // task.used_cores_milli
    return ThrottleTask(worker.spec.name, state.term, key, max(1, percent))
