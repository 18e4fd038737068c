"""Stay in the group, and run a term whenever the ownership is dealt here."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, final

from result import Err

from .._clock import Clock
from ._owner import Owner
from ._ports import Grant, Group
from ._tenure import GROUP_TTL_MS, JOIN_EVERY_MS, Tenure

logger = logging.getLogger('lycheerelay.terms')

MS_PER_SECOND: Final = 1000

MakeOwner = Callable[[Tenure], Owner]


@final
class Terms:
    """Follow what the store deals to this member."""

    def __init__(
        self,
        clock: Clock,
        group: Group,
        make_owner: MakeOwner,
        set_owner: Callable[[Owner | None], None],
    ) -> None:
        """Start outside the group."""
        self.clock = clock
        self.group = group
        self.make_owner = make_owner
        self.set_owner = set_owner
        self.generation = 0
        self.tenure: Tenure | None = None
        self.owner: Owner | None = None
        self.task: asyncio.Task[None] | None = None
        self.joined_ms = 0
        self.leaving = False
        self.faults = 0

    @property
    def is_in_touch(self) -> bool:
        """Tell whether the store answered this member lately."""
        return self.clock.now_ms() - self.joined_ms < GROUP_TTL_MS

    async def run(self) -> None:
        """Join again and again until leaving."""
        while not self.leaving:
            asked_ms = self.clock.now_ms()
            outcome = await self.group.join(self.generation)
            if self.leaving:
                break
            if isinstance(outcome, Err):
                self._not_joined(outcome.err_value.value)
            else:
                self._joined(outcome.ok_value, asked_ms)
            passed_ms = self.clock.now_ms() - asked_ms
            pause_ms = max(JOIN_EVERY_MS - passed_ms, JOIN_EVERY_MS // 4)
            await asyncio.sleep(pause_ms / MS_PER_SECOND)

    async def leave(self) -> None:
        """Stop acting and hand the ownership back."""
        self.leaving = True
        self.end_term('leaving')
        await self.group.leave()

    def _not_joined(self, fault: str) -> None:
        self.faults += 1
        if self.faults == 1:
            logger.warning('store_lost', extra={'fault': fault})

    def _joined(self, grant: Grant, asked_ms: int) -> None:
        if self.faults:
            logger.info('store_regained', extra={'after_tries': self.faults})
            self.faults = 0
        self.joined_ms = asked_ms
        has_changed = self.generation != grant.generation
        self.generation = grant.generation
        reason = self._why_over(grant, has_changed)
        if reason:
            self.end_term(reason)
        if not grant.is_owner:
            return
        if self.owner is None or self.tenure is None:
            self._begin_term(grant, asked_ms)
            return
        self.tenure.confirm(asked_ms)
        if has_changed:
            self.owner.recorder.verify()

    def _why_over(self, grant: Grant, has_changed: bool) -> str:
        if not grant.is_owner:
            return 'dealt to another member'
        if self.owner is None or self.tenure is None:
            return ''
        if self.owner.cell.deposed:
            return 'a later owner was met'
        if self.owner.is_over:
            return 'the takeover came to nothing'
        is_valid = self.tenure.is_valid(self.clock.now_ms())
        if has_changed and not is_valid:
            return 'another member may have been the owner'
        return ''

    def _begin_term(self, grant: Grant, asked_ms: int) -> None:
        self.tenure = Tenure(grant.generation, asked_ms)
        self.owner = self.make_owner(self.tenure)
        self.set_owner(self.owner)
        self.task = asyncio.get_running_loop().create_task(self.owner.run())

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
