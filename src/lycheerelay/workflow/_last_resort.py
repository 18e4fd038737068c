"""Let steps use workers that are kept from them while the pool is idle.

Load: the few workers with a label, or those that the advisor allows, are barred, or
reserved for gangs that wait for other workers, while the rest of the pool is idle.
"""

from collections.abc import Iterable, Mapping
from functools import cached_property
from typing import Final, final

from .._resources import Resources
from ._fit import meets_requirements
from ._spec import WorkerKey
from ._state import NEVER, StepInfo, WorkerInfo

# A step that waits for this time uses barred workers of a pool that is not busy.
MAX_BLOCKED_MS: Final = 1000
# Capacity that has been free for a step for this time is not kept for another one in
# a pool that is not busy.
MAX_KEPT_MS: Final = 1000
# A pool with less in use is not busy.
BUSY_SHARE: Final = 0.5


@final
class BarredWorkers:
    """Barred workers of a pool in one scheduling cycle."""

    def __init__(
        self, accepting: Mapping[WorkerKey, WorkerInfo], now_ms: int
    ) -> None:
        """Take the barred ones of the workers that accept runs."""
        self.now_ms = now_ms
        self.accepting = accepting
        self.workers = {
            key: worker
            for key, worker in accepting.items()
            if worker.barred_until_ms > now_ms
        }

    @cached_property
    def is_pool_busy(self) -> bool:
        """Return whether the pool was busy when this was first asked."""
        return is_busy(self.accepting.values())

    def may_use(
        self, step: StepInfo, usable: Mapping[WorkerKey, WorkerInfo]
    ) -> bool:
        """Return whether a step may use them beside the usable workers."""
        if not self.workers:
            return False
        is_blocked = (
            step.blocked_since_ms != NEVER
            and self.now_ms - step.blocked_since_ms >= MAX_BLOCKED_MS
        )
        if is_blocked and not self.is_pool_busy:
            return True
        return not any(_may_run(step, worker) for worker in usable.values())


def _may_run(step: StepInfo, worker: WorkerInfo) -> bool:
    if not meets_requirements(step, worker):
        return False
    is_refused = (
        worker.key in step.asked_workers
        and worker.key not in step.eligible_workers
    )
    return not is_refused


def is_busy(workers: Iterable[WorkerInfo]) -> bool:
    """Return whether half of the cores and of the accelerators is in use."""
    total = Resources()
    free = Resources()
    for worker in workers:
        total = total.plus(worker.capacity)
        free = free.plus(worker.free)
    used = total.minus(free)
    return (
        used.cores_milli >= BUSY_SHARE * total.cores_milli
        and used.accelerators >= BUSY_SHARE * total.accelerators
    )


def has_waited_beside_free(step: StepInfo, now_ms: int) -> bool:
    """Return whether a step could have started for long, but for reservations."""
    since_ms = step.free_since_ms
    return since_ms != NEVER and now_ms - since_ms >= MAX_KEPT_MS


def note_progress(step: StepInfo, runs: int, now_ms: int) -> None:
    """Note whether a step has started runs in a cycle, or has any."""
    has_runs = bool(step.runs_per_worker) and not step.spec.lasts
    if runs or has_runs:
        step.blocked_since_ms = NEVER
    elif step.blocked_since_ms == NEVER:
        step.blocked_since_ms = now_ms
