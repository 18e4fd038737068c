"""Claim the ownership when it is vacant, and keep it while confirmed.

Every member joins one group; its generation changes when a member comes or
goes, which is the sign to look whether the owner is still there. The owner
alone joins a second group, the seat. A claim is a conditional append to the
lock's log: its offset makes the fence number. The seat tells others not to
claim; what makes acting safe is the lock, which the owner reads in each round.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, final

from result import Err, Ok

from .._clock import MS_PER_SECOND, Clock
from ..workflow import silence_ms
from ._owner import Owner
from ._peers import Peers
from ._ports import Group, Seat
from ._tenure import JOIN_EVERY_MS, SeatTimes, Tenure

logger = logging.getLogger('lycheerelay.terms')

# After a change in the group the seat is looked at for so long, in ms: the
# owner's membership may end a little later than what showed the change.
LOOK_FOR_MS: Final = 600
# Without any change the seat is looked at this often, in ms.
LOOK_EVERY_MS: Final = 3000
# An owner that half of the workers leave unanswered for so long, in ms, hands
# over, and does not claim again for the second time, in ms. A look waits 1 s by
# itself and is given 0.7 s more.
CUT_OFF_MS: Final = 1500
STAND_BACK_MS: Final = 6000
# A takeover that has not read everything by then, in ms, is left to others:
# what is read takes 2 s on a slow link.
LOAD_LIMIT_MS: Final = 5000

# A new member shows once others have handed partitions to it: after a change
# the owner reads the members for the first time, in ms, at the second interval,
# in ms, and else at the third.
FRESH_MEMBERS_MS: Final = 3000
FRESH_MEMBERS_EVERY_MS: Final = 500
MEMBERS_EVERY_MS: Final = 5000

MakeOwner = Callable[[Tenure], Owner]


@final
class Terms:
    """Take part in finding an owner, and run the own terms."""

    def __init__(
        self,
        clock: Clock,
        group: Group,
        seat: Seat,
        peers: Peers,
        make_owner: MakeOwner,
        set_owner: Callable[[Owner | None], None],
        times: SeatTimes,
    ) -> None:
        """Start outside the group."""
        self.clock = clock
        self.group = group
        self.seat = seat
        self.peers = peers
        self.make_owner = make_owner
        self.set_owner = set_owner
        self.times = times
        self.vacant_ms = 0
        self.generation = 0
        self.tenure: Tenure | None = None
        self.owner: Owner | None = None
        self.task: asyncio.Task[None] | None = None
        self.joined_ms = 0
        self.leaving = False
        self.faults = 0
        self.look_until_ms = 0
        self.looked_ms = 0
        self.stand_back_ms = 0
        self.paused_ms = 0
        self.members_ms = 0
        self.members_until_ms = 0
        self.wake = asyncio.Event()

    @property
    def is_in_touch(self) -> bool:
        """Tell whether the store answered this member lately."""
        return self.clock.now_ms() - self.joined_ms < self.times.ttl_ms

    async def run(self) -> None:
        """Join again and again until leaving."""
        while not self.leaving:
            asked_ms = self.clock.now_ms()
            await self._round(asked_ms)
            passed_ms = self.clock.now_ms() - asked_ms
            pause_ms = max(JOIN_EVERY_MS - passed_ms, JOIN_EVERY_MS // 4)
            await self._pause(pause_ms)

    async def leave(self) -> None:
        """Stop acting, make the seat vacant and tell the others."""
        self.leaving = True
        was_owner = self.owner is not None
        self.end_term('leaving')
        if was_owner:
            await self.seat.release()
            await self.peers.tell_vacant()
        await self.group.leave()

    def look_now(self) -> None:
        """Look at once whether the seat is vacant."""
        self.looked_ms = 0
        self.look_until_ms = self.clock.now_ms() + LOOK_FOR_MS
        self.wake.set()

    def end_term(self, reason: str) -> None:
        """Stop acting as the owner."""
        if self.owner is None:
            return
        logger.info(
            'term_ended',
            extra={'reason': reason, 'fence': self.owner.context.fence},
        )
        self.owner.depose()
        if self.task is not None:
            self.task.cancel()
        self.owner = None
        self.tenure = None
        self.task = None
        self.set_owner(None)

    async def _pause(self, pause_ms: int) -> None:
        try:
            async with asyncio.timeout(pause_ms / MS_PER_SECOND):
                await self.wake.wait()
        except TimeoutError:
            # Nobody asked for a round before its time.
            return
        self.wake.clear()

    async def _round(self, asked_ms: int) -> None:
        if self.owner is not None and self.tenure is not None:
            keep = self._keep(self.owner, self.tenure, asked_ms)
            await asyncio.gather(self._join(asked_ms), keep)
            await self._refresh_members(asked_ms)
            return
        await self._join(asked_ms)
        if not self.leaving and self._is_look_due(asked_ms):
            await self._look(asked_ms)

    async def _join(self, asked_ms: int) -> None:
        outcome = await self.group.join(self.generation)
        if isinstance(outcome, Err):
            self.faults += 1
            if self.faults == 1:
                fault = outcome.err_value.value
                logger.warning('store_lost', extra={'fault': fault})
            return
        if self.faults:
            logger.info('store_regained', extra={'after_tries': self.faults})
            self.faults = 0
        self.joined_ms = asked_ms
        if self.generation != outcome.ok_value:
            self.look_until_ms = asked_ms + LOOK_FOR_MS
            self.members_until_ms = asked_ms + FRESH_MEMBERS_MS
        self.generation = outcome.ok_value

    async def _refresh_members(self, now_ms: int) -> None:
        """Let the owner know the members that can ask for advice."""
        is_fresh = now_ms < self.members_until_ms
        every_ms = FRESH_MEMBERS_EVERY_MS if is_fresh else MEMBERS_EVERY_MS
        if self.owner is not None and now_ms - self.members_ms > every_ms:
            self.members_ms = now_ms
            await self.peers.refresh_members()

    def _is_look_due(self, now_ms: int) -> bool:
        if self.faults:
            return False
        if now_ms < self.look_until_ms:
            return True
        return now_ms - self.looked_ms > LOOK_EVERY_MS

    async def _keep(
        self,
        owner: Owner,
        tenure: Tenure,
        asked_ms: int,
    ) -> None:
        if owner.cell.deposed or owner.is_over:
            await self._step_down(owner.why_over)
            return
        if not tenure.is_valid(asked_ms):
            # Workers were not asked while the tenure was over.
            self.paused_ms = asked_ms
        listened_ms = asked_ms - self.paused_ms
        silent_ms = min(silence_ms(owner.cell, asked_ms), listened_ms)
        if silent_ms > CUT_OFF_MS:
            await self._hand_over(asked_ms, 'most workers are out of reach')
            return
        is_slow = asked_ms - owner.started_ms > LOAD_LIMIT_MS
        if is_slow and not owner.cell.loaded:
            await self._hand_over(asked_ms, 'the takeover takes too long')
            return
        latest, _ = await asyncio.gather(
            self.seat.is_latest(tenure.fence),
            self.seat.keep(),
        )
        if isinstance(latest, Err):
            return
        if not latest.ok_value:
            await self._step_down('another member has claimed')
            return
        tenure.confirm(asked_ms)

    async def _hand_over(self, now_ms: int, reason: str) -> None:
        self.stand_back_ms = now_ms + STAND_BACK_MS
        await self._step_down(reason)
        await self.peers.tell_vacant()

    async def _step_down(self, reason: str) -> None:
        self.end_term(reason)
        await self.seat.release()
        self.look_until_ms = self.clock.now_ms() + LOOK_FOR_MS

    async def _look(self, now_ms: int) -> None:
        self.looked_ms = now_ms
        if await self._is_taken() or now_ms < self.stand_back_ms:
            self.vacant_ms = 0
            return
        if self._leaves_seat(now_ms):
            return
        # The lock's end is read before the seat is looked at again: a claim
        # in between makes this one fail.
        end = await self.seat.lock_end()
        if isinstance(end, Err) or await self._is_taken():
            return
        asked_ms = self.clock.now_ms()
        claimed = await self.seat.claim(end.ok_value)
        if isinstance(claimed, Ok) and not self.leaving:
            self._begin_term(claimed.ok_value, asked_ms)
            await self.seat.keep()

    def _leaves_seat(self, now_ms: int) -> bool:
        """Tell whether abler members are to claim first."""
        self.vacant_ms = self.vacant_ms or now_ms
        if now_ms - self.vacant_ms >= self.times.claim_delay_ms:
            return False
        self.look_until_ms = now_ms + LOOK_FOR_MS
        return True

    async def _is_taken(self) -> bool:
        holder = await self.seat.holder()
        if isinstance(holder, Err):
            # What cannot be read is not claimed either.
            return True
        if holder.ok_value:
            self.peers.found(holder.ok_value)
        return bool(holder.ok_value)

    def _begin_term(self, fence: int, asked_ms: int) -> None:
        self.vacant_ms = 0
        self.tenure = Tenure(fence, asked_ms, self.times.ttl_ms)
        self.owner = self.make_owner(self.tenure)
        self.set_owner(self.owner)
        self.task = asyncio.get_running_loop().create_task(self.owner.run())
