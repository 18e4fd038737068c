"""Client of the keyed topics of the platform's store."""

import base64
import binascii
import logging
from collections.abc import Callable, Mapping, Sequence
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
    StoreLimits,
    Stream,
    Writer,
    ignore_page,
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
# All jobs share one partition, since a queue may move to another service and
# wide gangs need all workers of a service at once.
PARTITION: Final = 0
# A reply takes 4 ms, or 60 times as long from a slow store. The timeout is over
# twice that time.
TIMEOUT_MS: Final = 600
# Limit on the transfer of a page while data keeps arriving. A page holds up to
# 1 MB, which takes some seconds on the slowest links.
MAX_PAGE_TIME_MS: Final = 5000
# A version of the configuration with 2,000 queues is several hundred kilobytes,
# and reads of it wait for a short time only while calls need keys.
LONGEST_READ_MS: Final = {Stream.OPERATOR: MAX_PAGE_TIME_MS}
# Number of requests for a page before the read fails.
PAGE_ATTEMPTS: Final = 3
OK: Final = 200
CONFLICT: Final = 409
PRECONDITION_FAILED: Final = 412
GONE: Final = 410
TOO_MANY_REQUESTS: Final = 429
SERVICE_UNAVAILABLE: Final = 503
# Malformed, too large and not processable: refusals of the content of a call,
# which is the same in each repeat. Others speak of the path, the caller or the
# state of the store, and may pass.
CONTENT_REFUSALS: Final = frozenset((400, 413, 422))
CONFLICT_FAULTS: Final = {
    'fenced': LogFault.FENCED,
    'seq': LogFault.OUT_OF_ORDER,
}


@final
class StoreLog:
    """Append to and read from the keyed topics of the store."""

    def __init__(
        self,
        http: Caller,
        address: str,
        limits: StoreLimits,
    ) -> None:
        """Use the store at `address`, which accepts records up to its limits."""
        self.http = http
        self.limits = limits
        self.base = f'http://{address}/v1'

    async def append(
        self,
        stream: Stream,
        records: Sequence[KeyedRecord],
        writer: Writer | None = None,
        timeout_ms: int = 0,
    ) -> Result[int, LogFault]:
        """Append all records or none and return the first offset."""
        query: dict[str, object] = _partition_query(stream)
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
        fault = to_log_fault(reply)
        is_for_good = reply.status in CONTENT_REFUSALS
        return Err(LogFault.REJECTED if is_for_good else fault)

    async def append_at(
        self,
        stream: Stream,
        records: Sequence[KeyedRecord],
        expected_end: int,
    ) -> Result[int, LogFault]:
        """Append records only if the stream ends at `expected_end`."""
        query = urlencode({**_partition_query(stream), 'at': expected_end})
        return await self._append(query, records, TIMEOUT_MS)

    async def read(
        self,
        stream: Stream,
        from_offset: int,
        wait_ms: int,
    ) -> Result[RecordPage, LogFault]:
        """Return records from an offset on, waiting for the first one."""
        query = {
            **_partition_query(stream),
            'from': from_offset,
            'waitMs': wait_ms,
        }
        reply = await self.http.call(
            'GET',
            f'{self.base}/log-read?{urlencode(query)}',
            TIMEOUT_MS + wait_ms,
            longest_ms=LONGEST_READ_MS.get(stream, 0),
        )
        if reply.status != OK or len(reply.raw) < BOUNDS.size:
            return Err(to_log_fault(reply))
        body = reply.raw[BOUNDS.size :]
        records = tuple(unpack(body, from_offset))
        next_offset = from_offset + len(records)
        end_offset, _ = BOUNDS.unpack_from(reply.raw)
        return Ok(RecordPage(records, next_offset, next_offset == end_offset))

    async def newest(
        self, stream: Stream, on_page: Callable[[int], None] = ignore_page
    ) -> Result[RecordPage, LogFault]:
        """Return the newest record of each key."""
        records: list[KeyedRecord] = []
        next_offset = -1
        query: dict[str, object] = _partition_query(stream)
        while True:
            reply = await self._read_page(urlencode(query))
            if reply.status != OK:
                return Err(to_log_fault(reply))
            page = reply.fields()
            # The pages are not one snapshot. Changes after the first page are
            # read later, from the end offset of that page on.
            if next_offset < 0:
                next_offset = int(page.get('end', 0))
            items = page.get('items') or []
            records.extend(_decode_item(item) for item in items)
            on_page(len(items))
            if not page.get('hasMore') or not items:
                # A reply without an end offset is malformed.
                return Ok(
                    RecordPage(tuple(records), next_offset, 'end' in page)
                )
            query['after'] = items[-1]['key']

    async def _read_page(self, query: str) -> Reply:
        reply = Reply(NOT_SENT)
        for _ in range(PAGE_ATTEMPTS):
            reply = await self.http.call(
                'GET',
                f'{self.base}/log-newest?{query}',
                TIMEOUT_MS,
                longest_ms=MAX_PAGE_TIME_MS,
            )
            if reply.status == OK:
                break
        return reply


def _partition_query(stream: Stream) -> dict[str, object]:
    return {'topic': TOPICS[stream], 'part': PARTITION}


def _decode_item(item: Mapping[str, Any]) -> KeyedRecord:
    try:
        payload = base64.b64decode(item['value'])
    except (binascii.Error, TypeError) as error:
        logger.warning(
            'store_record_unreadable',
            extra={'key': str(item.get('key')), 'error': str(error)},
        )
        payload = b''
    return KeyedRecord(str(item['key']), payload, int(item['offset']))


def to_log_fault(reply: Reply) -> LogFault:
    """Return the fault that a failed reply stands for."""
    if reply.status == NO_ANSWER:
        return LogFault.UNKNOWN
    if reply.status in {NOT_SENT, SERVICE_UNAVAILABLE}:
        return LogFault.REFUSED
    if reply.status == TOO_MANY_REQUESTS:
        return LogFault.THROTTLED
    if reply.status == PRECONDITION_FAILED:
        return LogFault.RACED
    if reply.status == GONE:
        return LogFault.GONE
    if reply.status == CONFLICT:
        reason = str(reply.fields().get('reason'))
        return CONFLICT_FAULTS.get(reason, LogFault.REFUSED)
    logger.warning(
        'store_refused',
        extra={
            'status': reply.status,
            'body': reply.raw[:200].decode('latin1'),
        },
    )
    return LogFault.UNKNOWN
