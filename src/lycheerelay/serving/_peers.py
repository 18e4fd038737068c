"""Find the other entry VMs and call them.

A member of the group is named `HOST:PORT#INCARNATION`; the first part is the
address of its internal interface. Calls are JSON over HTTP: `POST /state`,
`/waiting`, `/advice`, `/hello`, `/vacant` and `/dump`.
"""

import asyncio
import logging
from typing import Any, Final, final

from result import Err, Ok, Result

from .._clock import Clock
from ..workflow import AskAdvice
from ._http_calls import NO_ANSWER, NOT_SENT, Caller, post_json
from ._ports import AdviceReply, Group, LogFault, OwnerElection

logger = logging.getLogger('lycheerelay.peers')

# The directory is read again at most this often, in ms, while the owner is
# sought, and this often while all is well: members seldom change.
SEEK_EVERY_MS: Final = 250
REFRESH_EVERY_MS: Final = 5000
# A peer that did not answer is left alone for so long, in ms.
SUSPECT_MS: Final = 3000
# An answer of a peer takes a few ms; one that takes longer than this, in ms,
# comes from a peer that is cut off or stopped.
CALL_TIMEOUT_MS: Final = 500
# A member that is told of a vacant seat answers within a way, in ms.
VACANT_TIMEOUT_MS: Final = 150
HTTP_OK: Final = 200
# A member makes itself known to the owner this often, in ms, and later by so
# many ms for each member that the owner knows.
HELLO_EVERY_MS: Final = 5000
HELLO_MEMBER_MS: Final = 100
# After a hello that did not reach the owner the next one comes after, in ms.
HELLO_AGAIN_MS: Final = 1000
# A member is known for so many times as long as it is told to wait.
HELLO_KEPT: Final = 3


def address_of(member: str) -> str:
    """Return the address in a member's name."""
    return member.partition('#')[0]


@final
class Peers:
    """Know the members of the group and call them."""

    def __init__(
        self,
        own_name: str,
        group: Group,
        election: OwnerElection,
        clock: Clock,
        http: Caller,
    ) -> None:
        """Start without a directory."""
        self.own_name = own_name
        self.group = group
        self.election = election
        self.clock = clock
        self.http = http
        self.owner = ''
        self.members: tuple[str, ...] = ()
        self.read_ms = -REFRESH_EVERY_MS
        self.suspects: dict[str, int] = {}
        self.greeted: dict[str, int] = {}
        self.hello_due_ms = 0
        self.reading = asyncio.Lock()

    def others(self) -> list[str]:
        """Return the addresses of peers that answered lately."""
        now_ms = self.clock.now_ms()
        greeted = (
            member
            for member, until_ms in self.greeted.items()
            if until_ms > now_ms
        )
        return [
            address_of(member)
            for member in dict.fromkeys((*self.members, *greeted))
            if member != self.own_name
            and self.suspects.get(address_of(member), 0) <= now_ms
        ]

    def receive_hello(self, member: str) -> int:
        """Know a member for a while; return when it is to come again, in ms.

        The group's directory names only members that hold a partition.
        """
        wait_ms = HELLO_EVERY_MS + HELLO_MEMBER_MS * len(self.greeted)
        now_ms = self.clock.now_ms()
        for known, until_ms in list(self.greeted.items()):
            if until_ms <= now_ms:
                self.greeted.pop(known)
        self.greeted[member] = now_ms + HELLO_KEPT * wait_ms
        return wait_ms

    async def send_hello(self) -> None:
        """Make this member known to the owner, unless that was done lately."""
        now_ms = self.clock.now_ms()
        if now_ms < self.hello_due_ms or self.owner in {'', self.own_name}:
            return
        self.hello_due_ms = now_ms + HELLO_AGAIN_MS
        body = {'member': self.own_name}
        outcome = await self.call_owner('/hello', body, CALL_TIMEOUT_MS)
        if isinstance(outcome, Ok):
            self.hello_due_ms = now_ms + int(outcome.ok_value['again_ms'])

    def suspect(self, address: str) -> None:
        """Leave a peer alone for a while."""
        self.suspects[address] = self.clock.now_ms() + SUSPECT_MS

    async def refresh(self, pause_ms: int) -> None:
        """Read who holds the seat, unless that was done a moment ago."""
        async with self.reading:
            now_ms = self.clock.now_ms()
            if now_ms - self.read_ms < pause_ms:
                return
            self.read_ms = now_ms
            outcome = await self.election.current_owner()
            if isinstance(outcome, Ok):
                self.set_known_owner(outcome.ok_value)

    async def refresh_members(self) -> None:
        """Read who is in the group."""
        outcome = await self.group.members()
        if isinstance(outcome, Ok):
            self.members = outcome.ok_value

    def set_known_owner(self, owner: str) -> None:
        """Take in who holds the seat."""
        if owner != self.owner:
            logger.info(
                'owner_found',
                extra={'owner': owner, 'before': self.owner},
            )
            self.owner = owner
            self.hello_due_ms = 0

    async def announce_vacancy(self) -> None:
        """Tell every other member that the seat is vacant."""
        await asyncio.gather(
            *(
                self.call(address, '/vacant', {}, VACANT_TIMEOUT_MS)
                for address in self.others()
            ),
        )

    async def call_owner(
        self,
        path: str,
        body: dict[str, Any],
        timeout_ms: int,
    ) -> Result[dict[str, Any], LogFault]:
        """Ask the owner; without an answer it is sought anew next time."""
        if not self.owner:
            return Err(LogFault.REFUSED)
        return await self.call(address_of(self.owner), path, body, timeout_ms)

    async def ask_advice(
        self,
        address: str,
        command: AskAdvice,
        expected_ms: int,
    ) -> Result[AdviceReply, LogFault]:
        """Let a peer make a call for advice."""
        outcome = await self.call(
            address,
            '/advice',
            {'step': list(command.step), 'workers': list(command.workers)},
            expected_ms + CALL_TIMEOUT_MS,
        )
        if isinstance(outcome, Err):
            return outcome
        answer = outcome.ok_value
        tickets = tuple((row[0], row[1]) for row in answer['tickets'])
        return Ok(AdviceReply(tickets, answer['valid_ms']))

    async def call(
        self,
        address: str,
        path: str,
        body: dict[str, Any],
        timeout_ms: int,
    ) -> Result[dict[str, Any], LogFault]:
        """Call one peer."""
        reply = await post_json(
            self.http,
            f'http://{address}{path}',
            timeout_ms,
            body,
        )
        if reply.status == HTTP_OK:
            return Ok(reply.fields())
        if reply.status in {NO_ANSWER, NOT_SENT}:
            logger.info('peer_unreached', extra={'peer': address, 'path': path})
            return Err(LogFault.UNKNOWN)
        return Err(LogFault.REFUSED)
