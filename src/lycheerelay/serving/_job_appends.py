"""Append callers' records, those that come meanwhile together."""

import asyncio
from dataclasses import dataclass
from typing import Final, final

from result import Err, Ok, Result

from .._clock import Clock
from ._append_gate import AppendGate
from ._metrics_registry import MetricsRegistry
from ._ports import KeyedLog, KeyedRecord, LogFault, Stream

# One append is given so long, in ms: a store that is 60 times slow serves the
# appends of a partition one by one, 0.12 s each, and eight VMs send them.
APPEND_TIMEOUT_MS: Final = 1200
# One append carries at most so many bytes; the store takes 2 MB.
BATCH_BYTES: Final = 512 * 1024

Appended = Result[int, LogFault]


@dataclass(frozen=True, slots=True)
class Waiter:
    """Hold a record and who waits for it."""

    record: KeyedRecord
    answer: 'asyncio.Future[Appended]'


@final
class JobAppends:
    """Keep one append on its way; what comes meanwhile shares the next."""

    def __init__(
        self,
        clock: Clock,
        log: KeyedLog,
        gate: AppendGate,
        metrics: MetricsRegistry,
    ) -> None:
        """Start with nothing on its way."""
        self.clock = clock
        self.log = log
        self.gate = gate
        self.metrics = metrics
        self.waiting: list[Waiter] = []
        self.sender: asyncio.Task[None] | None = None

    async def append(self, record: KeyedRecord, timeout_ms: int) -> Appended:
        """Append a record; UNKNOWN when its time passes first."""
        loop = asyncio.get_running_loop()
        waiter = Waiter(record, loop.create_future())
        self.waiting.append(waiter)
        if self.sender is None or self.sender.done():
            self.sender = loop.create_task(self._send())
        done, _ = await asyncio.wait({waiter.answer}, timeout=timeout_ms / 1000)
        if done:
            return waiter.answer.result()
        if waiter in self.waiting:
            # It never left: the store is busy with the append before.
            self.waiting.remove(waiter)
            return Err(LogFault.REFUSED)
        return Err(LogFault.UNKNOWN)

    async def _send(self) -> None:
        while self.waiting:
            batch = self._take_batch()
            asked_ms = self.clock.now_ms()
            outcome = await self.log.append(
                Stream.JOBS,
                [waiter.record for waiter in batch],
                timeout_ms=APPEND_TIMEOUT_MS,
            )
            self.metrics.observe('append', self.clock.now_ms() - asked_ms)
            if isinstance(outcome, Ok):
                self.gate.succeeded()
            else:
                self.gate.failed()
                self._refuse_waiting()
            for place, waiter in enumerate(batch):
                if not waiter.answer.done():
                    waiter.answer.set_result(_at_place(outcome, place))

    def _refuse_waiting(self) -> None:
        # They never left, so their callers can be told so at once.
        for waiter in self.waiting:
            if not waiter.answer.done():
                waiter.answer.set_result(Err(LogFault.REFUSED))
        self.waiting = []

    def _take_batch(self) -> list[Waiter]:
        size = 0
        batch = []
        while self.waiting and size < BATCH_BYTES:
            waiter = self.waiting.pop(0)
            size += len(waiter.record.payload or b'')
            batch.append(waiter)
        return batch


def _at_place(outcome: Appended, place: int) -> Appended:
    return outcome.map(lambda offset: offset + place)
