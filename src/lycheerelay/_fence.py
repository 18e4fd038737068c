"""Hold starts back after a takeover until an earlier owner is harmless."""

from ._state import JobInfo, ShardState


def follow_fence(state: ShardState, now_ms: int) -> None:
    """Note when this term held most workers, and when it knows them all.

    An earlier owner that was cut off together with a second entry VM can
    have started known jobs on workers that this owner does not reach yet.
    Once most workers are held here, it can start nothing more.
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
        _look_again(state)
    if fence.majority_ms >= 0 and (_knows_all(state) or _is_quiet(state)):
        fence.is_open = True
        _look_again(state)


def may_start(state: ShardState, job: JobInfo) -> bool:
    """Tell whether tasks of a waiting job may be placed now."""
    fence = state.fence
    if fence.is_open:
        return True
    return fence.majority_ms >= 0 and job.accepted_term == state.term


def _look_again(state: ShardState) -> None:
    for job_id in tuple(state.waiting):
        state.waiting[job_id] = None


def _knows_all(state: ShardState) -> bool:
    return all(
        worker.term == state.term
        for worker in state.workers.values()
        if worker.listed
    )


def _is_quiet(state: ShardState) -> bool:
    limits = state.policy.limits
    lease_ms = limits.task_ttl_ms + limits.clock_margin_ms
    return state.confirmed_ms >= state.fence.majority_ms + 2 * lease_ms
