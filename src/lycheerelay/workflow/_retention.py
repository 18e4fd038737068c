"""Decide which jobs are over for so long that they may be forgotten."""

from typing import Final

from ._intake import steps_of
from ._spec import WorkflowSpec
from ._state import CellState, JobInfo

# Final jobs are kept this much longer than callers may query them.
RETENTION_MARGIN_MS: Final = 60_000
# Callers ask for the state of a job mostly within this time after its end.
SETTLED_AFTER_MS: Final = 15_000


def retention_ms(status_ms: int) -> int:
    """Return how long the records of a final job are kept."""
    return status_ms + RETENTION_MARGIN_MS


def is_expired(job: JobInfo, retain_ms: int, now_ms: int) -> bool:
    """Return whether a job may be forgotten: its end is durable and long ago."""
    return (
        job.is_final
        and job.durable_phase is job.phase
        and job.finalized_ms < now_ms - retain_ms
    )


def find_expired(cell: CellState, retain_ms: int, now_ms: int) -> list[str]:
    """Return the ids of the jobs that may be forgotten."""
    return [
        job_id
        for job_id, job in cell.jobs.items()
        if is_expired(job, retain_ms, now_ms)
    ]


def find_settled(cell: CellState, now_ms: int) -> list[str]:
    """Return the ids of the final jobs that are unlikely to be referred to."""
    limit_ms = now_ms - SETTLED_AFTER_MS
    return [
        job_id
        for job_id, job in cell.jobs.items()
        if job.is_final and job.finalized_ms < limit_ms and is_settled(job)
    ]


def is_settled(job: JobInfo) -> bool:
    """Return whether a final job has neither runs nor a tenant."""
    return (
        job.is_final
        and job.durable_phase is job.phase
        and job.account is None
        and not any(step.has_runs for step in steps_of(job))
    )


def find_waiting(cell: CellState, now_ms: int) -> list[str]:
    """Return the ids of the jobs that have waited for RETENTION_MARGIN_MS."""
    limit_ms = now_ms - RETENTION_MARGIN_MS
    return [
        job_id
        for job_id, job in cell.jobs.items()
        if not (job.started or job.is_final) and job.spec.accepted_ms < limit_ms
    ]


def may_be_over(spec: WorkflowSpec, retain_ms: int, now_ms: int) -> bool:
    """Return whether a job can have ended long enough ago to be forgotten."""
    last = max(spec.occurrences - 1, 0)
    last_due_ms = spec.first_due_ms + last * spec.every_ms
    return max(spec.accepted_ms, last_due_ms) < now_ms - retain_ms
