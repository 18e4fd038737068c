"""Find the other entry VMs and call them.

A member of the group is named `HOST:PORT#INCARNATION`; the first part is the
address of its internal interface. Calls are JSON over HTTP: `POST /state`,
`/append`, `/waiting`, `/advice`, `/config`, `/hello`, `/doubts`, `/vacant` and
`/dump`.
"""

import asyncio
import base64
import logging
from collections.abc import Callable
from typing import Any, Final, final

from result import Err, Ok, Result

from .._clock import Clock
from ..workflow import AskAdvice
from ._credentials import Identity, encode_identity
from ._http_calls import NO_ANSWER, NOT_SENT, Caller, post_json
from ._ports import (
    AdviceReply,
    Group,
    KeyedRecord,
    LogFault,
    OwnerElection,
)

logger = logging.getLogger('lycheerelay.peers')

# Minimum interval between reads of the owner's name while no owner answers, and
# in normal operation. Members rarely change.
OWNER_SEARCH_INTERVAL_MS: Final = 250
OWNER_REFRESH_INTERVAL_MS: Final = 5000
# A peer that did not answer is not called for this long.
SUSPICION_MS: Final = 3000
# Peers answer within a few ms; one that takes longer than this is disconnected
# or suspended.
CALL_TIMEOUT_MS: Final = 500
# A vacancy announcement is answered within one round trip.
VACANT_TIMEOUT_MS: Final = 150
# Field of the owner's answer about a record that the store refuses for good.
REJECTED_FIELD: Final = 'rejected'
HTTP_OK: Final = 200
# Interval between a member's hellos to the owner, and its increase per member
# that the owner knows.
HELLO_INTERVAL_MS: Final = 5000
HELLO_INTERVAL_PER_MEMBER_MS: Final = 100
# Delay before a failed hello is repeated.
HELLO_RETRY_MS: Final = 1000
# A member expires after this many of its hello intervals.
HELLO_EXPIRY_INTERVALS: Final = 3
# Members that the answer to a hello names, as others to ask if both the owner and
# the store fail.
MAX_NAMED_MEMBERS: Final = 3


def address_of(member: str) -> str:
    """Return the address part of a member's name."""
    return member.partition('#')[0]


