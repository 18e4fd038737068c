"""Claim a vacant ownership and renew it while the store confirms it.

Every member joins one store group. The group's generation changes when a
member joins or leaves, and each change triggers a check that an owner is still
present. The owner also joins a second group, the owner election, of which it
is the only member. A claim is a conditional append to the lock stream; the
offset of the append becomes the fence number. Membership in the owner election
only keeps others from claiming. Safety comes from the lock stream, which the
owner reads in every round.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, final

from result import Err, Ok

from .._clock import MS_PER_SECOND, Clock
from ..workflow.workers import median_unresponsive_ms
from ._loop_delay import LoopDelay
from ._owner import Owner
from ._ownership_lease import JOIN_INTERVAL_MS, ElectionTimes, OwnershipLease
from ._peers import Peers
from ._ports import Group, OwnerElection
from ._store_health import StoreHealth

logger = logging.getLogger('lycheerelay.terms')

# After a group change, members check for a vacancy during this time: the
# owner's membership may expire slightly later than the event that changed the
# group.
VACANCY_CHECK_WINDOW_MS: Final = 600
# Interval of vacancy checks while the group does not change.
VACANCY_CHECK_INTERVAL_MS: Final = 3000
# An owner hands over when half of the workers have been unresponsive for longer
# than the first limit, and does not claim again during the second. A poll waits
# up to 1 s at the worker and may take 0.7 s on top.
UNRESPONSIVE_LIMIT_MS: Final = 1500
CLAIM_BACKOFF_MS: Final = 6000
# The limit is doubled with each handover for this reason after the first, which is
# forgotten after some time: if no member reaches the workers, each would hand over.
MAX_LIMIT_DOUBLINGS: Final = 4
HANDOVERS_EXPIRE_MS: Final = 60_000

# A new member is listed only after other members have handed partitions to it.
# The owner therefore reads the members at the short interval for a while after
# a group change, and at the long interval otherwise.
GROUP_CHANGE_WINDOW_MS: Final = 3000
GROUP_CHANGE_READ_INTERVAL_MS: Final = 500
MEMBERS_READ_INTERVAL_MS: Final = 5000

MakeOwner = Callable[[OwnershipLease], Owner]


@final
class OwnerElector:
    """Take part in the owner election and run this member's terms."""

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
        self.vacant_since_ms = 0
        self.generation = 0
        self.ownership_lease: OwnershipLease | None = None
        self.owner: Owner | None = None
        self.task: asyncio.Task[None] | None = None
        self.joined_ms = 0
        self.leaving = False
        self.store_health = StoreHealth()
        self.loop_delay = LoopDelay(clock)
        self.check_vacancy_until_ms = 0
        self.vacancy_checked_ms = 0
        self.no_claim_until_ms = 0
        self.handovers = 0
        self.handed_over_ms = 0
        self.lease_expired_ms = 0
        self.members_read_ms = 0
        self.group_change_until_ms = 0
        self.wake = asyncio.Event()

    @property
    def has_store_contact(self) -> bool:
        """Return whether the store answered this member recently."""
        return self.clock.now_ms() - self.joined_ms < self.times.ttl_ms

    async def run(self) -> None:
        """Run a round per join interval until this member leaves."""
        while not self.leaving:
            sent_ms = self.clock.now_ms()
            await self._run_round(sent_ms)
            elapsed_ms = self.clock.now_ms() - sent_ms
            pause_ms = max(JOIN_INTERVAL_MS - elapsed_ms, JOIN_INTERVAL_MS // 4)
            await self._pause(pause_ms)

    async def leave(self) -> None:
        """End the current term, announce the vacancy and leave the group."""
        self.leaving = True
        was_owner = self.owner is not None
        self.end_term('leaving')
        if was_owner:
            await self.election.resign()
            await self.peers.announce_vacancy()
        await self.group.leave()

    def check_vacancy_now(self, handovers: int = 0) -> None:
        """Check for a vacancy without waiting for the next round.

        `handovers` counts those in a row for workers that could not be reached.
        """
        if handovers:
            self.handovers = handovers
            self.handed_over_ms = self.clock.now_ms()
        self.vacancy_checked_ms = 0
        self.check_vacancy_until_ms = (
            self.clock.now_ms() + VACANCY_CHECK_WINDOW_MS
        )
        self.wake.set()

    def end_term(self, reason: str) -> None:
        """Stop acting as the owner, if this member is the owner."""
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
        self.loop_delay.expect(pause_ms)
        try:
            async with asyncio.timeout(pause_ms / MS_PER_SECOND):
                await self.wake.wait()
        except TimeoutError:
            # No early round was requested.
            self.loop_delay.report(is_owner=self.owner is not None)
            return
        self.wake.clear()

    async def _run_round(self, sent_ms: int) -> None:
        if self.owner is not None and self.ownership_lease is not None:
            renew = self._renew(self.owner, self.ownership_lease, sent_ms)
            await asyncio.gather(self._join(sent_ms), renew)
            await self._refresh_members(sent_ms)
            return
        await self._join(sent_ms)
        if not self.leaving and self._is_vacancy_check_due(sent_ms):
            await self._check_vacancy(sent_ms)

    async def _join(self, sent_ms: int) -> None:
        outcome = await self.group.join(self.generation)
        if isinstance(outcome, Err):
            self.store_health.failed()
            if self.store_health.failed_calls == 1:
                fault = outcome.err_value.value
                logger.warning('store_lost', extra={'fault': fault})
            return
        failed_calls = self.store_health.failed_calls
        if failed_calls:
            logger.info('store_regained', extra={'after_tries': failed_calls})
        self.store_health.succeeded(self.clock.now_ms() - sent_ms)
        self.joined_ms = sent_ms
        if self.generation != outcome.ok_value:
            self.check_vacancy_until_ms = sent_ms + VACANCY_CHECK_WINDOW_MS
            self.group_change_until_ms = sent_ms + GROUP_CHANGE_WINDOW_MS
        self.generation = outcome.ok_value

    async def _refresh_members(self, now_ms: int) -> None:
        """Refresh the members through which the owner can ask for advice."""
        has_recent_change = now_ms < self.group_change_until_ms
        interval_ms = (
            GROUP_CHANGE_READ_INTERVAL_MS
            if has_recent_change
            else MEMBERS_READ_INTERVAL_MS
        )
        if (
            self.owner is not None
            and now_ms - self.members_read_ms > interval_ms
        ):
            self.members_read_ms = now_ms
            await self.peers.refresh_members()

    def _is_vacancy_check_due(self, now_ms: int) -> bool:
        if self.store_health.failed_calls:
            return False
        if now_ms < self.check_vacancy_until_ms:
            return True
        return now_ms - self.vacancy_checked_ms > VACANCY_CHECK_INTERVAL_MS

    async def _renew(
        self,
        owner: Owner,
        ownership_lease: OwnershipLease,
        sent_ms: int,
    ) -> None:
        if owner.cell.deposed or owner.has_ended:
            await self._step_down(owner.end_reason)
            return
        if not ownership_lease.is_valid(sent_ms):
            # Workers are not polled while the lease is expired.
            self.lease_expired_ms = sent_ms
        polling_ms = sent_ms - self.lease_expired_ms
        unresponsive_ms = min(
            median_unresponsive_ms(owner.cell, sent_ms), polling_ms
        )
        if unresponsive_ms > self._unresponsive_limit_ms(sent_ms):
            self.handovers += 1
            self.handed_over_ms = sent_ms
            await self._hand_over(
                sent_ms, 'most workers are unreachable', self.handovers
            )
            return
        if not owner.cell.loaded and owner.takeover.is_overdue(sent_ms):
            await self._hand_over(sent_ms, 'the takeover timed out')
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
        ownership_lease.confirm(sent_ms)

    def _unresponsive_limit_ms(self, now_ms: int) -> int:
        if now_ms - self.handed_over_ms > HANDOVERS_EXPIRE_MS:
            self.handovers = 0
        doublings = max(self.handovers - 1, 0)
        return UNRESPONSIVE_LIMIT_MS << min(doublings, MAX_LIMIT_DOUBLINGS)

    async def _hand_over(
        self, now_ms: int, reason: str, handovers: int = 0
    ) -> None:
        self.no_claim_until_ms = now_ms + CLAIM_BACKOFF_MS
        await self._step_down(reason)
        await self.peers.announce_vacancy(handovers)

    async def _step_down(self, reason: str) -> None:
        self.end_term(reason)
        await self.election.resign()
        self.check_vacancy_until_ms = (
            self.clock.now_ms() + VACANCY_CHECK_WINDOW_MS
        )

    async def _check_vacancy(self, now_ms: int) -> None:
        self.vacancy_checked_ms = now_ms
        if await self._has_owner() or now_ms < self.no_claim_until_ms:
            self.vacant_since_ms = 0
            return
        if self._defers_claim(now_ms):
            return
        # The end offset is read before the second check for an owner, so that
        # a claim made in between makes this claim fail.
        end = await self.election.lock_end_offset()
        if isinstance(end, Err) or await self._has_owner():
            return
        sent_ms = self.clock.now_ms()
        claimed = await self.election.claim(end.ok_value)
        if isinstance(claimed, Ok) and not self.leaving:
            self._begin_term(claimed.ok_value, sent_ms)
            await self.election.renew()

    def _defers_claim(self, now_ms: int) -> bool:
        """Return whether better equipped members may still claim first."""
        self.vacant_since_ms = self.vacant_since_ms or now_ms
        if now_ms - self.vacant_since_ms >= self.times.claim_delay_ms:
            return False
        self.check_vacancy_until_ms = now_ms + VACANCY_CHECK_WINDOW_MS
        return True

    async def _has_owner(self) -> bool:
        current_owner = await self.election.current_owner()
        if isinstance(current_owner, Err):
            # Without an answer, assume that there is an owner.
            return True
        if current_owner.ok_value:
            self.peers.set_known_owner(current_owner.ok_value)
        return bool(current_owner.ok_value)

    def _begin_term(self, fence: int, sent_ms: int) -> None:
        self.vacant_since_ms = 0
        self.ownership_lease = OwnershipLease(fence, sent_ms, self.times.ttl_ms)
        self.owner = self.make_owner(self.ownership_lease)
        self.set_owner(self.owner)
        self.task = asyncio.get_running_loop().create_task(self.owner.run())
