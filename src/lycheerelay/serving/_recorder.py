"""Record the owner's progress durably before anything depends on it."""

import asyncio
import itertools
import logging
from collections.abc import Callable, Collection
from typing import Final, final

from result import Err, Ok

from ..workflow import JobPhase, WorkerKey, encode_progress
from ._context import OwnerContext
from ._known_workers import KnownWorker, encode_known_workers, known_workers
from ._ports import KeyedRecord, LogFault, Stream, Writer

logger = logging.getLogger('lycheerelay.recorder')

FENCE_KEY: Final = 'fence'
WRITER: Final = 'owner'
# Faults that end the term. Only a new term, whose epoch restarts the sequence
# numbers, can append again.
TERM_ENDING_FAULTS: Final = frozenset((LogFault.FENCED, LogFault.OUT_OF_ORDER))
# Changes that arrive within this time share one append.
BATCH_DELAY_S: Final = 0.002
# Delay before a failed append is repeated.
RETRY_DELAY_S: Final = 0.12
# Starts wait for their record, and repeating an append with its sequence number
# is safe, so the first attempts time out early. Later attempts use the default
# timeout of the store.
FIRST_TIMEOUTS_MS: Final = (100, 300)
# Size of the progress in one append, exceeded by at most one record. The store
# accepts more.
MAX_BATCH_BYTES: Final = 256 * 1024


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
        self.sequence = 0
        self.recorded_workers: frozenset[KnownWorker] = frozenset()
        self.expired_jobs: list[str] = []

    async def fence(self) -> bool:
        """Fence off the appends of earlier owners; return whether it worked."""
        while not self.context.cell.deposed:
            outcome = await self.context.log.append(
                Stream.PROGRESS,
                (KeyedRecord(FENCE_KEY, str(self.context.fence).encode()),),
                Writer(WRITER, self.context.fence, self.sequence),
            )
            if isinstance(outcome, Ok):
                return True
            if outcome.err_value in TERM_ENDING_FAULTS:
                self.context.cell.deposed = True
                return False
            await asyncio.sleep(RETRY_DELAY_S)
        return False

    async def run(self) -> None:
        """Record changes until the ownership ends."""
        while not self.context.cell.deposed:
            if not self._has_work():
                await self.context.changed.wait()
                self.context.changed.clear()
                await asyncio.sleep(BATCH_DELAY_S)
            if self._has_work():
                await self._write()

    def drop_records(self, job_ids: list[str]) -> None:
        """Schedule the deletion of the records of expired jobs."""
        self.expired_jobs.extend(job_ids)
        self.context.notify_changed()

    def _has_work(self) -> bool:
        cell = self.context.cell
        if not cell.loaded:
            return False
        return bool(
            cell.unrecorded_jobs
            or self.expired_jobs
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
        records: list[KeyedRecord] = []
        if workers != self.recorded_workers:
            records.extend(encode_known_workers(cell))
        for job_id in self.expired_jobs:
            records.append(KeyedRecord(job_id, None))
        self.expired_jobs = []
        size = 0
        for job_id in list(cell.unrecorded_jobs):
            if size > MAX_BATCH_BYTES:
                handled_ends = {}
                break
            cell.unrecorded_jobs.pop(job_id)
            job = cell.jobs.get(job_id)
            if job is None:
                continue
            payload = encode_progress(job)
            size += len(payload)
            phases[job_id] = job.phase
            records.append(KeyedRecord(job_id, payload))
        self.on_encoded(phases)
        if not records or await self._append(records):
            self._mark_recorded(handled_ends, phases, workers)

    def _mark_recorded(
        self,
        handled_ends: dict[WorkerKey, int],
        phases: dict[str, JobPhase],
        workers: frozenset[KnownWorker],
    ) -> None:
        cell = self.context.cell
        self.recorded_workers = workers
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

    async def _append(self, records: list[KeyedRecord]) -> bool:
        self.sequence += 1
        writer = Writer(WRITER, self.context.fence, self.sequence)
        sent_ms = self.context.now_ms
        for timeout_ms in itertools.chain(
            FIRST_TIMEOUTS_MS, itertools.repeat(0)
        ):
            if self.context.cell.deposed:
                return False
            outcome = await self.context.log.append(
                Stream.PROGRESS,
                records,
                writer,
                timeout_ms,
            )
            if isinstance(outcome, Ok):
                took_ms = self.context.now_ms - sent_ms
                self.context.metrics.observe('record', took_ms)
                return True
            self._handle_fault(outcome, sent_ms)
            if outcome.err_value is not LogFault.UNKNOWN:
                await asyncio.sleep(RETRY_DELAY_S)
        return False

    def _handle_fault(self, outcome: Err[LogFault], sent_ms: int) -> None:
        fault = outcome.err_value
        logger.warning(
            'progress_not_recorded',
            extra={
                'fault': fault.value,
                'since_ms': self.context.now_ms - sent_ms,
                'fence': self.context.fence,
            },
        )
        if fault in TERM_ENDING_FAULTS:
            self.context.cell.deposed = True
