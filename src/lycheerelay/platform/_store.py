"""Reach the platform's store as streams and a group."""

import base64
import binascii
import logging
from collections.abc import Mapping, Sequence
from typing import Any, Final, final
from urllib.parse import urlencode

from result import Err, Ok, Result

from ..serving import (
    NO_ANSWER,
    NOT_SENT,
    Caller,
    KeyedRecord,
    LogFault,
    RecordPage,
    Reply,
    Stream,
    Writer,
)
from ._records import BOUNDS, pack, unpack

logger = logging.getLogger('lycheerelay.store')

TOPICS: Final = {
    Stream.JOBS: 'keyed.jobs',
    Stream.PROGRESS: 'keyed.progress',
    Stream.OPERATOR: 'keyed.op',
    Stream.LOCK: 'keyed.lock',
    Stream.WORKERS: 'keyed.servers',
}
# All jobs share one partition: a queue may change its service, and wide gangs
# need every worker of a service at once.
PARTITION: Final = 0
# An answer takes 4 ms; a slow store takes 60 times as long. Calls are given
# twice that, in ms.
TIMEOUT_MS: Final = 600
# A page of newest records holds up to 1 MB, which takes some seconds on the
# slowest links; in ms, while bytes arrive.
LONGEST_PAGE_MS: Final = 5000
# A page that did not come is asked for again so often.
PAGE_TRIES: Final = 3
OK: Final = 200
CONFLICT: Final = 409
RACED: Final = 412
DELETED: Final = 410
THROTTLED: Final = 429
UNAVAILABLE: Final = 503
CONFLICTS: Final = {
    'fenced': LogFault.FENCED,
    'seq': LogFault.OUT_OF_ORDER,
}


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
        return await self._append(
            urlencode(query),
            records,
            timeout_ms or TIMEOUT_MS,
        )

    async def _append(
        self,
        query: str,
        records: Sequence[KeyedRecord],
        timeout_ms: int,
    ) -> Result[int, LogFault]:
        reply = await self.http.call(
            'POST',
            f'{self.base}/log-append?{query}',
            timeout_ms,
            pack(records),
            {'Content-Type': 'application/octet-stream'},
        )
        if reply.status == OK:
            return Ok(int(reply.fields().get('offset', 0)))
        return Err(fault_of(reply))

    async def append_at(
        self,
        stream: Stream,
        record: KeyedRecord,
        end: int,
    ) -> Result[int, LogFault]:
        """Append a record only if the stream ends there."""
        query = urlencode({**_partition(stream), 'at': end})
        return await self._append(query, (record,), TIMEOUT_MS)

    async def read(
        self,
        stream: Stream,
        from_offset: int,
        wait_ms: int,
    ) -> Result[RecordPage, LogFault]:
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
            return Err(fault_of(reply))
        body = reply.raw[BOUNDS.size :]
        records = tuple(unpack(body, from_offset))
        return Ok(RecordPage(records, from_offset + len(records)))

    async def newest(self, stream: Stream) -> Result[RecordPage, LogFault]:
        """Return the newest record of each key."""
        records: list[KeyedRecord] = []
        next_offset = -1
        query: dict[str, object] = _partition(stream)
        while True:
            reply = await self._page(urlencode(query))
            if reply.status != OK:
                return Err(fault_of(reply))
            page = reply.fields()
            # Pages are no snapshot: what changed after the first page is read
            # again from its end on.
            if next_offset < 0:
                next_offset = int(page.get('end', 0))
            items = page.get('items') or []
            records.extend(_item(item) for item in items)
            if not page.get('hasMore') or not items:
                return Ok(RecordPage(tuple(records), next_offset))
            query['after'] = items[-1]['key']

    async def _page(self, query: str) -> Reply:
        reply = Reply(NOT_SENT)
        for _ in range(PAGE_TRIES):
            reply = await self.http.call(
                'GET',
                f'{self.base}/log-newest?{query}',
                TIMEOUT_MS,
                longest_ms=LONGEST_PAGE_MS,
            )
            if reply.status == OK:
                break
        return reply


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


def fault_of(reply: Reply) -> LogFault:
    if reply.status == NO_ANSWER:
        return LogFault.UNKNOWN
    if reply.status in {NOT_SENT, UNAVAILABLE}:
        return LogFault.REFUSED
    if reply.status == THROTTLED:
        return LogFault.THROTTLED
    if reply.status == RACED:
        return LogFault.RACED
    if reply.status == DELETED:
        return LogFault.GONE
    if reply.status == CONFLICT:
        reason = str(reply.fields().get('reason'))
        return CONFLICTS.get(reason, LogFault.REFUSED)
    logger.warning(
        'store_refused',
        extra={
            'status': reply.status,
            'body': reply.raw[:200].decode('latin1'),
        },
    )
    return LogFault.UNKNOWN
