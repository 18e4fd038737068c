"""Distribute calls to the placement advisor over the entry VMs.

The advisor serves one call per calling VM at a time, so each VM is a queue in
which a long call delays the short calls behind it. Some queues are therefore
reserved for short calls.
"""

from typing import Final, final

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


@final
class AdviceDispatcher:
    """Send each call through the queue that is expected to answer first."""

    def __init__(self, clock: Clock, advisor: Advisor, peers: Peers) -> None:
        """Start with every queue idle."""
        self.clock = clock
        self.advisor = advisor
        self.peers = peers
        self.busy_until_ms: dict[str, float] = {}

    async def ask(self, command: AskAdvice) -> Result[AdviceReply, LogFault]:
        """Ask for advice through the queue that is free first."""
        queue = self._pick_queue(command.expected_ms)
        begin_ms = max(self.clock.now_ms(), self.busy_until_ms.get(queue, 0))
        self.busy_until_ms[queue] = begin_ms + command.expected_ms
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

    def _pick_queue(self, expected_ms: float) -> str:
        queues = [LOCAL_QUEUE, *self.peers.live_peers()]
        if expected_ms > SHORT_CALL_MS and len(queues) > SHORT_CALL_QUEUES:
            queues = queues[SHORT_CALL_QUEUES:]
        now_ms = self.clock.now_ms()
        return min(
            queues,
            key=lambda queue: max(self.busy_until_ms.get(queue, 0), now_ms),
        )
