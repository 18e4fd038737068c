"""Poll one worker: extend its leases and read its run table."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Final, final

from .._clock import MS_PER_SECOND
from ..workflow import (
    Answer,
    RunTable,
    WorkerInfo,
    WorkerKey,
    apply_run_table,
    remove_replaced_worker,
)
from ..workflow.workers import count_missed_call, pace_worker
from ._context import OwnerContext
from ._poll_backoff import DelayRule, first_delay_s, retry_delay_s
from ._ports import PollReply, PollRequest
from ._worker_clock import WorkerClock

logger = logging.getLogger('lycheerelay.holder')

# How long a poll waits at the worker for a run to end. Longer polls cost less,
# but detect an unresponsive worker or a hung run later.
POLL_WAIT_MS: Final = 1000
# The same while the worker is held for a task that may crash it.
HELD_POLL_WAIT_MS: Final = 100
# Delay before the next poll after one that was not allowed, or answered by another
# instance.
UNANSWERED_RETRY_S: Final = 0.25
# Limit on the polls that follow an order without an answer.
POLL_NOW_ATTEMPTS: Final = 3
# How long the next poll is delayed until the ends of the last one are recorded.
RECORD_TIMEOUT_S: Final = 0.15
# Interval between polls while run ends cannot be recorded.
UNRECORDED_POLL_INTERVAL_S: Final = 0.2
# Ends are acknowledged only within this time of the last answer. A worker takes
# longer to start again.
MAX_SILENCE_MS: Final = 400
# Interval between polls that only extend leases, while the jobs are restored.
TAKEOVER_POLL_INTERVAL_S: Final = 1
# Requested leases end this long before the maximum lease.
LEASE_MARGIN_MS: Final = 50


@final
class WorkerPoller:
    """Poll one worker continuously."""

    def __init__(
        self,
        context: OwnerContext,
        key: WorkerKey,
        address: str,
        on_other_instance: Callable[[], None],
    ) -> None:
        """Start without knowing the worker's clock.

        `on_other_instance` is called when another instance has answered.
        """
        self.context = context
        self.key = key
        self.address = address
        self.on_other_instance = on_other_instance
        self.clock = WorkerClock()
        # How long the last poll was delayed.
        self.delayed_ms: float = 0
        # Set when a registration of the worker has been read.
        self.registered = asyncio.Event()

    async def run(self) -> None:
        """Poll until the worker is removed or the ownership ends."""
        await self._pause(first_delay_s)
        while not self.context.cell.deposed:
            if self.key not in self.context.cell.workers:
                return
            if not self.context.may_send_orders:
                await asyncio.sleep(UNANSWERED_RETRY_S)
                continue
            reply = await self._poll()
            await self._handle_reply(reply)
            await self._space_out(reply)

    async def poll_once(self) -> None:
        """Poll at once, in parallel to a poll that may be waiting."""
        for _ in range(POLL_NOW_ATTEMPTS):
            worker = self.context.cell.workers.get(self.key)
            if worker is None or not self.context.may_send_orders:
                return
            request = self._make_request(self._last_seen(worker), 0, 0)
            reply = await self.context.workers.poll(request)
            if reply.answer is Answer.DONE and reply.table is not None:
                self._read_clock(reply.table)
                self._apply_table(reply.table)
                return
            if reply.answer not in {Answer.NONE, Answer.UNREACHED}:
                return
            self._count_miss(reply.answer)

    def lease_deadline(self) -> int:
        """Grant a lease and return its end on the worker's clock, in ms.

        Returns 0 while the worker's clock is unknown.
        """
        if not self.clock.is_known:
            return 0
        now_ms = self.context.now_ms
        span_ms = self.context.limits.lease_ms - LEASE_MARGIN_MS
        deadline_ms = self.clock.deadline(span_ms, now_ms)
        worker = self.context.cell.workers.get(self.key)
        if worker is not None:
            until_ms = self.clock.local_time(deadline_ms)
            worker.lease_until_ms = max(worker.lease_until_ms, until_ms)
        return deadline_ms

    async def _poll(self) -> PollReply:
        worker = self.context.cell.workers.get(self.key)
        is_known = worker is not None and self.clock.is_known
        # Until the jobs are known, the answer waits for them here instead.
        is_waiting = is_known and self.context.loaded.is_set()
        wait_ms = POLL_WAIT_MS if is_waiting else 0
        if worker is None or worker.missed_calls:
            wait_ms = 0
        elif worker.held_until_ms > self.context.now_ms:
            wait_ms = min(wait_ms, HELD_POLL_WAIT_MS)
        last_seen = self._last_seen(worker) if worker else 0
        # A worker that does not answer may still receive and execute requests,
        # so its leases expire only if no poll extends them.
        is_lost = worker is None or worker.missed_calls > 0
        deadline_ms = 0 if is_lost else self.lease_deadline()
        if worker and (worker.has_more_ends or _has_unrecorded_ends(worker)):
            wait_ms = 0
        request = self._make_request(last_seen, deadline_ms, wait_ms)
        return await self.context.workers.poll(request)

    def _last_seen(self, worker: WorkerInfo) -> int:
        """Return up to which end to acknowledge; 0 acknowledges none.

        After a call without an answer, or a pause, another instance may receive
        the poll, whose ends have the same numbers.
        """
        silent_ms = self.context.now_ms - worker.last_contact_ms
        is_in_touch = not worker.missed_calls and silent_ms < MAX_SILENCE_MS
        return worker.recorded_end if is_in_touch else 0

    def _make_request(
        self,
        last_seen: int,
        deadline_ms: int,
        wait_ms: int,
    ) -> PollRequest:
        return PollRequest(
            self.key,
            self.address,
            self.context.fence,
            last_seen,
            deadline_ms,
            wait_ms,
        )

    async def _handle_reply(self, reply: PollReply) -> None:
        context = self.context
        now_ms = context.now_ms
        if reply.answer is Answer.DONE and reply.table is not None:
            self._read_clock(reply.table)
            if await self._are_jobs_known():
                await self._apply_reply(reply.table)
        elif reply.answer is Answer.OTHER_INSTANCE:
            # The jobs tell what the worker took with it.
            if await self._are_jobs_known():
                remove_replaced_worker(context.cell, self.key, now_ms)
                context.notify_changed()
        elif reply.answer is Answer.FENCED:
            logger.warning(
                'fenced_by_worker', extra={'worker': self.key.worker_id}
            )
            context.cell.deposed = True
            context.notify_changed()
        else:
            await self._handle_no_answer(reply.answer)

    async def _space_out(self, reply: PollReply) -> None:
        """Wait after a reply that lists many runs."""
        if reply.table is None:
            return
        pace = self.context.poll_pace
        pace.charge(len(reply.table.rows), self.context.now_ms)
        worker = self.context.cell.workers.get(self.key)
        if worker is None or self._must_acknowledge():
            return
        delay_ms = pace.delay_ms(
            self.context.now_ms, is_stopping=worker.is_mostly_stopping
        )
        if delay_ms:
            self.delayed_ms = delay_ms
            await asyncio.sleep(delay_ms / MS_PER_SECOND)

    def _must_acknowledge(self) -> bool:
        """Return whether the poll before came too late to acknowledge ends.

        The ends that it has listed are acknowledged by another one at once.
        """
        delayed_ms = self.delayed_ms
        self.delayed_ms = 0
        return delayed_ms >= MAX_SILENCE_MS

    async def _are_jobs_known(self) -> bool:
        """Wait for the end of a takeover, but not past the next poll.

        During a long takeover the leases of the worker would expire otherwise.
        """
        loaded = self.context.loaded
        if not loaded.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TAKEOVER_POLL_INTERVAL_S):
                    await loaded.wait()
        return loaded.is_set()

    async def _apply_reply(self, table: RunTable) -> None:
        context = self.context
        worker = context.cell.workers.get(self.key)
        if worker is not None and worker.unresponsive:
            logger.info(
                'worker_regained',
                extra={
                    'worker': self.key.worker_id,
                    'started_ms': self.key.started_ms,
                },
            )
        self._apply_table(table)
        if table.worker != self.key:
            # This poller ends if that instance has replaced its own.
            await asyncio.sleep(UNANSWERED_RETRY_S)
        elif worker is not None:
            pace_worker(context.cell, worker)
            await self._wait_for_record(worker)

    def _read_clock(self, table: RunTable) -> None:
        if table.worker == self.key:
            self.clock.update(table.clock_ms, self.context.now_ms)

    def _apply_table(self, table: RunTable) -> None:
        apply_run_table(self.context.cell, table, self.context.now_ms)
        metrics = self.context.metrics
        metrics.count('poll_tables')
        metrics.increase('poll_rows', len(table.rows), {'kind': 'running'})
        metrics.increase('poll_rows', len(table.ends), {'kind': 'ended'})
        if table.worker != self.key:
            self.on_other_instance()
        self.context.notify_changed()

    async def _wait_for_record(self, worker: WorkerInfo) -> None:
        if not _has_unrecorded_ends(worker):
            return
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                while self._has_unrecorded(worker):
                    await self.context.recorded.wait()
        except TimeoutError:
            # The store is slow or unavailable. Keep polling without
            # acknowledging the ends.
            await asyncio.sleep(UNRECORDED_POLL_INTERVAL_S)

    def _has_unrecorded(self, worker: WorkerInfo) -> bool:
        is_deposed = self.context.cell.deposed
        return not is_deposed and _has_unrecorded_ends(worker)

    async def _handle_no_answer(self, answer: Answer) -> None:
        if self._count_miss(answer):
            await self._pause(retry_delay_s)

    async def _pause(self, delay_s: DelayRule) -> None:
        """Wait before a poll, at most until the worker registers."""
        worker = self.context.cell.workers.get(self.key)
        if worker is None:
            return
        self.registered.clear()
        delay = delay_s(self.context.cell, worker, self.context.now_ms)
        if not delay:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay):
                await self.registered.wait()

    def _count_miss(self, answer: Answer) -> bool:
        """Count an unanswered poll; return whether contact is lost."""
        worker = self.context.cell.workers.get(self.key)
        if worker is None:
            return True
        now_ms = self.context.now_ms
        if count_missed_call(self.context.cell, worker, now_ms):
            logger.warning(
                'worker_lost',
                extra={
                    'worker': self.key.worker_id,
                    'started_ms': self.key.started_ms,
                    'answer': answer.value,
                    'heard_ms_ago': now_ms - worker.last_contact_ms,
                    'runs': len(worker.runs),
                },
            )
        return worker.unresponsive


def _has_unrecorded_ends(worker: WorkerInfo) -> bool:
    return worker.recorded_end < worker.handled_end
