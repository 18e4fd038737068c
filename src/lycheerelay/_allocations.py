"""Keep bookings and plans consistent with each other."""

from ._jobs import AttemptKey, TaskState
from ._resources import Resources
from ._state import JobInfo, ShardState, TaskInfo


def charge(
    state: ShardState,
    worker_name: str,
    key: AttemptKey,
    demand: Resources,
) -> None:
    """Book an attempt, also where the worker is not listed yet."""
    worker = state.workers.get(worker_name)
    if worker is None:
        state.unlisted.setdefault(worker_name, {})[key] = demand
    else:
        worker.charge(key, demand)


def release(state: ShardState, worker_name: str, key: AttemptKey) -> None:
    """Give a booking back, wherever it is held."""
    worker = state.workers.get(worker_name)
    if worker is not None:
        worker.release(key)
        return
    held = state.unlisted.get(worker_name, {})
    held.pop(key, None)
    if not held:
        state.unlisted.pop(worker_name, None)


def take_unlisted(state: ShardState, worker_name: str) -> None:
    """Move bookings that came before the worker was listed."""
    for key, demand in state.unlisted.pop(worker_name, {}).items():
        state.workers[worker_name].charge(key, demand)


def drop_plans(state: ShardState, job: JobInfo) -> None:
    """Take back what is decided but not recorded."""
    for index, task in enumerate(job.tasks):
        if task.is_planned:
            release(state, task.worker, job.attempt_key(index))
            _unplan(task)


def _unplan(task: TaskInfo) -> None:
    task.attempt = task.recorded_attempt
    task.state = TaskState.QUEUED
    task.worker = ''
    task.boot = ''


def has_queued(job: JobInfo) -> bool:
    """Tell whether a task of the job is to be placed."""
    return any(task.state is TaskState.QUEUED for task in job.tasks)


def has_open(job: JobInfo) -> bool:
    """Tell whether a task is to be placed, as the records alone show it."""
    return any(
        task.state is TaskState.QUEUED or task.is_planned for task in job.tasks
    )