@final
class Peers:
    """Track the members of the group and call them."""

    def __init__(
        self,
        own_name: str,
        group: Group,
        election: OwnerElection,
        clock: Clock,
        http: Caller,
    ) -> None:
        """Start without known members."""
        self.own_name = own_name
        self.group = group
        self.election = election
        self.clock = clock
        self.http = http
        self.owner = ''
        self.members: tuple[str, ...] = ()
        self.refreshed_ms = -OWNER_REFRESH_INTERVAL_MS
        self.suspected_until_ms: dict[str, int] = {}
        self.hello_expiry_ms: dict[str, int] = {}
        self.hello_due_ms = 0
        # Members that the owner has named, and the number of failed questions
        # for the configuration.
        self.named_members: tuple[str, ...] = ()
        self.failed_questions = 0
        self.refresh_lock = asyncio.Lock()
        self.on_owner_answer: Callable[[dict[str, Any], int], None] = (
            _ignore_answer
        )

    def live_peers(self) -> list[str]:
        """Return the addresses of the known peers that are not suspected."""
        now_ms = self.clock.now_ms()
        announced = (
            member
            for member, until_ms in self.hello_expiry_ms.items()
            if until_ms > now_ms
        )
        return [
            address_of(member)
            for member in dict.fromkeys((*self.members, *announced))
            if member != self.own_name
            and self.suspected_until_ms.get(address_of(member), 0) <= now_ms
        ]

    def receive_hello(self, member: str) -> int:
        """Register a member; return the delay of its next hello, in ms.

        Needed because the group lists only members that hold a partition.
        """
        now_ms = self.clock.now_ms()
        for known, until_ms in list(self.hello_expiry_ms.items()):
            if until_ms <= now_ms:
                self.hello_expiry_ms.pop(known)
        wait_ms = HELLO_INTERVAL_MS + HELLO_INTERVAL_PER_MEMBER_MS * len(
            self.hello_expiry_ms
        )
        self.hello_expiry_ms[member] = now_ms + HELLO_EXPIRY_INTERVALS * wait_ms
        return wait_ms

    def send_hello_soon(self) -> None:
        """Send the next hello at the next call of `send_hello`."""
        self.hello_due_ms = 0

    def name_members(self, asker: str) -> list[str]:
        """Return some members that have said hello, other than the asker."""
        others = [name for name in self.hello_expiry_ms if name != asker]
        return others[-MAX_NAMED_MEMBERS:]

    async def send_hello(self) -> None:
        """Announce this member to the owner if its next hello is due."""
        now_ms = self.clock.now_ms()
        if now_ms < self.hello_due_ms or self.owner in {'', self.own_name}:
            return
        self.hello_due_ms = now_ms + HELLO_RETRY_MS
        body = {'member': self.own_name}
        outcome = await self.call_owner('/hello', body, CALL_TIMEOUT_MS)
        if isinstance(outcome, Ok):
            answer = outcome.ok_value
            self.hello_due_ms = now_ms + int(answer['again_ms'])
            self.named_members = tuple(map(str, answer.get('members') or ()))

    def suspect(self, address: str) -> None:
        """Leave a peer out of `live_peers` for SUSPICION_MS."""
        self.suspected_until_ms[address] = self.clock.now_ms() + SUSPICION_MS

    async def refresh_owner(self, min_interval_ms: int) -> None:
        """Read who the owner is, at most once per `min_interval_ms`."""
        async with self.refresh_lock:
            now_ms = self.clock.now_ms()
            if now_ms - self.refreshed_ms < min_interval_ms:
                return
            self.refreshed_ms = now_ms
            outcome = await self.election.current_owner()
            if isinstance(outcome, Ok):
                self.set_known_owner(outcome.ok_value)

    async def refresh_members(self) -> None:
        """Read the members of the group."""
        outcome = await self.group.members()
        if isinstance(outcome, Ok):
            self.members = outcome.ok_value

    def set_known_owner(self, owner: str) -> None:
        """Set the current owner; log the change if there is one."""
        if owner != self.owner:
            logger.info(
                'owner_found',
                extra={'owner': owner, 'before': self.owner},
            )
            self.owner = owner
            self.hello_due_ms = 0

    async def announce_vacancy(self, handovers: int = 0) -> None:
        """Notify every live peer that there is no owner.

        `handovers` counts those in a row for workers that could not be reached.
        """
        body = {'handovers': handovers} if handovers else {}
        await asyncio.gather(
            *(
                self.call(address, '/vacant', body, VACANT_TIMEOUT_MS)
                for address in self.live_peers()
            ),
        )

    async def call_owner(
        self,
        path: str,
        body: dict[str, Any],
        timeout_ms: int,
    ) -> Result[dict[str, Any], LogFault]:
        """Call the owner; REFUSED while no owner is known.

        `on_owner_answer` takes each answer and the time of the call.
        """
        if not self.owner:
            return Err(LogFault.REFUSED)
        sent_ms = self.clock.now_ms()
        address = address_of(self.owner)
        outcome = await self.call(address, path, body, timeout_ms)
        if isinstance(outcome, Ok):
            self.on_owner_answer(outcome.ok_value, sent_ms)
        return outcome

    async def append_at_owner(
        self, record: KeyedRecord, identity: Identity, timeout_ms: int
    ) -> Result[int, LogFault]:
        """Let the owner append a record of a caller; return its offset."""
        payload = base64.b64encode(record.payload or b'').decode()
        body = {
            'key': record.key,
            'payload': payload,
            **encode_identity(identity),
        }
        outcome = await self.call_owner('/append', body, timeout_ms)
        if isinstance(outcome, Err):
            return outcome
        answer = outcome.ok_value
        if 'offset' in answer:
            return Ok(int(answer['offset']))
        if answer.get(REJECTED_FIELD):
            return Err(LogFault.REJECTED)
        return Err(LogFault(answer['fault']))

    async def ask_config(
        self, version: int
    ) -> Result[dict[str, Any], LogFault]:
        """Ask for the configuration if it is newer than a version.

        The owner is asked first; after each failure it is the next member's
        turn.
        """
        names = dict.fromkeys((self.owner, *self.named_members, *self.members))
        members = [name for name in names if name not in {'', self.own_name}]
        if not members:
            return Err(LogFault.REFUSED)
        member = members[self.failed_questions % len(members)]
        outcome = await self.call(
            address_of(member), '/config', {'version': version}, CALL_TIMEOUT_MS
        )
        if isinstance(outcome, Err):
            self.failed_questions += 1
            return outcome
        owner = str(outcome.ok_value.get('owner') or '')
        if owner and self.owner != self.own_name:
            # The store does not tell this VM who the owner is.
            self.set_known_owner(owner)
        return outcome

    async def ask_advice(
        self,
        address: str,
        command: AskAdvice,
        expected_ms: int,
    ) -> Result[AdviceReply, LogFault]:
        """Ask the placement advisor through a peer."""
        outcome = await self.call(
            address,
            '/advice',
            {'step': list(command.step), 'workers': list(command.worker_ids)},
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
        """Post a JSON body to a peer.

        UNKNOWN means no answer, REFUSED an error status or a call that could
        not be sent.
        """
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
            is_sent = reply.status == NO_ANSWER
            return Err(LogFault.UNKNOWN if is_sent else LogFault.REFUSED)
        return Err(LogFault.REFUSED)


def _ignore_answer(answer: dict[str, Any], sent_ms: int) -> None:
    """Use nothing of an answer."""
