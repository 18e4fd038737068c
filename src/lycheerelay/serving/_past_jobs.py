"""Keep jobs that are over as the records that the store holds of them.

A takeover neither decodes these records nor creates steps and tasks for them. A
job is decoded and added to the cell when something refers to it: a query, a
repeated hand-in, or a run that a worker still lists.
"""

from collections.abc import Iterator
from typing import Final, NamedTuple, final

from result import Err

from ..workflow import (
    CellState,
    JobInfo,
    encode_progress,
    is_final_record,
    restore_progress,
    retention,
    submit,
)
from ._ports import KeyedRecord
from ._spec_codec import decode_spec, encode_spec

# Jobs of tenants count for their rates and quotas, so they are decoded. Quotes in
# texts are escaped.
TENANT_FIELD: Final = b'"tenant":'
# Field of the progress of a tenant's job whose runs had not ended.
RUNS_FIELD: Final = b'"others":'


class PastJob(NamedTuple):
    """Records of a final job, and the time from which they are kept."""

    spec: bytes
    progress: bytes
    offset: int
    finalized_ms: int


@final
class PastJobs:
    """Hold the final jobs that nothing refers to."""

    def __init__(self, cell: CellState) -> None:
        """Start empty, and add jobs to the cell when they are referred to."""
        self.cell = cell
        self.jobs: dict[str, PastJob] = {}
        cell.find_past_job = self.revive

    def add(
        self,
        job_id: str,
        record: KeyedRecord,
        progress: bytes | None,
        now_ms: int,
    ) -> bool:
        """Keep the records of a final job; return whether it is one to keep."""
        if record.payload is None or progress is None:
            return False
        if RUNS_FIELD in progress or TENANT_FIELD in record.payload:
            return False
        if not is_final_record(progress):
            return False
        self.jobs[job_id] = PastJob(
            record.payload, progress, record.offset, now_ms
        )
        return True

    def revive(self, job_id: str) -> JobInfo | None:
        """Add a job to the cell and return it, if it is held here."""
        past = self.jobs.get(job_id)
        decoded = decode_spec(past.spec) if past else None
        if past is None or decoded is None or isinstance(decoded, Err):
            return None
        self.jobs.pop(job_id)
        job = submit(self.cell, decoded.ok_value, past.offset)
        restore_progress(self.cell, job, past.progress)
        job.finalized_ms = past.finalized_ms
        return job

    def shelve(self, job_id: str) -> None:
        """Keep a final job of the cell as records from now on."""
        job = self.cell.jobs.get(job_id)
        if job is not None and retention.is_settled(job):
            self.cell.jobs.pop(job_id)
            self.jobs[job_id] = PastJob(
                _copy(encode_spec(job.spec)),
                _copy(encode_progress(job)),
                job.offset,
                job.finalized_ms,
            )
            # Steps refer to their job, so they would wait for the collector.
            job.occurrences.clear()

    def expired(self, limit_ms: int) -> Iterator[str]:
        """Return the ids of the jobs that have been final since before a time."""
        return (
            job_id
            for job_id, past in self.jobs.items()
            if past.finalized_ms < limit_ms
        )


def _copy(raw: bytes) -> bytes:
    """Return the same bytes without the buffer of the encoder."""
    return bytes(memoryview(raw))
