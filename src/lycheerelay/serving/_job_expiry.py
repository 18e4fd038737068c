"""Delete the records of jobs that are over for longer than their retention.

The job record and the cancellation go first, under the condition that the owner
has read the stream up to its end: a hand-in of the same id that the owner has
not seen makes the deletion fail. The job is forgotten, and its progress deleted,
once the deletion is read back from the stream. Until then a job record always
has its progress beside it, so that a job record without progress has not begun.

Earlier versions delete the progress only. They write the record `fence` at the
start of each term; this version writes `term` instead. Job records without
progress are examined while `fence` is newer than `judged`, the last number for
which that was done.
"""

import asyncio
import itertools
import logging
from collections.abc import Awaitable, Callable, Iterator
from typing import Final, final

from result import Ok

from ..workflow import WorkflowSpec, retention
from ._cancellations import cancel_key, is_unscoped
from ._context import OwnerContext
from ._early_cancels import EarlyCancels
from ._past_jobs import PastJobs
from ._ports import KeyedRecord, RecordPage, Stream
from ._progress_keys import JUDGED_KEY, LEGACY_FENCE_KEY, progress_key
from ._recorder import Recorder
from ._slices import Slices

logger = logging.getLogger('lycheerelay.expiry')

JOB_PREFIX: Final = 'job/'
CHECK_INTERVAL_S: Final = 10
# Records in one deletion, two for each job.
MAX_RECORDS: Final = 2000
# Failed deletions in one check. Other VMs append meanwhile, so that a condition
# on the end of the stream often fails.
MAX_FAILURES: Final = 5
# Jobs that one log line names.
MAX_NAMED: Final = 20


@final
class JobExpiry:
    """Delete what expired jobs leave in the store, for one owner."""

    def __init__(
        self,
        context: OwnerContext,
        recorder: Recorder,
        past: PastJobs,
        catch_up: Callable[[], Awaitable[bool]],
    ) -> None:
        """Start without anything to delete.

        `leftovers` are the jobs whose record an earlier version has left, `early`
        the cancellations without a job. `unsettled` are jobs that need a progress
        record before the examination of an earlier version's records is over.
        """
        self.context = context
        self.recorder = recorder
        self.past = past
        self.catch_up = catch_up
        self.retain_ms = retention.retention_ms(context.limits.status_ms)
        self.leftovers: dict[str, None] = {}
        self.early = EarlyCancels()
        self.unsettled: dict[str, None] = {}
        self.judged: bytes | None = None
        self.recorded_waiting: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Delete expired records until the ownership ends."""
        while not self.context.cell.deposed:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.context.may_send_orders:
                self._record_waiting()
                self.context.metrics.gauge('early_cancels', self.early.count)
                await self._shelve()
                await self._delete_due()
                self._finish_examination()

    def examine(self, progress: RecordPage) -> None:
        """Find out whether an earlier version has had the cell since."""
        payloads = {record.key: record.payload for record in progress.records}
        fence = payloads.get(LEGACY_FENCE_KEY)
        if fence is not None and fence != payloads.get(JUDGED_KEY):
            self.judged = fence

    def is_leftover(self, spec: WorkflowSpec) -> bool:
        """Return whether a job without progress is over, not new.

        An earlier version may have deleted the progress of a job that is older
        than the retention; it never does so of a younger one.
        """
        if self.judged is None:
            return False
        if retention.may_be_over(spec, self.retain_ms, self.context.now_ms):
            self.leftovers[spec.job_id] = None
            return True
        self.unsettled[spec.job_id] = None
        self.context.cell.unrecorded_jobs[spec.job_id] = None
        return False

    def report_leftovers(self) -> None:
        """Log how many records an earlier version has left."""
        if self.leftovers:
            logger.warning(
                'history_dropped',
                extra={
                    'jobs': len(self.leftovers),
                    'first': list(itertools.islice(self.leftovers, MAX_NAMED)),
                },
            )

    def forget(self, job_id: str) -> None:
        """Forget a job whose record is deleted, and delete its progress."""
        self.leftovers.pop(job_id, None)
        job = self.context.cell.jobs.get(job_id)
        if job is not None and not job.is_final:
            logger.error('job_record_gone', extra={'job': job_id})
            return
        if job is None and job_id not in self.past.jobs:
            return
        self.past.jobs.pop(job_id, None)
        self.context.cell.jobs.pop(job_id, None)
        self.recorder.write([KeyedRecord(progress_key(job_id), None)])

    def drop_orphans(self, orphans: list[str]) -> None:
        """Delete the progress of final jobs whose record is gone."""
        self.recorder.write(
            KeyedRecord(progress_key(job_id), None) for job_id in orphans
        )

    async def _shelve(self) -> None:
        context = self.context
        slices = Slices(context.clock)
        for job_id in retention.find_settled(context.cell, context.now_ms):
            await slices.next_item()
            self.past.shelve(job_id)
        context.metrics.gauge('past_jobs', len(self.past.jobs))

    async def _delete_due(self) -> None:
        failures = 0
        while failures < MAX_FAILURES and not self.context.cell.deposed:
            due = list(self._due_records())[:MAX_RECORDS]
            if not due:
                return
            outcome = await self.context.log.append_at(
                Stream.JOBS, due, self.context.tail_offset
            )
            fault = None if isinstance(outcome, Ok) else outcome.err_value.value
            failures += fault is not None
            logger.info(
                'records_expired',
                extra={'records': len(due), 'fault': fault or ''},
            )
            verdict = fault or 'ok'
            self.context.metrics.count('expiry_appends', verdict=verdict)
            if not await self.catch_up():
                return

    def _due_records(self) -> Iterator[KeyedRecord]:
        now_ms = self.context.now_ms
        cell = self.context.cell
        expired = retention.find_expired(cell, self.retain_ms, now_ms)
        past = self.past.expired(now_ms - self.retain_ms)
        for job_id in (*expired, *past, *self.leftovers):
            keys = (cancel_key(job_id), *self.early.keys_of(job_id))
            for key in dict.fromkeys(keys):
                yield KeyedRecord(key, None)
            yield KeyedRecord(f'{JOB_PREFIX}{job_id}', None)
        for job_id, key in self.early.read_before(now_ms - self.retain_ms):
            if not self._is_kept_with_job(job_id, key):
                yield KeyedRecord(key, None)

    def _is_kept_with_job(self, job_id: str, key: str) -> bool:
        """Return whether a cancellation is deleted when its job is."""
        if job_id in self.past.jobs:
            return True
        job = self.context.cell.jobs.get(job_id)
        if job is None:
            return False
        return is_unscoped(key) or self.early.covers(job.spec)

    def _record_waiting(self) -> None:
        """Record progress of jobs that wait for long.

        They are then not taken for history after a term of an earlier version.
        """
        cell = self.context.cell
        waiting = retention.find_waiting(cell, self.context.now_ms)
        for job_id in waiting:
            if job_id not in self.recorded_waiting:
                cell.unrecorded_jobs[job_id] = None
        self.recorded_waiting = frozenset(waiting)

    def _finish_examination(self) -> None:
        unrecorded = self.context.cell.unrecorded_jobs
        if self.judged is None or self.leftovers:
            return
        if unrecorded.keys().isdisjoint(self.unsettled):
            self.recorder.write([KeyedRecord(JUDGED_KEY, self.judged)])
            self.judged = None
            self.unsettled = {}
