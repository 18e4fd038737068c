"""Apply submissions and cancellations from the job stream."""

import asyncio
import logging
from typing import final

from result import Err

from ..workflow import JobInfo, WorkflowSpec, cancel
from ..workflow.opening import add_job, make_first_steps, make_job
from ._cancellations import (
    decode_cancellation,
    is_unscoped,
    job_of_cancellation,
)
from ._context import OwnerContext
from ._job_expiry import JOB_PREFIX, JobExpiry
from ._ports import KeyedRecord, RecordPage
from ._slices import Slices
from ._spec_codec import decode_spec

logger = logging.getLogger('lycheerelay.jobs')


@final
class JobStream:
    """Apply the records of the job stream to one owner's cell."""

    def __init__(self, context: OwnerContext, expiry: JobExpiry) -> None:
        """Apply records to the context's cell."""
        self.context = context
        self.expiry = expiry
        self.early = expiry.early
        self.slices = Slices(context.clock)
        self.applying = asyncio.Lock()

    async def apply_page(self, page: RecordPage) -> None:
        """Apply the records that were not applied before, in slices."""
        context = self.context
        async with self.applying:
            for record in page.records:
                if record.offset >= context.tail_offset:
                    await self._apply_record(record)
                    context.tail_offset = record.offset + 1
            context.tail_offset = max(context.tail_offset, page.next_offset)
        if page.records:
            context.notify_changed()

    async def _apply_record(self, record: KeyedRecord) -> None:
        await self.slices.next_item()
        if record.key.startswith(JOB_PREFIX):
            await self._apply_job(record)
        elif job_of_cancellation(record.key):
            self.apply_cancel(record)

    async def _apply_job(self, record: KeyedRecord) -> None:
        if record.payload is None:
            self.expiry.forget(record.key.removeprefix(JOB_PREFIX))
            return
        spec = self.decode(record)
        if spec is None:
            return
        self.expiry.leftovers.pop(spec.job_id, None)
        job = await self.submit(spec, record.offset)
        if self.early.covers(spec):
            self._cancel_early(job)
        if job.is_final:
            # Its caller may ask for the state of a job that was just accepted.
            job.finalized_ms = self.context.now_ms

    def decode(self, record: KeyedRecord) -> WorkflowSpec | None:
        """Return the job in a record, or None if it cannot be read."""
        decoded = decode_spec(record.payload or b'')
        if isinstance(decoded, Err):
            logger.warning(
                'job_record_unreadable',
                extra={'key': record.key, 'error': decoded.err_value},
            )
            return None
        return decoded.ok_value

    async def submit(self, spec: WorkflowSpec, offset: int) -> JobInfo:
        """Add a job, or return the one that is known.

        Its steps are made in slices, and it is added with all of them at once.
        """
        cell = self.context.cell
        known = cell.find_job(spec.job_id)
        if known is not None:
            return known
        made = make_job(spec, offset)
        steps = []
        for step in make_first_steps(made):
            steps.append(step)
            await self.slices.next_item()
        job = add_job(cell, made, steps)
        if job is made:
            self._report_opened(job)
        return job

    def _report_opened(self, job: JobInfo) -> None:
        spec = job.spec
        logger.info(
            'job_opened',
            extra={
                'job': spec.job_id,
                'queue': spec.queue,
                'pool': spec.pool,
                'offset': job.offset,
                'widths': [step.width for step in spec.steps],
                **({'tenant': spec.tenant} if spec.tenant else {}),
                'age_ms': self.context.now_ms - spec.accepted_ms,
            },
        )
        if self.context.cell.loaded and job.is_over_rate:
            metrics = self.context.metrics
            metrics.count_job('tenant_over_rate_jobs', spec.tenant)

    def _cancel_early(self, job: JobInfo) -> None:
        """Cancel a job whose cancellation was read before its hand-in."""
        job_id = job.spec.job_id
        if cancel(self.context.cell, job_id, self.context.now_ms):
            self.context.metrics.count('early_cancels_applied')
            logger.info(
                'early_cancel_applied',
                extra={'job': job_id, 'offset': job.offset},
            )

    def apply_cancel(self, record: KeyedRecord) -> None:
        """Cancel a job if its caller may, or hold a cancellation without one.

        A record with a scope is held until it is deleted, also if the job is known.
        """
        job_id = job_of_cancellation(record.key)
        if record.payload is None:
            self.early.forget(job_id, record.key)
            return
        cell = self.context.cell
        job = cell.find_job(job_id)
        if job is None or not is_unscoped(record.key):
            self.hold_cancel(record)
        is_allowed = job is not None and decode_cancellation(
            record.payload
        ).may_access(job.spec)
        effect = is_allowed and cancel(cell, job_id, self.context.now_ms)
        logger.info(
            'cancel_read',
            extra={
                'job': job_id,
                'offset': record.offset,
                'effect': effect,
                'early': job is None,
            },
        )

    def hold_cancel(self, record: KeyedRecord) -> None:
        """Hold a cancellation until its job is handed in, or it expires."""
        self.early.note(
            job_of_cancellation(record.key),
            record.key,
            decode_cancellation(record.payload),
            self.context.now_ms,
        )
