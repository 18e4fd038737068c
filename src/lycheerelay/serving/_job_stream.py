"""Apply submissions and cancellations from the job stream."""

import logging
from typing import final

import orjson
from result import Err

from ..workflow import (
    JobInfo,
    WorkflowSpec,
    cancel,
    is_final_record,
    restore_progress,
    submit,
)
from ._context import OwnerContext
from ._credentials import Identity
from ._job_expiry import CANCEL_PREFIX, JOB_PREFIX, JobExpiry
from ._ports import KeyedRecord, RecordPage
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

    def apply_page(self, page: RecordPage) -> None:
        """Apply the records that were not applied before."""
        context = self.context
        for record in page.records:
            if record.offset < context.tail_offset:
                continue
            if record.key.startswith(JOB_PREFIX):
                self._apply_job(record)
            elif record.key.startswith(CANCEL_PREFIX):
                self._apply_cancel(record)
        context.tail_offset = max(context.tail_offset, page.next_offset)
        if page.records:
            context.notify_changed()

    def restore(self, jobs: RecordPage, progress: RecordPage) -> None:
        """Restore an empty cell from the newest record of each key."""
        self.expiry.examine(progress)
        payloads = {record.key: record.payload for record in progress.records}
        ordered = sorted(jobs.records, key=lambda record: record.offset)
        for record in ordered:
            if record.key.startswith(JOB_PREFIX):
                self._restore_job(record, payloads)
        for record in ordered:
            if record.key.startswith(CANCEL_PREFIX):
                self._apply_cancel(record)
        self.expiry.report_leftovers()
        names = {record.key for record in jobs.records}
        self.expiry.drop_orphans(
            [
                job_id
                for job_id, payload in payloads.items()
                if f'{JOB_PREFIX}{job_id}' not in names
                and is_final_record(payload)
            ]
        )

    def _restore_job(
        self,
        record: KeyedRecord,
        progress: dict[str, bytes | None],
    ) -> None:
        spec = self._decode(record)
        if spec is None:
            return
        payload = progress.get(spec.job_id)
        if payload is None:
            if not self.expiry.is_leftover(spec):
                self._submit(spec, record.offset)
            return
        job = self._submit(spec, record.offset)
        restore_progress(self.context.cell, job, payload)
        if job.is_final:
            job.finalized_ms = self.context.now_ms

    def _apply_job(self, record: KeyedRecord) -> None:
        if record.payload is None:
            self.expiry.forget(record.key.removeprefix(JOB_PREFIX))
            return
        spec = self._decode(record)
        if spec is None:
            return
        self.expiry.leftovers.pop(spec.job_id, None)
        job = self._submit(spec, record.offset)
        if job.is_final:
            # Its caller may ask for the state of a job that was just accepted.
            job.finalized_ms = self.context.now_ms

    def _decode(self, record: KeyedRecord) -> WorkflowSpec | None:
        decoded = decode_spec(record.payload or b'')
        if isinstance(decoded, Err):
            logger.warning(
                'job_record_unreadable',
                extra={'key': record.key, 'error': decoded.err_value},
            )
            return None
        return decoded.ok_value

    def _submit(self, spec: WorkflowSpec, offset: int) -> JobInfo:
        cell = self.context.cell
        is_new = spec.job_id not in cell.jobs
        if is_new:
            logger.info(
                'job_opened',
                extra={
                    'job': spec.job_id,
                    'queue': spec.queue,
                    'pool': spec.pool,
                    'offset': offset,
                    'widths': [step.width for step in spec.steps],
                    **({'tenant': spec.tenant} if spec.tenant else {}),
                    'age_ms': self.context.now_ms - spec.accepted_ms,
                },
            )
        job = submit(cell, spec, offset)
        if is_new and cell.loaded and job.is_over_rate:
            context = self.context
            context.metrics.count_job('tenant_over_rate_jobs', spec.tenant)
        return job

    def _apply_cancel(self, record: KeyedRecord) -> None:
        job_id = record.key.removeprefix(CANCEL_PREFIX)
        if record.payload is None:
            self.expiry.strays.pop(job_id, None)
            return
        cell = self.context.cell
        job = cell.jobs.get(job_id)
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
