"""Take part in the store's groups: the one of all VMs and the owner's seat."""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple, final
from urllib.parse import urlencode

from result import Err, Ok, Result

from ..serving import Caller, KeyedRecord, LogFault, Stream, post_json
from ._store import OK, TIMEOUT_MS, TOPICS, StoreLog, fault_of

GROUP: Final = 'entries'
SEAT: Final = 'seat'
LOCK_KEY: Final = 'owner'
# A join is given less, in ms, so that the next one still comes in time.
JOIN_TIMEOUT_MS: Final = 500


class Place(NamedTuple):
    """Tell where the store is and who joins its groups, for how long in ms."""

    address: str
    member: str
    ttl_ms: int


@final
class StoreGroup:
    """Be one member of one group."""

    def __init__(
        self,
        http: Caller,
        place: Place,
        group: str,
    ) -> None:
        """Name the store, the member and the group."""
        self.http = http
        self.base = f'http://{place.address}/v1'
        self.member = place.member
        self.ttl_ms = place.ttl_ms
        self.group = group

    async def join(self, generation: int) -> Result[int, LogFault]:
        """Join, or stay in, the group; return its generation."""
        reply = await post_json(
            self.http,
            f'{self.base}/log-join',
            JOIN_TIMEOUT_MS,
            {
                'group': self.group,
                'member': self.member,
                'topics': [TOPICS[Stream.JOBS]],
                'ttlMs': self.ttl_ms,
                'generation': generation,
            },
        )
        if reply.status != OK:
            return Err(fault_of(reply))
        return Ok(int(reply.fields()['generation']))

    async def leave(self) -> Result[None, LogFault]:
        """Leave the group."""
        reply = await post_json(
            self.http,
            f'{self.base}/log-leave',
            JOIN_TIMEOUT_MS,
            {'group': self.group, 'member': self.member},
        )
        return Ok(None) if reply.status == OK else Err(fault_of(reply))

    async def members(self) -> Result[tuple[str, ...], LogFault]:
        """Return the names of members that were dealt partitions."""
        reply = await self.http.call(
            'GET',
            f'{self.base}/log-owners?{urlencode({"group": self.group})}',
            TIMEOUT_MS,
        )
        if reply.status != OK:
            return Err(fault_of(reply))
        names = {str(row[2]) for row in _rows(reply.fields())}
        return Ok(tuple(sorted(names - {''})))


@final
class StoreElection:
    """Hold the owner's seat, a group of one, and the lock behind it."""

    def __init__(
        self,
        http: Caller,
        log: StoreLog,
        place: Place,
    ) -> None:
        """Name the store and this member."""
        self.group = StoreGroup(http, place, SEAT)
        self.log = log
        self.member = place.member

    async def renew(self) -> Result[None, LogFault]:
        """Take, or stay in, the seat."""
        outcome = await self.group.join(0)
        return outcome.map(lambda _: None)

    async def resign(self) -> Result[None, LogFault]:
        """Leave the seat."""
        return await self.group.leave()

    async def current_owner(self) -> Result[str, LogFault]:
        """Return the name of the member in the seat, or an empty text."""
        outcome = await self.group.members()
        return outcome.map(lambda members: members[0] if members else '')

    async def lock_end_offset(self) -> Result[int, LogFault]:
        """Return the end of the lock's log."""
        outcome = await self.log.newest(Stream.LOCK)
        return outcome.map(lambda part: part.next_offset)

    async def claim(self, lock_end_offset: int) -> Result[int, LogFault]:
        """Claim the lock if its end is there; return the fence number."""
        record = KeyedRecord(LOCK_KEY, self.member.encode())
        outcome = await self.log.append_at(Stream.LOCK, record, lock_end_offset)
        # Offsets start at 0, and a worker takes a missing number as 0.
        return outcome.map(lambda offset: offset + 1)

    async def is_latest_claim(self, fence: int) -> Result[bool, LogFault]:
        """Tell whether nobody has claimed after this fence number."""
        outcome = await self.log.read(Stream.LOCK, fence, 0)
        if outcome == Err(LogFault.GONE):
            # Records after the own claim were made and have expired.
            return Ok(False)
        return outcome.map(lambda part: not part.records)


def _rows(fields: Mapping[str, Any]) -> list[list[Any]]:
    for rows in fields.values():
        if isinstance(rows, list):
            return rows
    return []
