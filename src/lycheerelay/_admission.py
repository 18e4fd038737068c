"""Refuse early what cannot or should not be taken on."""

from collections.abc import Callable
from typing import Final

from ._codes import Code, Refusal
from ._jobs import JobSpec
from ._registry import Registry
from ._state import ShardState

Check = Callable[[ShardState, JobSpec, int], Refusal | None]

CHECKS: Final[Registry[str, Check]] = Registry('admission check')


def refuse(state: ShardState, spec: JobSpec, now_ms: int) -> Refusal | None:
    """Return the first refusal of the registered checks, or None."""
    for name in CHECKS:
        refusal = CHECKS[name](state, spec, now_ms)
        if refusal is not None:
            return refusal
    return None


@CHECKS.register('owner')
def check_owner(
    state: ShardState,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    """Refuse on an entry VM that does not place for the pool.

    Such a node can't prove `not_run`: the owner may have kept the id.
    """
    if state.is_owner:
        return None
    detail = f'pool {state.pool} has no owner here yet'
    return Refusal(Code.NO_OWNER, detail, retry_after_ms=500)


@CHECKS.register('kept')
def check_kept(
    state: ShardState,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    """Refuse while neither the log nor a second entry VM keeps records."""
    if state.can_keep:
        return None
    detail = 'the log is down and no second entry VM keeps records'
    return Refusal(Code.NOT_KEPT, detail, not_run=True, retry_after_ms=2000)


@CHECKS.register('never_fits')
def check_shape(
    state: ShardState,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    """Refuse a task that is larger than every known worker."""
    if not state.workers:
        return None
    for worker in state.workers.values():
        if spec.demand.fits_in(worker.spec.capacity):
            return None
    detail = f'no worker of pool {state.pool} can hold one task'
    return Refusal(Code.NEVER_FITS, detail, not_run=True)


@CHECKS.register('waiting')
def check_waiting(
    state: ShardState,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    """Refuse when too much work waits already."""
    limit = state.policy.limits.max_waiting_tasks
    if len(state.waiting) < limit:
        return None
    detail = f'{limit} jobs wait already'
    return Refusal(
        Code.OVERLOADED,
        detail,
        not_run=True,
        retry_after_ms=5000,
    )
