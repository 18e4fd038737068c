"""Drop final jobs and gone workers from memory after a while."""

from ._state import ShardState, WorkerInfo


def retire_final(state: ShardState, now_ms: int) -> None:
    """Forget final jobs whose retention time is over."""
    over_ms = now_ms - state.policy.limits.retention_ms
    while state.finals and state.finals[0][0] < over_ms:
        _, job_id = state.finals.popleft()
        state.jobs.pop(job_id, None)


def retire_worker(state: ShardState, worker: WorkerInfo) -> None:
    """Forget a worker that is not listed and holds nothing."""
    if not worker.listed and not worker.ready and not worker.charges:
        state.workers.pop(worker.spec.name, None)
        state.suspects.pop(worker.spec.name, None)
        state.ledger.touched[worker.spec.name] = None
