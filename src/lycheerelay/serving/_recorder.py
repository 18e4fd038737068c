"""Record the owner's progress durably before anything depends on it."""

import asyncio
import itertools
from collections.abc import Callable, Collection, Iterable
from typing import Final, final

from ..workflow import JobPhase, WorkerKey, encode_progress
from ..workflow.records import fail_unrecordable_job
from ._context import OwnerContext
from ._known_workers import KnownWorker, known_workers
from ._ports import KeyedRecord, RecordPage
from ._progress_appends import OwnedRecord, ProgressAppends
from ._progress_keys import (
    KNOWN_WORKERS_KEY,
    OWNER_KEYS,
    job_id_of,
    progress_key,
)
from ._progress_records import ProgressRecords
from ._worker_records import WorkerRecords

# Changes that arrive within this time share one append.
BATCH_DELAY_S: Final = 0.002
# Size of the progress in one append, exceeded by at most one record. The store
# accepts more.
MAX_BATCH_BYTES: Final = 256 * 1024
# Deletions and other short records in one append.
MAX_OTHER_RECORDS: Final = 2000


@final
class Recorder:
    """Append progress in order, with one append in flight at a time."""

    def __init__(
        self,
        context: OwnerContext,
        on_encoded: Callable[[Collection[str]], None],
        on_recorded: Callable[[Collection[str]], None],
    ) -> None:
        """Start with nothing recorded.

        Both functions take ids of jobs: `on_encoded` when their progress is
        about to be appended, `on_recorded` once that append has succeeded.
        """
        self.context = context
        self.on_encoded = on_encoded
        self.on_recorded = on_recorded
        self.appends = ProgressAppends(context)
        self.records = ProgressRecords(context.log.limits)
        self.worker_records = WorkerRecords(context.log.limits)
        self.recorded_workers: frozenset[KnownWorker] = frozenset()
        self.other_records: dict[str, bytes | None] = {}

    async def fence(self) -> bool:
        """Fence off the appends of earlier owners; return whether it worked."""
        return await self.appends.fence()

    def join(self, page: RecordPage) -> RecordPage:
        """Return the records of earlier owners with each progress in one."""
        self.worker_records.note_stored(page)
        return self.records.join(page)

    async def run(self) -> None:
        """Record changes until the ownership ends."""
        while not self.context.cell.deposed:
            if not self._has_work():
                await self.context.changed.wait()
                self.context.changed.clear()
                await asyncio.sleep(BATCH_DELAY_S)
            if self._has_work():
                await self._write()

    def write(self, records: Iterable[KeyedRecord]) -> None:
        """Schedule records; progress that is written later replaces them."""
        self.other_records.update(
            (record.key, record.payload) for record in records
        )
        self.context.notify_changed()

    def _has_work(self) -> bool:
        cell = self.context.cell
        if not cell.loaded:
            return False
        return bool(
            cell.unrecorded_jobs
            or self.other_records
            or self.records.stale_keys
            or known_workers(cell) != self.recorded_workers
            or any(
                worker.recorded_end < worker.handled_end
                for worker in cell.workers.values()
            ),
        )

    async def _write(self) -> None:
        cell = self.context.cell
        workers = known_workers(cell)
        handled_ends = {
            worker.key: worker.handled_end for worker in cell.workers.values()
        }
        phases: dict[str, JobPhase] = {}
        records = self._other_records(workers)
        size = 0
        for job_id in list(cell.unrecorded_jobs):
            if size > MAX_BATCH_BYTES:
                handled_ends = {}
                break
            cell.unrecorded_jobs.pop(job_id)
            job = cell.jobs.get(job_id)
            if job is None:
                continue
            # A late deletion would leave a job that runs without progress.
            key = progress_key(job_id)
            self.other_records.pop(key, None)
            payload = encode_progress(job)
            size += len(payload)
            phases[job_id] = job.phase
            records.extend(
                OwnedRecord(key, record)
                for record in self.records.encode(job_id, payload)
            )
        self.on_encoded(phases)
        refused = await self.appends.append(records)
        if refused is None:
            return
        if self._fail_jobs(refused):
            # Their ends are acknowledged once their failure is recorded.
            handled_ends = {}
        for name in refused:
            phases.pop(job_id_of(name), None)
        # A list that is refused is repeated once the workers change.
        self.recorded_workers = workers
        if KNOWN_WORKERS_KEY in refused:
            workers = frozenset()
        self._mark_recorded(handled_ends, phases, workers)

    def _other_records(
        self, workers: frozenset[KnownWorker]
    ) -> list[OwnedRecord]:
        """Return the list of workers, if it has changed, and scheduled records."""
        records: list[OwnedRecord] = []
        if workers != self.recorded_workers:
            records.extend(
                OwnedRecord(KNOWN_WORKERS_KEY, record)
                for record in self.worker_records.encode(self.context.cell)
            )
        for key in list(
            itertools.islice(self.other_records, MAX_OTHER_RECORDS)
        ):
            payload = self.other_records.pop(key)
            others = [KeyedRecord(key, payload)]
            if payload is None:
                others = self.records.deletions(job_id_of(key))
            records.extend(OwnedRecord(key, record) for record in others)
        records.extend(
            OwnedRecord(key, KeyedRecord(key, None))
            for key in self.records.take_stale_keys()
        )
        return records

    def _fail_jobs(self, refused: Collection[str]) -> bool:
        """Fail the jobs whose record is refused; return whether any has."""
        failed = [
            fail_unrecordable_job(
                self.context.cell, job_id_of(name), self.context.now_ms
            )
            for name in refused
            if name not in OWNER_KEYS
        ]
        return any(failed)

    def _mark_recorded(
        self,
        handled_ends: dict[WorkerKey, int],
        phases: dict[str, JobPhase],
        workers: frozenset[KnownWorker],
    ) -> None:
        cell = self.context.cell
        self.records.confirm(phases)
        for key, number in handled_ends.items():
            worker = cell.workers.get(key)
            if worker is not None:
                worker.recorded_end = max(worker.recorded_end, number)
        for known in workers:
            worker = cell.workers.get(known.key)
            if worker is not None:
                worker.enrolled = True
        for job_id, phase in phases.items():
            job = cell.jobs.get(job_id)
            if job is not None:
                job.durable_phase = phase
        self.on_recorded(phases)
        self.context.recorded.set()
        self.context.recorded.clear()
