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
from ..workflow import median_unresponsive_ms
from ._owner import Owner
from ._ownership_lease import JOIN_EVERY_MS, ElectionTimes, OwnershipLease
from ._peers import Peers
from ._ports import Group, OwnerElection

logger = logging.getLogger('lycheerelay.terms')

# After a change in the group the seat is looked at for so long, in ms: the
# owner's membership may end a little later than what showed the change.
VACANCY_CHECK_FOR_MS: Final = 600
# Without any change the seat is looked at this often, in ms.
VACANCY_CHECK_EVERY_MS: Final = 3000
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

MakeOwner = Callable[[OwnershipLease], Owner]


@final
class OwnerElector:
    """Take part in finding an owner, and run the own terms."""

    def __init__(
        self,
        clock: Clock,
        group: Group,
        election: OwnerElection,
        peers: Peers,
        make_owner: MakeOwner,
        set_owner: Callable[[Owner | None], None],
        times: ElectionTimes,
    ) -> None:
        """Start outside the group."""
        self.clock = clock
        self.group = group
        self.election = election
        self.peers = peers
        self.make_owner = make_owner
        self.set_owner = set_owner
        self.times = times
        self.vacant_ms = 0
        self.generation = 0
        self.ownership_lease: OwnershipLease | None = None
        self.owner: Owner | None = None
        self.task: asyncio.Task[None] | None = None
        self.joined_ms = 0
        self.leaving = False
        self.faults = 0
        self.check_vacancy_until_ms = 0
        self.vacancy_checked_ms = 0
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
            await self.election.resign()
            await self.peers.announce_vacancy()
        await self.group.leave()

    def check_vacancy_now(self) -> None:
        """Look at once whether the seat is vacant."""
        self.vacancy_checked_ms = 0
        self.check_vacancy_until_ms = self.clock.now_ms() + VACANCY_CHECK_FOR_MS
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
        self.ownership_lease = None
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
        if self.owner is not None and self.ownership_lease is not None:
            renew = self._renew(self.owner, self.ownership_lease, asked_ms)
            await asyncio.gather(self._join(asked_ms), renew)
            await self._refresh_members(asked_ms)
            return
        await self._join(asked_ms)
        if not self.leaving and self._is_vacancy_check_due(asked_ms):
            await self._check_vacancy(asked_ms)

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
            self.check_vacancy_until_ms = asked_ms + VACANCY_CHECK_FOR_MS
            self.members_until_ms = asked_ms + FRESH_MEMBERS_MS
        self.generation = outcome.ok_value

    async def _refresh_members(self, now_ms: int) -> None:
        """Let the owner know the members that can ask for advice."""
        is_fresh = now_ms < self.members_until_ms
        every_ms = FRESH_MEMBERS_EVERY_MS if is_fresh else MEMBERS_EVERY_MS
        if self.owner is not None and now_ms - self.members_ms > every_ms:
            self.members_ms = now_ms
            await self.peers.refresh_members()

    def _is_vacancy_check_due(self, now_ms: int) -> bool:
        if self.faults:
            return False
        if now_ms < self.check_vacancy_until_ms:
            return True
        return now_ms - self.vacancy_checked_ms > VACANCY_CHECK_EVERY_MS

    async def _renew(
        self,
        owner: Owner,
        ownership_lease: OwnershipLease,
        asked_ms: int,
    ) -> None:
        if owner.cell.deposed or owner.is_over:
            await self._step_down(owner.why_over)
            return
        if not ownership_lease.is_valid(asked_ms):
            # Workers were not asked while the tenure was over.
            self.paused_ms = asked_ms
        listened_ms = asked_ms - self.paused_ms
        unresponsive_ms = min(
            median_unresponsive_ms(owner.cell, asked_ms), listened_ms
        )
        if unresponsive_ms > CUT_OFF_MS:
            await self._hand_over(asked_ms, 'most workers are out of reach')
            return
        is_slow = asked_ms - owner.started_ms > LOAD_LIMIT_MS
        if is_slow and not owner.cell.loaded:
            await self._hand_over(asked_ms, 'the takeover takes too long')
            return
        latest, _ = await asyncio.gather(
            self.election.is_latest_claim(ownership_lease.fence),
            self.election.renew(),
        )
        if isinstance(latest, Err):
            return
        if not latest.ok_value:
            await self._step_down('another member has claimed')
            return
        ownership_lease.confirm(asked_ms)

    async def _hand_over(self, now_ms: int, reason: str) -> None:
        self.stand_back_ms = now_ms + STAND_BACK_MS
        await self._step_down(reason)
        await self.peers.announce_vacancy()

    async def _step_down(self, reason: str) -> None:
        self.end_term(reason)
        await self.election.resign()
        self.check_vacancy_until_ms = self.clock.now_ms() + VACANCY_CHECK_FOR_MS

    async def _check_vacancy(self, now_ms: int) -> None:
        self.vacancy_checked_ms = now_ms
        if await self._is_taken() or now_ms < self.stand_back_ms:
            self.vacant_ms = 0
            return
        if self._leaves_seat(now_ms):
            return
        # The lock's end is read before the seat is looked at again: a claim
        # in between makes this one fail.
        end = await self.election.lock_end_offset()
        if isinstance(end, Err) or await self._is_taken():
            return
        asked_ms = self.clock.now_ms()
        claimed = await self.election.claim(end.ok_value)
        if isinstance(claimed, Ok) and not self.leaving:
            self._begin_term(claimed.ok_value, asked_ms)
            await self.election.renew()

    def _leaves_seat(self, now_ms: int) -> bool:
        """Tell whether abler members are to claim first."""
        self.vacant_ms = self.vacant_ms or now_ms
        if now_ms - self.vacant_ms >= self.times.claim_delay_ms:
            return False
        self.check_vacancy_until_ms = now_ms + VACANCY_CHECK_FOR_MS
        return True

    async def _is_taken(self) -> bool:
        current_owner = await self.election.current_owner()
        if isinstance(current_owner, Err):
            # What cannot be read is not claimed either.
            return True
        if current_owner.ok_value:
            self.peers.set_known_owner(current_owner.ok_value)
        return bool(current_owner.ok_value)

    def _begin_term(self, fence: int, asked_ms: int) -> None:
        self.vacant_ms = 0
        self.ownership_lease = OwnershipLease(
            fence, asked_ms, self.times.ttl_ms
        )
        self.owner = self.make_owner(self.ownership_lease)
        self.set_owner(self.owner)
        self.task = asyncio.get_running_loop().create_task(self.owner.run())
