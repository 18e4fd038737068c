"""Reach the platform's store as streams and a group."""

import base64
import binascii
import logging
from collections.abc import Mapping, Sequence
from typing import Any, Final, final
from urllib.parse import urlencode

from result import Err, Ok, Result

from ..serving import (
    GROUP_TTL_MS,
    NO_ANSWER,
    NOT_SENT,
    Caller,
    Grant,
    KeyedRecord,
    LogFault,
    Reply,
    Slice,
    Stream,
    Writer,
    post_json,
)
from ._records import BOUNDS, pack, unpack

logger = logging.getLogger('lycheerelay.store')

TOPICS: Final = {
    Stream.JOBS: 'keyed.jobs',
    Stream.PROGRESS: 'keyed.progress',
    Stream.OPERATOR: 'keyed.op',
    Stream.WORKERS: 'keyed.servers',
}
# All jobs share one partition: a queue may change its service, and wide gangs
# need every worker of a service at once.
PARTITION: Final = 0
GROUP: Final = 'owners'
# An answer takes 4 ms; a slow store takes 60 times as long. Calls are given
# twice that, in ms.
TIMEOUT_MS: Final = 600
# A join is given less, in ms, so that the next one still comes in time.
JOIN_TIMEOUT_MS: Final = 450
OK: Final = 200
CONFLICT: Final = 409
DELETED: Final = 410
THROTTLED: Final = 429
UNAVAILABLE: Final = 503


@final
class StoreLog:
    """Append to and read from the store's keyed topics."""

    def __init__(self, http: Caller, address: str) -> None:
        """Name the store's address."""
        self.http = http
        self.base = f'http://{address}/v1'

    async def append(
        self,
        stream: Stream,
        records: Sequence[KeyedRecord],
        writer: Writer | None = None,
        timeout_ms: int = 0,
    ) -> Result[int, LogFault]:
        """Append all records or none; return the first offset."""
        query: dict[str, object] = _partition(stream)
        if writer is not None:
            query['producer'] = writer.name
            query['epoch'] = writer.epoch
            query['sequence'] = writer.sequence
        reply = await self.http.call(
            'POST',
            f'{self.base}/log-append?{urlencode(query)}',
            timeout_ms or TIMEOUT_MS,
            pack(records),
            {'Content-Type': 'application/octet-stream'},
        )
        if reply.status == OK:
            return Ok(int(reply.fields().get('offset', 0)))
        return Err(_fault(reply))

    async def read(
        self,
        stream: Stream,
        from_offset: int,
        wait_ms: int,
    ) -> Result[Slice, LogFault]:
        """Return records from an offset on; wait for the first one."""
        query = {
            **_partition(stream),
            'from': from_offset,
            'waitMs': wait_ms,
        }
        reply = await self.http.call(
            'GET',
            f'{self.base}/log-read?{urlencode(query)}',
            TIMEOUT_MS + wait_ms,
        )
        if reply.status != OK or len(reply.raw) < BOUNDS.size:
            return Err(_fault(reply))
        body = reply.raw[BOUNDS.size :]
        records = tuple(unpack(body, from_offset))
        return Ok(Slice(records, from_offset + len(records)))

    async def newest(self, stream: Stream) -> Result[Slice, LogFault]:
        """Return the newest record of each key."""
        records: list[KeyedRecord] = []
        next_offset = -1
        query: dict[str, object] = _partition(stream)
        while True:
            reply = await self.http.call(
                'GET',
                f'{self.base}/log-newest?{urlencode(query)}',
                TIMEOUT_MS,
            )
            if reply.status != OK:
                return Err(_fault(reply))
            page = reply.fields()
            # Pages are no snapshot: what changed after the first page is read
            # again from its end on.
            if next_offset < 0:
                next_offset = int(page.get('end', 0))
            items = page.get('items') or []
            records.extend(_item(item) for item in items)
            if not page.get('hasMore') or not items:
                return Ok(Slice(tuple(records), next_offset))
            query['after'] = items[-1]['key']


@final
class StoreGroup:
    """Let the store deal the ownership among the entry VMs."""

    def __init__(self, http: Caller, address: str, member: str) -> None:
        """Name the store's address and this member."""
        self.http = http
        self.base = f'http://{address}/v1'
        self.member = member

    async def join(self, generation: int) -> Result[Grant, LogFault]:
        """Join, or stay in, the group."""
        reply = await post_json(
            self.http,
            f'{self.base}/log-join',
            JOIN_TIMEOUT_MS,
            {
                'group': GROUP,
                'member': self.member,
                'topics': [TOPICS[Stream.JOBS]],
                'ttlMs': GROUP_TTL_MS,
                'generation': generation,
            },
        )
        if reply.status != OK:
            return Err(_fault(reply))
        fields = reply.fields()
        dealt = [row[1] for row in fields.get('parts') or []]
        return Ok(Grant(int(fields['generation']), PARTITION in dealt))

    async def leave(self) -> Result[None, LogFault]:
        """Hand back what was dealt."""
        reply = await post_json(
            self.http,
            f'{self.base}/log-leave',
            JOIN_TIMEOUT_MS,
            {'group': GROUP, 'member': self.member},
        )
        return Ok(None) if reply.status == OK else Err(_fault(reply))

    async def members(self) -> Result[dict[str, bool], LogFault]:
        """Return the members' names, and which of them is the owner."""
        reply = await self.http.call(
            'GET',
            f'{self.base}/log-owners?{urlencode({"group": GROUP})}',
            TIMEOUT_MS,
        )
        if reply.status != OK:
            return Err(_fault(reply))
        found: dict[str, bool] = {}
        for row in _rows(reply.fields()):
            member = str(row[2])
            if member:
                is_owner = row[1] == PARTITION
                found[member] = found.get(member, False) or is_owner
        return Ok(found)


def _rows(fields: Mapping[str, Any]) -> list[list[Any]]:
    for rows in fields.values():
        if isinstance(rows, list):
            return rows
    return []


def _partition(stream: Stream) -> dict[str, object]:
    return {'topic': TOPICS[stream], 'part': PARTITION}


def _item(item: Mapping[str, Any]) -> KeyedRecord:
    try:
        payload = base64.b64decode(item['value'])
    except (binascii.Error, TypeError) as error:
        logger.warning(
            'store_record_unreadable',
            extra={'key': str(item.get('key')), 'error': str(error)},
        )
        payload = b''
    return KeyedRecord(str(item['key']), payload, int(item['offset']))


def _fault(reply: Reply) -> LogFault:
    if reply.status == NO_ANSWER:
        return LogFault.UNKNOWN
    if reply.status in {NOT_SENT, UNAVAILABLE}:
        return LogFault.REFUSED
    if reply.status == THROTTLED:
        return LogFault.THROTTLED
    if reply.status == DELETED:
        return LogFault.GONE
    if reply.status == CONFLICT and reply.fields().get('reason') == 'fenced':
        return LogFault.FENCED
    logger.warning(
        'store_refused',
        extra={
            'status': reply.status,
            'body': reply.raw[:200].decode('latin1'),
        },
    )
    return LogFault.UNKNOWN
