"""Choose how many suspected jobs share a trial.

Load: a worker crashes under dozens of services, one of which may be the cause, or
none. A group on each idle worker has them back after a few rounds. A group that
crashes its worker is divided, the faster the fewer starts its tasks have left.
"""

import itertools
import math
from collections import Counter
from collections.abc import Iterable
from typing import Final

from ._crashes import CRASHES_TO_GIVE_UP, MAX_CRASHES
from ._fit import count_fitting, is_in_service, meets_requirements
from ._pool_cycle import PoolCycle
from ._state import (
    CellState,
    CrashEvidence,
    Run,
    StepInfo,
    TaskInfo,
    WorkerInfo,
)
from ._suspects import SETTLED_MS

# A group that crashes its worker is divided into this many groups or more.
MIN_PARTS: Final = 2
# Jobs that may share a trial, for each crash that their tasks may have before one
# more would give them up.
MAX_PARTS: Final = 4


def largest_group(tasks: Iterable[TaskInfo]) -> int:
    """Return with how many jobs, its own included, a job may share a trial.

    A task that would be given up after one more crash, or that has crashed a worker
    by itself, is tried alone.
    """
    return min(map(_largest_group, tasks), default=1)


def _largest_group(task: TaskInfo) -> int:
    counts = Counter(task.crashes.values())
    if counts[CrashEvidence.OWN]:
        return 1
    crashes = len(task.crashes)
    possible = crashes - counts[CrashEvidence.WEAK]
    left = max(CRASHES_TO_GIVE_UP - possible, MAX_CRASHES - crashes, 1)
    return int(MAX_PARTS ** (left - 1))


def group_size(jobs: int, workers: int) -> int:
    """Return how many jobs share a trial if so many workers can be used."""
    return max(math.ceil(jobs / max(workers, MIN_PARTS)), 1)


def choose_group_size(
    cell: CellState, step: StepInfo, cycle: PoolCycle, now_ms: int
) -> int:
    """Return how many jobs share a trial in this cycle.

    The jobs on trial and the held workers count, so that groups do not shrink while
    one after the other starts.
    """
    if not cycle.group_size:
        pool = step.job.spec.pool
        jobs = {
            other.key.job_id
            for other in cell.open_steps.values()
            if other.suspects
            and other.job.spec.pool == pool
            and not other.suspects.keys().isdisjoint(other.waiting)
        }
        held = list(itertools.chain.from_iterable(cycle.held.values()))
        for worker in held:
            jobs.update(
                run.key.task.job_id for run in runs_on_trial(worker, now_ms)
            )
        idle = len(idle_workers(cycle.usable.values(), cycle))
        others = min(cycle.count_holdable(step), len(cycle.usable) - idle)
        workers = idle + len(held) + others
        cycle.group_size = group_size(len(jobs), workers)
    return cycle.group_size


def runs_on_trial(worker: WorkerInfo, now_ms: int) -> list[Run]:
    """Return the runs on trial that have a worker to themselves."""
    return [
        run
        for run in worker.runs.values()
        if run.holds_worker and run.trial_until_ms > now_ms
    ]


def idle_workers(
    workers: Iterable[WorkerInfo], cycle: PoolCycle
) -> list[WorkerInfo]:
    """Return those that run nothing and are neither held nor reserved."""
    return [
        worker
        for worker in workers
        if not worker.runs
        and worker.key in cycle.usable
        and worker not in cycle.reserved
    ]


def shareable_workers(
    cell: CellState,
    step: StepInfo,
    cycle: PoolCycle,
    tasks: Iterable[TaskInfo],
    now_ms: int,
) -> list[WorkerInfo]:
    """Return the held workers whose trial is to begin, or has only just begun.

    The step may take part, but may lack a ticket.
    """
    size = min(
        choose_group_size(cell, step, cycle, now_ms), largest_group(tasks)
    )
    if step.spec.gang or size < MIN_PARTS:
        return []
    return [
        worker
        for worker in itertools.chain.from_iterable(cycle.held.values())
        if _may_share(cell, step, worker, size, now_ms)
    ]


def _may_share(
    cell: CellState, step: StepInfo, worker: WorkerInfo, size: int, now_ms: int
) -> bool:
    group = runs_on_trial(worker, now_ms)
    jobs = {run.key.task.job_id for run in group}
    holder = worker.held_for and cell.open_steps.get(worker.held_for)
    limits = [size, *map(_size_limit, group)]
    if holder:
        jobs.add(holder.key.job_id)
        limits.append(_step_limit(holder))
    is_new = worker.key not in step.asked_workers
    return (
        len(jobs - {step.key.job_id}) < min(limits)
        and all(now_ms - run.sent_ms < SETTLED_MS for run in group)
        and is_in_service(worker, now_ms)
        and meets_requirements(step, worker)
        and (is_new or worker.key in step.eligible_workers)
        and count_fitting(step, worker, {}, now_ms) > 0
    )


def _step_limit(step: StepInfo) -> int:
    """Return with how many jobs the suspected tasks of a step share a trial."""
    if step.spec.gang:
        return 1
    return largest_group(step.tasks[index] for index in step.suspects)


def _size_limit(run: Run) -> int:
    return 1 if run.step.spec.gang else _largest_group(run.task)
