"""Append callers' records in batches."""

import asyncio
from dataclasses import dataclass
from typing import Final, final

from result import Err, Ok, Result

from .._clock import Clock
from ._append_gate import AppendGate
from ._metrics_registry import MetricsRegistry
from ._ports import KEY_BYTES, KeyedLog, KeyedRecord, LogFault, Stream

# Allows for a store that is 60 times slower than usual. It serves the appends
# of a partition one at a time, in 0.12 s each, while eight VMs send them.
APPEND_TIMEOUT_MS: Final = 1200
# Size of one append, exceeded by a single record only. The store accepts 2 MB.
MAX_BATCH_BYTES: Final = 512 * 1024

AppendOutcome = Result[int, LogFault]


@dataclass(frozen=True, slots=True)
class PendingAppend:
    """Hold a record and the future for the outcome of its append."""

    record: KeyedRecord
    future: 'asyncio.Future[AppendOutcome]'


@final
class JobAppends:
    """Keep one append in flight and batch new records for the next one."""

    def __init__(
        self,
        clock: Clock,
        log: KeyedLog,
        gate: AppendGate,
        metrics: MetricsRegistry,
    ) -> None:
        """Start without an append in flight."""
        self.clock = clock
        self.log = log
        self.gate = gate
        self.metrics = metrics
        self.pending: list[PendingAppend] = []
        self.sender: asyncio.Task[None] | None = None

    async def append(
        self, record: KeyedRecord, timeout_ms: int
    ) -> AppendOutcome:
        """Append a record and return its offset.

        After a timeout, REFUSED if the record was not sent, else UNKNOWN.
        """
        loop = asyncio.get_running_loop()
        pending_append = PendingAppend(record, loop.create_future())
        self.pending.append(pending_append)
        if self.sender is None or self.sender.done():
            self.sender = loop.create_task(self._send())
        done, _ = await asyncio.wait(
            {pending_append.future}, timeout=timeout_ms / 1000
        )
        if done:
            return pending_append.future.result()
        if pending_append in self.pending:
            # Not sent yet, since the previous append is still in flight.
            self.pending.remove(pending_append)
            return Err(LogFault.REFUSED)
        return Err(LogFault.UNKNOWN)

    async def _send(self) -> None:
        while self.pending:
            await self._send_batch(self._next_batch())

    async def _send_batch(self, batch: list[PendingAppend]) -> None:
        outcome: AppendOutcome = Err(LogFault.UNKNOWN)
        try:
            outcome = await self._append_batch(batch)
            if outcome == Err(LogFault.REJECTED) and len(batch) > 1:
                # Only the caller of the record at fault is refused.
                middle = len(batch) // 2
                await self._send_batch(batch[:middle])
                await self._send_batch(batch[middle:])
        finally:
            # Callers get an outcome even if the append raised.
            _resolve(batch, outcome)

    async def _append_batch(self, batch: list[PendingAppend]) -> AppendOutcome:
        sent_ms = self.clock.now_ms()
        outcome = await self.log.append(
            Stream.JOBS,
            [pending_append.record for pending_append in batch],
            timeout_ms=APPEND_TIMEOUT_MS,
        )
        self.metrics.observe('append', self.clock.now_ms() - sent_ms)
        if isinstance(outcome, Ok):
            self.gate.succeeded()
        elif outcome.err_value is not LogFault.REJECTED:
            self.gate.failed()
            self._refuse_pending()
        return outcome

    def _refuse_pending(self) -> None:
        # These records were not sent, so their callers can retry safely.
        for pending_append in self.pending:
            if not pending_append.future.done():
                pending_append.future.set_result(Err(LogFault.REFUSED))
        self.pending = []

    def _next_batch(self) -> list[PendingAppend]:
        limit = min(self.log.limits.request_bytes, MAX_BATCH_BYTES)
        batch = [self.pending.pop(0)]
        size = _size_of(batch[0])
        while self.pending:
            size += _size_of(self.pending[0])
            if size > limit:
                break
            batch.append(self.pending.pop(0))
        return batch


def _size_of(pending_append: PendingAppend) -> int:
    return KEY_BYTES + len(pending_append.record.payload or b'')


def _resolve(batch: list[PendingAppend], outcome: AppendOutcome) -> None:
    for index, pending_append in enumerate(batch):
        if not pending_append.future.done():
            pending_append.future.set_result(_offset_at(outcome, index))


def _offset_at(outcome: AppendOutcome, index: int) -> AppendOutcome:
    return outcome.map(lambda offset: offset + index)
