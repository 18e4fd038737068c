"""Choose running attempts to preempt, which run again later."""

from collections.abc import Iterator
from typing import Final, NamedTuple

from ._commands import StopTask
from ._jobs import AttemptKey, JobSpec, Kind
from ._resources import Resources
from ._state import JobInfo, ShardState, TaskInfo, WorkerInfo

CHECKPOINT_COST_MS: Final = 1000
# A stop without effect is repeated after this time.
STOP_REPEAT_MS: Final = 2500
MAX_MOVES_PER_TASK: Final = 2


class Victim(NamedTuple):
    """Describe a running attempt that may be stopped.

    The cost is lost core time, in ms times thousandths of a core.
    """

    cost: int
    key: AttemptKey
    held: Resources


def cheapest_victims(
    victims: Iterator[Victim],
    demand: Resources,
    free: Resources,
) -> list[Victim] | None:
    """Add victims by cost until the demand fits, then drop unneeded ones."""
    chosen: list[Victim] = []
    for victim in sorted(victims):
        if demand.fits_in(free):
            break
        chosen.append(victim)
        free = free.plus(victim.held)
    if not demand.fits_in(free):
        return None
    for victim in tuple(reversed(chosen)):
        if demand.fits_in(free.minus(victim.held)):
            chosen.remove(victim)
            free = free.minus(victim.held)
    return chosen


def stop_victim(
    state: ShardState,
    victim: AttemptKey,
    job_id: str,
    now_ms: int,
) -> StopTask:
    """Checkpoint an attempt in favour of another job."""
    task = state.jobs[victim.job_id].tasks[victim.task_index]
    task.stopping_ms = now_ms
    task.moved_for = job_id
    task.moves += 1
    return StopTask(
        task.worker,
        state.term,
        victim,
        checkpoint=True,
        boot=task.boot,
    )


def capacity_being_freed(
    state: ShardState,
    worker: WorkerInfo,
    now_ms: int,
) -> Resources:
    """Sum what the attempts hold that are being stopped on a worker."""
    total = Resources()
    for key, held in worker.charges.items():
        job = state.jobs.get(key.job_id)
        if job and is_stopping(job.tasks[key.task_index], now_ms):
            total = total.plus(held)
    return total


def victims_on(
    state: ShardState,
    worker: WorkerInfo,
    now_ms: int,
) -> Iterator[Victim]:
    """Iterate over the attempts on a worker that may be stopped."""
    for key, held in worker.charges.items():
        job = state.jobs.get(key.job_id)
        if job is None:
            continue
        task = job.tasks[key.task_index]
        if can_preempt(state, job, task) and not is_stopping(task, now_ms):
            yield Victim(_lost_core_time(job.spec, task, now_ms), key, held)


def is_stopping(task: TaskInfo, now_ms: int) -> bool:
    """Return whether a stop was sent recently."""
    return bool(
        task.stopping_ms and now_ms - task.stopping_ms < STOP_REPEAT_MS,
    )


def can_preempt(state: ShardState, job: JobInfo, task: TaskInfo) -> bool:
    """Return whether an attempt can be stopped without losing its task."""
    spec = job.spec
    if spec.urgent or job.cancel_asked or task.ending or not task.may_run:
        return False
    if spec.kind is not Kind.BATCH:
        return False
    if spec.checkpointable:
        return True
    workload = state.policy.workload(spec.workload)
    return spec.idempotent and (workload is None or workload.preemptible)


def _lost_core_time(spec: JobSpec, task: TaskInfo, now_ms: int) -> int:
    """Return the core time that a stop loses, in ms times cores_milli."""
    elapsed_ms = max(0, now_ms - task.started_ms)
    if spec.checkpointable:
        elapsed_ms = min(elapsed_ms, CHECKPOINT_COST_MS)
    return (elapsed_ms + 1) * spec.cores_milli


def is_movable(job: JobInfo, task: TaskInfo) -> bool:
    """Return whether a task may be preempted for a job that is not urgent."""
    return job.spec.checkpointable and task.moves < MAX_MOVES_PER_TASK
