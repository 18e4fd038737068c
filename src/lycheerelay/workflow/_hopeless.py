"""Find steps that no set of workers of their pool can ever hold.

Load: gangs that are wider than the pool, and tasks that need a label or more than any
worker has, come before steps that fit. They wait for other workers to join, or to
grow, and cost nothing meanwhile.
"""

from collections.abc import Hashable, Iterator
from typing import Final, final

from ._fit import meets_requirements
from ._log_events import log_event
from ._state import NEVER, CellState, StepInfo, WorkerInfo

# Steps that are checked in one scheduling cycle. The others are taken for steps that
# may fit until the next ones.
MAX_CHECKS_PER_CYCLE: Final = 16
# Interval at which the workers are compared with those of the last checks.
WORKERS_INTERVAL_MS: Final = 200


@final
class HopelessFilter:
    """Tell hopeless steps from others in one scheduling cycle."""

    def __init__(self, cell: CellState, now_ms: int) -> None:
        """Check steps again if the workers have changed since."""
        self.cell = cell
        self.checks_left = MAX_CHECKS_PER_CYCLE
        self.pools: dict[str, list[WorkerInfo]] = {}
        if now_ms >= cell.workers_hashed_ms + WORKERS_INTERVAL_MS:
            cell.workers_hashed_ms = now_ms
            cell.workers_hash = _hash_workers(cell)

    def contains(self, step: StepInfo) -> bool:
        """Return whether a step that waits is known to be hopeless."""
        if step.blocked_since_ms == NEVER:
            return False
        checked_with = (
            self.cell.workers_hash,
            len(step.asked_workers),
            len(step.eligible_workers),
        )
        if step.checked_with == checked_with:
            return step.is_hopeless
        if not self.checks_left:
            return False
        self.checks_left -= 1
        step.checked_with = checked_with
        self._set_hopeless(step, not self._may_ever_fit(step))
        return step.is_hopeless

    def _set_hopeless(self, step: StepInfo, is_hopeless: bool) -> None:
        if is_hopeless == step.is_hopeless:
            return
        step.is_hopeless = is_hopeless
        if is_hopeless:
            step.openings = ()
        log_event(
            self.cell,
            'step_hopeless' if is_hopeless else 'step_may_fit',
            step=step.key,
            width=step.spec.width,
            pool=step.job.spec.pool,
            workers=len(self._workers_of(step.job.spec.pool)),
        )

    def _may_ever_fit(self, step: StepInfo) -> bool:
        missing = step.spec.width if step.spec.gang else 1
        for worker in self._workers_of(step.job.spec.pool):
            missing -= _count_on_empty(step, worker)
            if missing <= 0:
                return True
        return False

    def _workers_of(self, pool: str) -> list[WorkerInfo]:
        if pool not in self.pools:
            self.pools[pool] = list(_find_workers(self.cell, pool))
        return self.pools[pool]


def _hash_workers(cell: CellState) -> int:
    """Return a number that changes with what the workers can hold."""
    # The order of the workers has no part in it.
    return sum(hash(_describe(worker)) for worker in cell.workers.values())


def _describe(worker: WorkerInfo) -> tuple[Hashable, ...]:
    is_staying = worker.listed and not worker.draining
    return (
        worker.key,
        is_staying,
        worker.pool,
        worker.capacity,
        worker.labels,
    )


def _find_workers(cell: CellState, pool: str) -> Iterator[WorkerInfo]:
    return (
        worker
        for worker in cell.workers.values()
        if worker.pool == pool and worker.listed and not worker.draining
    )


def _count_on_empty(step: StepInfo, worker: WorkerInfo) -> int:
    """Return how many tasks of a step fit on a worker that runs nothing."""
    if not meets_requirements(step, worker):
        return 0
    is_refused = (
        worker.key in step.asked_workers
        and worker.key not in step.eligible_workers
    )
    if is_refused:
        return 0
    spec = step.spec
    count = spec.width
    if any(spec.demand):
        count = spec.demand.times_in(worker.capacity)
    return min(count, spec.spread_limit) if spec.spread_limit else count
