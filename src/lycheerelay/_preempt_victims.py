"""Choose running attempts that may be stopped and run again later."""

from collections.abc import Iterator
from typing import Final, NamedTuple

from ._commands import StopTask
from ._jobs import AttemptKey, JobSpec, Kind
from ._resources import Resources
from ._state import JobInfo, ShardState, TaskInfo, WorkerInfo

CHECKPOINT_COST_MS: Final = 1000
REPEAT_STOP_MS: Final = 2500
MAX_MOVES: Final = 2


class Victim(NamedTuple):
    """Describe a running attempt that may be stopped."""

    cost: int
    key: AttemptKey
    held: Resources


def cheapest_victims(
    victims: Iterator[Victim],
    demand: Resources,
    free: Resources,
) -> list[Victim] | None:
    """Add victims by cost until the demand fits, then drop needless ones."""
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
    """Checkpoint an attempt in favour of a job."""
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


def stopping_room(
    state: ShardState,
    worker: WorkerInfo,
    now_ms: int,
) -> Resources:
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
    for key, held in worker.charges.items():
        job = state.jobs.get(key.job_id)
        if job is None:
            continue
        task = job.tasks[key.task_index]
        if can_preempt(state, job, task) and not is_stopping(task, now_ms):
            yield Victim(_cost(job.spec, task, now_ms), key, held)


def is_stopping(task: TaskInfo, now_ms: int) -> bool:
    """Tell whether a stop was sent lately."""
    return bool(
        task.stopping_ms and now_ms - task.stopping_ms < REPEAT_STOP_MS,
    )


def can_preempt(state: ShardState, job: JobInfo, task: TaskInfo) -> bool:
    """Tell whether stopping an attempt loses nothing for good."""
    spec = job.spec
    if spec.urgent or job.cancel_asked or task.ending or not task.may_run:
        return False
    if spec.kind is not Kind.BATCH:
        return False
    if spec.checkpointable:
        return True
    workload = state.policy.workload(spec.workload)
    return spec.idempotent and (workload is None or workload.preemptible)


def _cost(spec: JobSpec, task: TaskInfo, now_ms: int) -> int:
    """Return the core time that a stop throws away."""
    elapsed_ms = max(0, now_ms - task.started_ms)
    if spec.checkpointable:
        elapsed_ms = min(elapsed_ms, CHECKPOINT_COST_MS)
    return (elapsed_ms + 1) * spec.cores_milli


def movable_once_more(job: JobInfo, task: TaskInfo) -> bool:
    """Tell whether work may give way to work that is not urgent."""
    return job.spec.checkpointable and task.moves < MAX_MOVES
