"""Remove old final jobs and unused unlisted workers from memory."""

from ._state import ShardState, WorkerInfo


def retire_final_jobs(state: ShardState, now_ms: int) -> None:
    """Remove final jobs whose retention time has passed."""
    expired_ms = now_ms - state.policy.limits.retention_ms
    while state.finals and state.finals[0][0] < expired_ms:
        _, job_id = state.finals.popleft()
        state.jobs.pop(job_id, None)


def retire_worker(state: ShardState, worker: WorkerInfo) -> None:
    """Remove a worker that is unlisted, without lease and allocations."""
    if not worker.listed and not worker.ready and not worker.charges:
        state.workers.pop(worker.spec.name, None)
        state.suspects.pop(worker.spec.name, None)
        state.ledger.touched[worker.spec.name] = None
