"""Apply submissions and cancellations from the job stream."""

import asyncio
import logging
from typing import final

import orjson
from result import Err

from ..workflow import JobInfo, WorkflowSpec, cancel
from ..workflow.opening import add_job, make_first_steps, make_job
from ._context import OwnerContext
from ._credentials import Identity
from ._job_expiry import CANCEL_PREFIX, JOB_PREFIX, JobExpiry
from ._ports import KeyedRecord, RecordPage
from ._slices import Slices
from ._spec_codec import decode_spec

logger = logging.getLogger('lycheerelay.jobs')


def encode_cancellation(identity: Identity) -> bytes:
    """Return the payload of a cancellation.

    The owner checks the tenant again when it reads the record, since the caller
    may be answered while no owner serves.
    """
    if identity.tenant is None:
        return b'{}'
    return orjson.dumps({'tenant': identity.tenant, 'queue': identity.queue})


def decode_cancellation(payload: bytes | None) -> Identity:
    """Return who cancels; a payload without a tenant may cancel any job."""
    try:
        fields = orjson.loads(payload or b'{}')
    except ValueError:
        return Identity('')
    if not isinstance(fields, dict):
        return Identity('')
    queue = str(fields.get('queue', ''))
    return Identity(fields.get('tenant'), queue=queue)


@final
class JobStream:
    """Apply the records of the job stream to one owner's cell."""

    def __init__(self, context: OwnerContext, expiry: JobExpiry) -> None:
        """Apply records to the context's cell."""
        self.context = context
        self.expiry = expiry
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
        elif record.key.startswith(CANCEL_PREFIX):
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

    def apply_cancel(self, record: KeyedRecord) -> None:
        """Cancel a job if its caller may, or note a cancellation without one."""
        job_id = record.key.removeprefix(CANCEL_PREFIX)
        if record.payload is None:
            self.expiry.strays.pop(job_id, None)
            return
        cell = self.context.cell
        job = cell.find_job(job_id)
        if job is None:
            self.expiry.note_stray(job_id)
        is_allowed = job is None or decode_cancellation(
            record.payload
        ).may_access(job.spec)
        effect = is_allowed and cancel(cell, job_id, self.context.now_ms)
        logger.info(
            'cancel_read',
            extra={'job': job_id, 'offset': record.offset, 'effect': effect},
        )
