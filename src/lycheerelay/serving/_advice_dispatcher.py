"""Distribute calls to the placement advisor over the entry VMs.

Load: after a takeover all waiting steps need advice at once, while the new owner
knows few other VMs. The advisor serves one call per calling VM at a time, so each
VM is a queue in which a long call delays the short calls behind it. Some queues are
therefore reserved for short calls, and calls wait here rather than in a long queue,
since other VMs may become known. A step that lacks only tickets for its capacity is
served before those that look for workers: the backlog of these takes longer than
tickets are valid, and the capacity would be idle meanwhile.
"""

import asyncio
import heapq
import itertools
from typing import Final, NamedTuple, final

from result import Err, Result

from .._clock import Clock
from ..workflow import AskAdvice
from ._peers import Peers
from ._ports import AdviceReply, Advisor, LogFault

# Calls expected to take at most this long count as short: a tenth of the
# shortest objective for which a caller notices the wait.
SHORT_CALL_MS: Final = 60
# Number of queues, including this VM's own, that long calls avoid if there are
# others.
SHORT_CALL_QUEUES: Final = 2
LOCAL_QUEUE: Final = ''
# A call joins a queue that is expected to be free within this time. That covers the
# way to another VM, so that no queue runs empty.
MAX_QUEUED_MS: Final = 100
# Interval at which waiting calls look for VMs that became known.
RECHECK_S: Final = 0.02


class WaitingCall(NamedTuple):
    """A call without a queue; the future is for its queue.

    Calls sort by urgency, and by the time at which they would be answered without
    waiting.
    """

    can_wait: bool
    answer_due_ms: float
    number: int
    expected_ms: float
    queue: 'asyncio.Future[str]'


@final
class AdviceDispatcher:
    """Send each call through the queue that is expected to answer first."""

    def __init__(self, clock: Clock, advisor: Advisor, peers: Peers) -> None:
        """Start with every queue idle."""
        self.clock = clock
        self.advisor = advisor
        self.peers = peers
        self.busy_until_ms: dict[str, float] = {}
        self.waiting_short: list[WaitingCall] = []
        self.waiting_long: list[WaitingCall] = []
        self.numbers = itertools.count()
        self.assigner: asyncio.Task[None] | None = None

    async def ask(self, command: AskAdvice) -> Result[AdviceReply, LogFault]:
        """Ask for advice through the queue that is free first."""
        queue = await self._join_queue(command)
        if queue == LOCAL_QUEUE:
            return await self.advisor.ask(command.step, command.worker_ids)
        outcome = await self.peers.ask_advice(
            queue,
            command,
            int(self.busy_until_ms[queue]) - self.clock.now_ms(),
        )
        if isinstance(outcome, Err):
            self.peers.suspect(queue)
        return outcome

    async def _join_queue(self, command: AskAdvice) -> str:
        expected_ms = command.expected_ms
        is_long = expected_ms > SHORT_CALL_MS
        waiting = self.waiting_long if is_long else self.waiting_short
        if not waiting:
            queue = self._pick_queue(expected_ms)
            if self._backlog_ms(queue) <= MAX_QUEUED_MS:
                return self._occupy(queue, expected_ms)
        loop = asyncio.get_running_loop()
        assigned: asyncio.Future[str] = loop.create_future()
        due_ms = self.clock.now_ms() + expected_ms
        number = next(self.numbers)
        heapq.heappush(
            waiting,
            WaitingCall(
                not command.is_urgent, due_ms, number, expected_ms, assigned
            ),
        )
        if self.assigner is None or self.assigner.done():
            self.assigner = loop.create_task(self._assign_queues())
        return await assigned

    async def _assign_queues(self) -> None:
        while self.waiting_short or self.waiting_long:
            heaps = [
                heap for heap in (self.waiting_short, self.waiting_long) if heap
            ]
            heaps.sort(key=lambda heap: heap[0].answer_due_ms)
            if not any(map(self._assign_first, heaps)):
                await asyncio.sleep(RECHECK_S)

    def _assign_first(self, heap: list[WaitingCall]) -> bool:
        """Take the first call out of a heap if a queue is free for it."""
        call = heap[0]
        if call.queue.cancelled():
            heapq.heappop(heap)
            return True
        queue = self._pick_queue(call.expected_ms)
        if self._backlog_ms(queue) > MAX_QUEUED_MS:
            return False
        heapq.heappop(heap)
        call.queue.set_result(self._occupy(queue, call.expected_ms))
        return True

    def _occupy(self, queue: str, expected_ms: float) -> str:
        begin_ms = self.clock.now_ms() + self._backlog_ms(queue)
        self.busy_until_ms[queue] = begin_ms + expected_ms
        return queue

    def _backlog_ms(self, queue: str) -> float:
        until_ms = self.busy_until_ms.get(queue, 0)
        return max(until_ms - self.clock.now_ms(), 0)

    def _pick_queue(self, expected_ms: float) -> str:
        queues = [LOCAL_QUEUE, *self.peers.live_peers()]
        if expected_ms > SHORT_CALL_MS and len(queues) > SHORT_CALL_QUEUES:
            queues = queues[SHORT_CALL_QUEUES:]
        return min(queues, key=self._backlog_ms)
