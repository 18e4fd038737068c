"""Make the owner's progress durable before it is relied upon."""

import asyncio
import itertools
import logging
from collections.abc import Callable, Iterable
from typing import Final, final

import orjson
from result import Err, Ok

from ..workflow import JobPhase, encode_progress
from ._context import OwnerContext
from ._ports import KeyedRecord, LogFault, Stream, Writer

logger = logging.getLogger('lycheerelay.recorder')

ROSTER_KEY: Final = 'workers'
FENCE_KEY: Final = 'fence'
WRITER: Final = 'owner'
# After these a new term is needed: its epoch starts the numbers anew.
ENDING: Final = frozenset((LogFault.FENCED, LogFault.OUT_OF_ORDER))
# Records that come within this time share an append, in s.
GATHER_S: Final = 0.002
# The pause after an append that was not served, in s.
RETRY_S: Final = 0.12
# Starts wait for their record, and an append may be repeated under its number:
# the first tries get little time, in ms, then what the store's calls get.
TIMEOUTS_MS: Final = (100, 300)
# One append carries at most so many bytes of records; the store takes more.
BATCH_BYTES: Final = 256 * 1024


@final
class Recorder:
    """Append progress in order; one append is on its way at a time."""

    def __init__(
        self,
        context: OwnerContext,
        release: Callable[[Iterable[str]], None],
    ) -> None:
        """Start with nothing written; `release` hears of recorded jobs."""
        self.context = context
        self.release = release
        self.sequence = 0
        self.roster: frozenset[str] = frozenset()
        self.removals: list[str] = []

    async def fence(self) -> bool:
        """Refuse the appends of earlier owners from now on."""
        while not self.context.cell.deposed:
            outcome = await self.context.log.append(
                Stream.PROGRESS,
                (KeyedRecord(FENCE_KEY, str(self.context.fence).encode()),),
                Writer(WRITER, self.context.fence, self.sequence),
            )
            if isinstance(outcome, Ok):
                return True
            if outcome.err_value in ENDING:
                self.context.cell.deposed = True
                return False
            await asyncio.sleep(RETRY_S)
        return False

    async def run(self) -> None:
        """Write whatever has changed until the ownership ends."""
        while not self.context.cell.deposed:
            if not self._has_work():
                await self.context.changed.wait()
                self.context.changed.clear()
                await asyncio.sleep(GATHER_S)
            if self._has_work():
                await self._write()

    def drop(self, job_ids: list[str]) -> None:
        """Let the records of expired jobs be dropped."""
        self.removals.extend(job_ids)
        self.context.notify_changed()

    def _has_work(self) -> bool:
        cell = self.context.cell
        if not cell.loaded:
            return False
        return bool(
            cell.unrecorded_jobs
            or self.removals
            or self._wanted_roster() - self.roster
            or any(
                worker.recorded_end < worker.handled_end
                for worker in cell.workers.values()
            ),
        )

    def _wanted_roster(self) -> frozenset[str]:
        return frozenset(self.context.cell.workers)

    async def _write(self) -> None:
        cell = self.context.cell
        roster = self._wanted_roster()
        seen = {
            worker.worker_id: worker.handled_end
            for worker in cell.workers.values()
        }
        phases: dict[str, JobPhase] = {}
        records = []
        if roster - self.roster:
            records.append(KeyedRecord(ROSTER_KEY, self._roster_payload()))
        for job_id in self.removals:
            records.append(KeyedRecord(job_id, None))
        self.removals = []
        size = 0
        for job_id in list(cell.unrecorded_jobs):
            if size > BATCH_BYTES:
                seen = {}
                break
            cell.unrecorded_jobs.pop(job_id)
            job = cell.jobs.get(job_id)
            if job is None:
                continue
            payload = encode_progress(job)
            size += len(payload)
            phases[job_id] = job.phase
            records.append(KeyedRecord(job_id, payload))
        if not records or await self._append(records):
            self._recorded(seen, phases, roster)

    def _recorded(
        self,
        seen: dict[str, int],
        phases: dict[str, JobPhase],
        roster: frozenset[str],
    ) -> None:
        cell = self.context.cell
        self.roster = roster
        for worker_id, number in seen.items():
            worker = cell.workers.get(worker_id)
            if worker is not None:
                worker.recorded_end = max(worker.recorded_end, number)
        for worker_id in roster:
            worker = cell.workers.get(worker_id)
            if worker is not None:
                worker.enrolled = True
        for job_id, phase in phases.items():
            job = cell.jobs.get(job_id)
            if job is not None:
                job.durable_phase = phase
        self.release(phases)
        self.context.recorded.set()
        self.context.recorded.clear()

    async def _append(self, records: list[KeyedRecord]) -> bool:
        self.sequence += 1
        writer = Writer(WRITER, self.context.fence, self.sequence)
        asked_ms = self.context.now_ms
        for timeout_ms in itertools.chain(TIMEOUTS_MS, itertools.repeat(0)):
            if self.context.cell.deposed:
                return False
            outcome = await self.context.log.append(
                Stream.PROGRESS,
                records,
                writer,
                timeout_ms,
            )
            if isinstance(outcome, Ok):
                took_ms = self.context.now_ms - asked_ms
                self.context.metrics.observe('record', took_ms)
                return True
            self._note_fault(outcome, asked_ms)
            if outcome.err_value is not LogFault.UNKNOWN:
                await asyncio.sleep(RETRY_S)
        return False

    def _note_fault(self, outcome: Err[LogFault], asked_ms: int) -> None:
        fault = outcome.err_value
        logger.warning(
            'progress_not_recorded',
            extra={
                'fault': fault.value,
                'since_ms': self.context.now_ms - asked_ms,
                'fence': self.context.fence,
            },
        )
        if fault in ENDING:
            self.context.cell.deposed = True

    def _roster_payload(self) -> bytes:
        cell = self.context.cell
        return orjson.dumps(
            {
                worker.worker_id: worker.address
                for worker in cell.workers.values()
            },
        )
