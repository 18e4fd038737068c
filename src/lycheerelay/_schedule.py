"""Order what waits, fit it to workers and announce the starts."""

from collections.abc import Callable, Iterator
from typing import Final

from ._commands import Append
from ._fence import follow_fence, may_start
from ._fit import FITS, FitPolicy
from ._handlers import Commands
from ._jobs import AttemptKey, Kind, TaskState
from ._records import Intended, Start
from ._registry import Registry
from ._state import JobBook, ShardState

Placement = tuple[int, str]
KindPolicy = Callable[[ShardState, JobBook, FitPolicy, int], list[Placement]]

KINDS: Final[Registry[Kind, KindPolicy]] = Registry('kind policy')


def schedule(state: ShardState, now_ms: int) -> Commands:
    """Announce starts for waiting work in policy order."""
    follow_fence(state, now_ms)
    for job_id in in_order(state):
        job = state.jobs[job_id]
        if not may_start(state, job):
            continue
        fit = FITS['best_fit']
        placements = KINDS[job.spec.kind](state, job, fit, now_ms)
        if placements:
            yield Append(_reserve(state, job, placements, now_ms))
        if not any(task.state is TaskState.QUEUED for task in job.tasks):
            state.waiting.pop(job_id, None)


def in_order(state: ShardState) -> Iterator[str]:
    """Iterate over waiting jobs: urgent ones first, then by age."""
    yield from sorted(
        state.waiting,
        key=lambda job_id: (
            not state.jobs[job_id].spec.urgent,
            state.jobs[job_id].accepted_ms,
            job_id,
        ),
    )


@KINDS.register(Kind.SERVICE)
@KINDS.register(Kind.BATCH)
def place_each(
    state: ShardState,
    job: JobBook,
    fit: FitPolicy,
    now_ms: int,
) -> list[Placement]:
    """Place each task that fits now."""
    placements = []
    for index, task in enumerate(job.tasks):
        if task.state is not TaskState.QUEUED or task.not_before_ms > now_ms:
            continue
        worker = fit(state, job.spec.demand)
        if worker is None:
            break
        key = AttemptKey(job.spec.job_id, index, task.attempt + 1)
        state.workers[worker].charge(key, job.spec.demand)
        placements.append((index, worker))
    return placements


@KINDS.register(Kind.GANG)
def place_all(
    state: ShardState,
    job: JobBook,
    fit: FitPolicy,
    now_ms: int,
) -> list[Placement]:
    """Place every task or none."""
    if any(task.is_live for task in job.tasks):
        return []
    placements = place_each(state, job, fit, now_ms)
    if len(placements) == len(job.tasks):
        return placements
    for index, worker in placements:
        key = AttemptKey(
            job.spec.job_id,
            index,
            job.tasks[index].attempt + 1,
        )
        state.workers[worker].release(key)
    return []


def _reserve(
    state: ShardState,
    job: JobBook,
    placements: list[Placement],
    now_ms: int,
) -> Intended:
    starts = []
    for index, worker in placements:
        task = job.tasks[index]
        task.attempt += 1
        task.state = TaskState.INTENDED
        task.recorded = False
        task.worker = worker
        task.boot = state.workers[worker].boot
        starts.append(Start(index, task.attempt, worker, task.boot))
    return Intended(
        state.pool,
        state.term,
        job.spec.job_id,
        tuple(starts),
        now_ms,
    )
