"""Hold one worker: prolong its leases and look at what it runs."""

import asyncio
import logging
from typing import Final, final

from ..workflow import (
    Answer,
    WorkerInfo,
    apply_run_table,
    pace_worker,
    remove_replaced_worker,
)
from ._context import OwnerContext
from ._ports import PollReply, PollRequest
from ._worker_clock import WorkerClock

logger = logging.getLogger('lycheerelay.holder')

# A look waits at most so long for an end, in ms. Longer looks cost less and
# find a silent worker, and a run that stands still, later.
POLL_WAIT_MS: Final = 1000
# The pause after a look that was not answered, in s.
UNANSWERED_PAUSE_S: Final = 0.25
# A look waits so long for the record of the ends before, in s.
RECORD_WAIT_S: Final = 0.15
# The pause between looks while ends cannot be recorded, in s.
UNRECORDED_PAUSE_S: Final = 0.2
# Leases that are asked for end so much before the longest allowed, in ms.
LEASE_MARGIN_MS: Final = 50


@final
class WorkerPoller:
    """Look at one worker again and again."""

    def __init__(
        self,
        context: OwnerContext,
        worker_id: str,
        address: str,
    ) -> None:
        """Start without a reading of the worker's clock."""
        self.context = context
        self.worker_id = worker_id
        self.address = address
        self.clock = WorkerClock()

    async def run(self) -> None:
        """Look until the worker or the ownership is over."""
        while not self.context.cell.deposed:
            if self.worker_id in self.context.cell.removed_workers:
                return
            if not self.context.may_send_orders:
                await asyncio.sleep(UNANSWERED_PAUSE_S)
                continue
            reply = await self._poll()
            await self._take_in(reply)

    async def poll_once(self) -> None:
        """Look at once, beside the look that may be waiting."""
        worker = self.context.cell.workers.get(self.worker_id)
        if worker is None or not self.context.may_send_orders:
            return
        asked = self._question(worker.recorded_end, 0, 0)
        reply = await self.context.workers.poll(asked)
        if reply.answer is Answer.DONE and reply.table is not None:
            self.clock.heard(reply.clock_ms, self.context.now_ms)
            apply_run_table(self.context.cell, reply.table, self.context.now_ms)
            self.context.notify_changed()
        elif reply.answer in {Answer.NONE, Answer.UNREACHED}:
            self._note_silence(reply.answer)

    def lease_deadline(self) -> int:
        """Return a deadline on the worker's clock and note that it is given."""
        if not self.clock.is_known:
            return 0
        now_ms = self.context.now_ms
        span_ms = self.context.limits.lease_ms - LEASE_MARGIN_MS
        deadline_ms = self.clock.deadline(span_ms, now_ms)
        worker = self.context.cell.workers.get(self.worker_id)
        if worker is not None:
            over_ms = self.clock.over_by(deadline_ms)
            worker.lease_until_ms = max(worker.lease_until_ms, over_ms)
        return deadline_ms

    async def _poll(self) -> PollReply:
        worker = self.context.cell.workers.get(self.worker_id)
        is_known = worker is not None and self.clock.is_known
        wait_ms = POLL_WAIT_MS if is_known else 0
        if worker is None or worker.unresponsive:
            wait_ms = 0
        last_seen = worker.recorded_end if worker else 0
        # A worker that does not answer may still carry out what it is sent:
        # its leases run out only if no look prolongs them.
        is_lost = worker is None or worker.unresponsive
        deadline_ms = 0 if is_lost else self.lease_deadline()
        if worker and worker.recorded_end < worker.handled_end:
            wait_ms = 0
        asked = self._question(last_seen, deadline_ms, wait_ms)
        return await self.context.workers.poll(asked)

    def _question(
        self,
        last_seen: int,
        deadline_ms: int,
        wait_ms: int,
    ) -> PollRequest:
        return PollRequest(
            self.worker_id,
            self.address,
            self.context.fence,
            last_seen,
            deadline_ms,
            wait_ms,
        )

    async def _take_in(self, reply: PollReply) -> None:
        context = self.context
        now_ms = context.now_ms
        if reply.answer is Answer.DONE and reply.table is not None:
            self.clock.heard(reply.clock_ms, now_ms)
            await context.loaded.wait()
            await self._apply(reply)
        elif reply.answer is Answer.OTHER_INSTANCE:
            remove_replaced_worker(context.cell, self.worker_id, now_ms)
            context.notify_changed()
        elif reply.answer is Answer.FENCED:
            logger.warning('fenced_by_worker', extra={'worker': self.worker_id})
            context.cell.deposed = True
            context.notify_changed()
        else:
            await self._unanswered(reply.answer)

    async def _apply(self, reply: PollReply) -> None:
        context = self.context
        worker = context.cell.workers.get(self.worker_id)
        if reply.table is None or worker is None:
            return
        if worker.unresponsive:
            logger.info('worker_regained', extra={'worker': self.worker_id})
        apply_run_table(context.cell, reply.table, context.now_ms)
        pace_worker(context.cell, worker)
        context.notify_changed()
        await self._await_record(worker)

    async def _await_record(self, worker: WorkerInfo) -> None:
        if worker.recorded_end >= worker.handled_end:
            return
        try:
            async with asyncio.timeout(RECORD_WAIT_S):
                while self._has_unrecorded(worker):
                    await self.context.recorded.wait()
        except TimeoutError:
            # The store is slow or away; look on without forgetting ends.
            await asyncio.sleep(UNRECORDED_PAUSE_S)

    def _has_unrecorded(self, worker: WorkerInfo) -> bool:
        is_over = self.context.cell.deposed
        return not is_over and worker.recorded_end < worker.handled_end

    async def _unanswered(self, answer: Answer) -> None:
        self._note_silence(answer)
        await asyncio.sleep(UNANSWERED_PAUSE_S)

    def _note_silence(self, answer: Answer) -> None:
        worker = self.context.cell.workers.get(self.worker_id)
        if worker is not None and not worker.unresponsive:
            worker.unresponsive = True
            logger.warning(
                'worker_lost',
                extra={
                    'worker': self.worker_id,
                    'answer': answer.value,
                    'heard_ms_ago': self.context.now_ms
                    - worker.last_contact_ms,
                    'runs': len(worker.runs),
                },
            )
