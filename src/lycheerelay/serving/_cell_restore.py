"""Restore an empty cell from the newest record of each key, in slices."""

import itertools
import logging
from typing import Final, final

from ..workflow import is_final_record, restore_progress
from ._cancellations import is_unscoped, job_of_cancellation
from ._context import OwnerContext
from ._job_expiry import JOB_PREFIX
from ._job_stream import JobStream
from ._ports import KeyedRecord, RecordPage
from ._progress_keys import OWNER_KEYS, job_id_of, progress_key
from ._slices import Slices

logger = logging.getLogger('lycheerelay.owner')

REPORT_INTERVAL_MS: Final = 1000


@final
class CellRestore:
    """Restore the jobs of one term.

    A job is restored with its cancellation, so that its state is right from then
    on. Final jobs stay records.
    """

    def __init__(
        self, context: OwnerContext, stream: JobStream, progress: RecordPage
    ) -> None:
        """Restore with the progress records that an earlier owner has left."""
        self.context = context
        self.stream = stream
        self.expiry = stream.expiry
        self.slices = Slices(context.clock)
        self.expiry.examine(progress)
        self.progress = {
            record.key: record.payload for record in progress.records
        }
        self.reported_ms = context.now_ms

    async def run(self, jobs: RecordPage) -> bool:
        """Restore the jobs; return False if the term ends meanwhile."""
        records: dict[str, KeyedRecord] = {}
        cancels: dict[str, list[KeyedRecord]] = {}
        for record in sorted(jobs.records, key=lambda record: record.offset):
            await self.slices.next_item()
            if record.key.startswith(JOB_PREFIX):
                records[record.key.removeprefix(JOB_PREFIX)] = record
            elif job_of_cancellation(record.key):
                job_id = job_of_cancellation(record.key)
                cancels.setdefault(job_id, []).append(record)
        for number, (job_id, record) in enumerate(records.items()):
            await self.slices.next_item()
            if self.context.cell.deposed:
                return False
            self._report(number, len(records))
            await self._restore_job(job_id, record)
            self._restore_cancels(job_id, cancels.pop(job_id, []))
        self.expiry.report_leftovers()
        for cancel in itertools.chain.from_iterable(cancels.values()):
            await self.slices.next_item()
            self.stream.hold_cancel(cancel)
        await self._drop_orphans(records)
        return not self.context.cell.deposed

    async def _drop_orphans(self, records: dict[str, KeyedRecord]) -> None:
        orphans = []
        for key, payload in self.progress.items():
            await self.slices.next_item()
            job_id = job_id_of(key)
            is_orphan = key not in OWNER_KEYS and job_id not in records
            if is_orphan and is_final_record(payload):
                orphans.append(job_id)
        self.expiry.drop_orphans(orphans)

    async def _restore_job(self, job_id: str, record: KeyedRecord) -> None:
        payload = self.progress.get(progress_key(job_id))
        past = self.expiry.past
        if past.add(job_id, record, payload, self.context.now_ms):
            return
        spec = self.stream.decode(record)
        if spec is None or (payload is None and self.expiry.is_leftover(spec)):
            return
        job = await self.stream.submit(spec, record.offset)
        if payload is not None:
            restore_progress(self.context.cell, job, payload)
        if job.is_final:
            job.finalized_ms = self.context.now_ms

    def _restore_cancels(self, job_id: str, cancels: list[KeyedRecord]) -> None:
        for cancel in cancels:
            if job_id in self.context.cell.jobs:
                self.stream.apply_cancel(cancel)
            elif not is_unscoped(cancel.key):
                self.stream.hold_cancel(cancel)

    def _report(self, restored: int, total: int) -> None:
        now_ms = self.context.now_ms
        if now_ms - self.reported_ms >= REPORT_INTERVAL_MS:
            self.reported_ms = now_ms
            logger.info(
                'takeover_restoring',
                extra={
                    'fence': self.context.fence,
                    'restored': restored,
                    'jobs': total,
                },
            )
