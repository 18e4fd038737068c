"""Membership in the store's groups: all entry VMs, and the owner election."""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple, final
from urllib.parse import urlencode

from result import Err, Ok, Result

from ..serving import Caller, KeyedRecord, LogFault, Stream, post_json
from ._store import OK, TIMEOUT_MS, TOPICS, StoreLog, to_log_fault

ENTRY_GROUP: Final = 'entries'
OWNER_GROUP: Final = 'seat'
LOCK_KEY: Final = 'owner'
# Shorter than other timeouts, so that after a failed join the next one still
# renews the membership in time.
JOIN_TIMEOUT_MS: Final = 500


class StoreMembership(NamedTuple):
    """Address of the store, and name and time to live of the member."""

    store_address: str
    member: str
    ttl_ms: int


@final
class StoreGroup:
    """Membership of this process in one group of the store."""

    def __init__(
        self,
        http: Caller,
        membership: StoreMembership,
        group: str,
    ) -> None:
        """Set the store, the member and the group."""
        self.http = http
        self.base = f'http://{membership.store_address}/v1'
        self.member = membership.member
        self.ttl_ms = membership.ttl_ms
        self.group = group

    async def join(self, generation: int) -> Result[int, LogFault]:
        """Join the group or renew the membership; return the generation."""
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
            return Err(to_log_fault(reply))
        return Ok(int(reply.fields()['generation']))

    async def leave(self) -> Result[None, LogFault]:
        """Leave the group."""
        reply = await post_json(
            self.http,
            f'{self.base}/log-leave',
            JOIN_TIMEOUT_MS,
            {'group': self.group, 'member': self.member},
        )
        return Ok(None) if reply.status == OK else Err(to_log_fault(reply))

    async def members(self) -> Result[tuple[str, ...], LogFault]:
        """Return the names of the members that hold partitions."""
        reply = await self.http.call(
            'GET',
            f'{self.base}/log-owners?{urlencode({"group": self.group})}',
            TIMEOUT_MS,
        )
        if reply.status != OK:
            return Err(to_log_fault(reply))
        names = {str(row[2]) for row in _partition_rows(reply.fields())}
        return Ok(tuple(sorted(names - {''})))


@final
class StoreElection:
    """Elect the owner by a lock stream and a store group.

    A claim appends a record to the lock stream; its offset gives the fence
    number. While it acts, the owner stays in a group of its own, which tells
    the other members who it is.
    """

    def __init__(
        self,
        http: Caller,
        log: StoreLog,
        membership: StoreMembership,
    ) -> None:
        """Set the store and this member."""
        self.group = StoreGroup(http, membership, OWNER_GROUP)
        self.log = log
        self.member = membership.member

    async def renew(self) -> Result[None, LogFault]:
        """Join the owner group or renew the membership."""
        outcome = await self.group.join(0)
        return outcome.map(lambda _: None)

    async def resign(self) -> Result[None, LogFault]:
        """Leave the owner group."""
        return await self.group.leave()

    async def current_owner(self) -> Result[str, LogFault]:
        """Return the name of the elected member, or an empty string."""
        outcome = await self.group.members()
        return outcome.map(lambda members: members[0] if members else '')

    async def lock_end_offset(self) -> Result[int, LogFault]:
        """Return the end offset of the lock stream."""
        outcome = await self.log.newest(Stream.LOCK)
        return outcome.map(lambda page: page.next_offset)

    async def claim(self, lock_end_offset: int) -> Result[int, LogFault]:
        """Claim the lock and return the fence number.

        Fails with RACED if the lock stream no longer ends at `lock_end_offset`.
        """
        record = KeyedRecord(LOCK_KEY, self.member.encode())
        outcome = await self.log.append_at(
            Stream.LOCK, (record,), lock_end_offset
        )
        # Offsets start at 0, but a worker reads a missing fence number as 0.
        return outcome.map(lambda offset: offset + 1)

    async def is_latest_claim(self, fence: int) -> Result[bool, LogFault]:
        """Return whether no claim has followed this fence number."""
        outcome = await self.log.read(Stream.LOCK, fence, 0)
        if outcome == Err(LogFault.GONE):
            # Later claims were recorded and have already been deleted.
            return Ok(False)
        return outcome.map(lambda page: not page.records)


def _partition_rows(fields: Mapping[str, Any]) -> list[list[Any]]:
    for rows in fields.values():
        if isinstance(rows, list):
            return rows
    return []
