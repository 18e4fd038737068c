"""Measure what waits over the rates of its tenants, by pool.

Load: a tenant that sends several times its rate fills a pool, so that its jobs
over the rate wait longer than their objective allows.
"""

import math
from collections import Counter
from collections.abc import Iterator
from typing import Final, NamedTuple

from .._resources import Resources
from ._fit import is_in_service, meets_requirements
from ._state import (
    INACTIVE_TENANT,
    WAITING_GANG,
    CellState,
    StepInfo,
    WorkerInfo,
)

# Steps that have waited longest and are checked for room. The first that some
# worker could run counts.
MAX_CHECKED_STEPS: Final = 5


class PoolBacklog(NamedTuple):
    """Jobs over the rate that have not started in one pool.

    `jobs` counts them by tenant. `waited_ms` is how long the one that waits longest
    for capacity has waited, `slack_ms` how long it may wait by its objective, and
    `lacks_room` says that it fits nowhere now. `drain_ms` is the time in which the
    pool does the work that runs and waits.
    """

    pool: str
    jobs: dict[str, int]
    waited_ms: int = 0
    slack_ms: int = 0
    lacks_room: bool = False
    drain_ms: int = 0


def over_rate_backlogs(cell: CellState, now_ms: int) -> dict[str, PoolBacklog]:
    """Return the backlog of each pool in which jobs over the rate wait."""
    steps: dict[str, list[StepInfo]] = {}
    jobs: dict[str, Counter[str]] = {}
    counted: set[str] = set()
    for step in _waiting_over_rate(cell):
        spec = step.job.spec
        steps.setdefault(spec.pool, []).append(step)
        if spec.job_id not in counted:
            counted.add(spec.job_id)
            jobs.setdefault(spec.pool, Counter())[spec.tenant] += 1
    return {
        pool: _measure(cell, pool, waiting, dict(jobs[pool]), now_ms)
        for pool, waiting in steps.items()
    }


def quota_hold(step: StepInfo) -> str:
    """Return the resource whose quota holds a step back, or ''.

    WAITING_GANG stands for the quota that is left to an earlier gang, INACTIVE_TENANT
    for a tenant that the configuration in force does not have. Other marks of the step
    are as old as the last scheduling cycle, and a step that waits for capacity has
    none, so its demand is compared with the quota here.
    """
    account = step.job.account
    if account is None:
        return ''
    if not account.is_active:
        return INACTIVE_TENANT
    if step.held_by_quota == WAITING_GANG:
        return WAITING_GANG
    demand = step.spec.charged_demand.times(_tasks_together(step))
    shortage = account.find_shortage(demand)
    return '' if shortage is None else shortage.resource


def waited_ms(step: StepInfo, now_ms: int) -> int:
    """Return how long the occurrence of a step has waited or run."""
    spec = step.job.spec
    begin_ms = spec.accepted_ms
    if spec.occurrences:
        begin_ms = spec.first_due_ms + step.key.occurrence * spec.every_ms
    return max(now_ms - begin_ms, 0)


def dominant_share(used: Resources, capacity: Resources) -> float:
    """Return the largest share of a resource in use."""
    return max(
        amount / total if total else float(0)
        for amount, total in zip(used, capacity, strict=True)
    )


def _waiting_over_rate(cell: CellState) -> Iterator[StepInfo]:
    for step in cell.open_steps.values():
        job = step.job
        is_counted = step.waiting and not _is_endless(step)
        if is_counted and not job.started and job.is_over_rate:
            yield step


def _measure(
    cell: CellState,
    pool: str,
    steps: list[StepInfo],
    jobs: dict[str, int],
    now_ms: int,
) -> PoolBacklog:
    workers = list(_workers_of(cell, pool, now_ms))
    backlog = PoolBacklog(pool, jobs)
    steps.sort(key=lambda step: -waited_ms(step, now_ms))
    in_quota = (step for step in steps if not quota_hold(step))
    for step, _ in zip(in_quota, range(MAX_CHECKED_STEPS), strict=False):
        able = [
            worker for worker in workers if meets_requirements(step, worker)
        ]
        if able:
            spec = step.job.spec
            graph = step.job.graph
            return backlog._replace(
                waited_ms=waited_ms(step, now_ms),
                slack_ms=graph.objective_ms(spec) - graph.path_ms,
                lacks_room=not _has_room(step, able),
                drain_ms=_drain_ms(cell, pool, workers, now_ms),
            )
    return backlog


def _tasks_together(step: StepInfo) -> int:
    return len(step.waiting) if step.spec.gang else 1


def _has_room(step: StepInfo, workers: list[WorkerInfo]) -> bool:
    fitting = sum(
        max(step.spec.demand.times_in(worker.free), 0) for worker in workers
    )
    return fitting >= _tasks_together(step)


def _drain_ms(
    cell: CellState, pool: str, workers: list[WorkerInfo], now_ms: int
) -> int:
    """Return the time for the work of a pool, taken as one large worker."""
    capacity = Resources()
    work = _waiting_work(cell, pool)
    # Summed by step first, since a pool has thousands of runs.
    left_ms: Counter[StepInfo] = Counter()
    for worker in workers:
        capacity = capacity.plus(worker.capacity)
        for run in worker.runs.values():
            end_ms = run.sent_ms + run.step.spec.expected_ms
            left_ms[run.step] += max(end_ms - now_ms, 0)
    for step, step_ms in left_ms.items():
        if not _is_endless(step):
            work = work.plus(step.spec.demand.times(step_ms))
    return math.ceil(dominant_share(work, capacity))


def _waiting_work(cell: CellState, pool: str) -> Resources:
    work = Resources()
    for step in cell.open_steps.values():
        is_counted = step.waiting and not _is_endless(step)
        if is_counted and step.job.spec.pool == pool:
            spec = step.spec
            tasks_ms = len(step.waiting) * spec.expected_ms
            work = work.plus(spec.demand.times(tasks_ms))
    return work


def _is_endless(step: StepInfo) -> bool:
    return step.spec.lasts or step.spec.fills


def _workers_of(
    cell: CellState, pool: str, now_ms: int
) -> Iterator[WorkerInfo]:
    for worker in cell.workers.values():
        if worker.pool == pool and is_in_service(worker, now_ms):
            yield worker
