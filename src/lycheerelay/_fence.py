"""Delay starts after a takeover until no earlier owner can start tasks."""

from ._state import JobInfo, ShardState


def update_fence(state: ShardState, now_ms: int) -> None:
    """Open the fence once this term has seen every listed worker.

    An earlier owner that was partitioned together with its standby may have
    started known jobs on workers that this owner has not reached yet. Once
    this owner holds the leases of most workers, the earlier one can start no
    more. The fence also opens once all earlier task leases must have expired.
    """
    fence = state.fence
    if fence.term != state.term:
        fence.term = state.term
        fence.majority_ms = -1
        fence.is_open = False
    if fence.is_open:
        return
    if fence.majority_ms < 0 <= state.majority_ms:
        fence.majority_ms = now_ms
        _refresh_waiting(state)
    if fence.majority_ms >= 0 and (
        _has_every_worker(state) or _are_old_leases_expired(state)
    ):
        fence.is_open = True
        _refresh_waiting(state)


def may_start(state: ShardState, job: JobInfo) -> bool:
    """Return whether tasks of a waiting job may be placed now.

    A job accepted in this term is unknown to earlier owners, so it needs only
    the majority of workers.
    """
    fence = state.fence
    if fence.is_open:
        return True
    return fence.majority_ms >= 0 and job.accepted_term == state.term


def _refresh_waiting(state: ShardState) -> None:
    for job_id in tuple(state.waiting):
        state.waiting[job_id] = None


def _has_every_worker(state: ShardState) -> bool:
    return all(
        worker.term == state.term
        for worker in state.workers.values()
        if worker.listed
    )


def _are_old_leases_expired(state: ShardState) -> bool:
    limits = state.policy.limits
    lease_ms = limits.task_ttl_ms + limits.clock_margin_ms
    return state.confirmed_ms >= state.fence.majority_ms + 2 * lease_ms
