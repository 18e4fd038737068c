"""Keep allocations consistent with planned and recorded attempts."""

from ._jobs import AttemptKey, TaskState
from ._resources import Resources
from ._state import JobInfo, ShardState, TaskInfo


def charge(
    state: ShardState,
    worker_name: str,
    key: AttemptKey,
    demand: Resources,
) -> None:
    """Allocate resources to an attempt, even on a worker not listed yet."""
    worker = state.workers.get(worker_name)
    if worker is None:
        state.unlisted.setdefault(worker_name, {})[key] = demand
    else:
        worker.charge(key, demand)


def release(state: ShardState, worker_name: str, key: AttemptKey) -> None:
    """Free an attempt's resources on a listed or unlisted worker."""
    worker = state.workers.get(worker_name)
    if worker is not None:
        worker.release(key)
        return
    charges = state.unlisted.get(worker_name, {})
    charges.pop(key, None)
    if not charges:
        state.unlisted.pop(worker_name, None)


def transfer_unlisted_charges(state: ShardState, worker_name: str) -> None:
    """Move allocations made before the worker was listed to the worker."""
    for key, demand in state.unlisted.pop(worker_name, {}).items():
        state.workers[worker_name].charge(key, demand)


def drop_plans(state: ShardState, job: JobInfo) -> None:
    """Discard planned attempts that are not recorded."""
    for index, task in enumerate(job.tasks):
        if task.is_planned:
            release(state, task.worker, job.attempt_key(index))
            _drop_plan(task)


def _drop_plan(task: TaskInfo) -> None:
    task.attempt = task.recorded_attempt
    task.state = TaskState.QUEUED
    task.worker = ''
    task.boot = ''


def has_queued_task(job: JobInfo) -> bool:
    """Return whether any task of the job is queued."""
    return any(task.state is TaskState.QUEUED for task in job.tasks)


def has_task_to_place(job: JobInfo) -> bool:
    """Return whether a task is unplaced, ignoring plans not yet recorded."""
    return any(
        task.state is TaskState.QUEUED or task.is_planned for task in job.tasks
    )
