"""Spread calls for placement advice over the entry VMs.

The advisor serves one call of a calling VM at a time, so a long call in front
of a short one would delay it: the short lane is kept free of long calls.
"""

from typing import Final, final

from result import Err, Result

from .._clock import Clock
from ..workflow import AskAdvice
from ._peers import Peers
from ._ports import AdviceReply, Advisor, LogFault

# Calls up to this long, in ms, are short: a tenth of the shortest objective
# for which a caller notices the wait.
SHORT_MS: Final = 60
# This VM and one more serve short calls only, where there are others.
SHORT_LANES: Final = 2
LOCAL: Final = ''


@final
class AdviceDispatcher:
    """Send each call where it is expected to be answered first."""

    def __init__(self, clock: Clock, advisor: Advisor, peers: Peers) -> None:
        """Start with every lane idle."""
        self.clock = clock
        self.advisor = advisor
        self.peers = peers
        self.busy_until_ms: dict[str, float] = {}

    async def ask(self, command: AskAdvice) -> Result[AdviceReply, LogFault]:
        """Make a call by the lane that is free first."""
        lane = self._pick(command.expected_ms)
        begin_ms = max(self.clock.now_ms(), self.busy_until_ms.get(lane, 0))
        self.busy_until_ms[lane] = begin_ms + command.expected_ms
        if lane == LOCAL:
            return await self.advisor.ask(command.step, command.workers)
        outcome = await self.peers.ask_advice(
            lane,
            command,
            int(self.busy_until_ms[lane]) - self.clock.now_ms(),
        )
        if isinstance(outcome, Err):
            self.peers.suspect(lane)
        return outcome

    def _pick(self, expected_ms: float) -> str:
        lanes = [LOCAL, *self.peers.others()]
        if expected_ms > SHORT_MS and len(lanes) > SHORT_LANES:
            lanes = lanes[SHORT_LANES:]
        now_ms = self.clock.now_ms()
        return min(
            lanes,
            key=lambda lane: max(self.busy_until_ms.get(lane, 0), now_ms),
        )
