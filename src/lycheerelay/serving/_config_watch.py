"""Follow the operators' configuration; never revert to an older version.

Load: the store is silent, busy or throttling for this VM, and calls of tenants
are served only while the configuration is known to be new enough.
"""

import asyncio
import base64
import logging
from collections.abc import Callable
from typing import Any, Final, final

from result import Err, Result

from .._clock import MS_PER_SECOND, Clock
from ._config_freshness import ConfigFreshness
from ._peers import Peers
from ._ports import KeyedLog, KeyedRecord, LogFault, RecordPage, Stream
from ._queues import CONFIG_KEY, QueueTable

logger = logging.getLogger('lycheerelay.config')

# How long one read waits for a change. A new version must be in force within
# 2 s, and a stalled connection must not exceed that bound by much.
READ_WAIT_MS: Final = 1500
# Delay before a failed read is repeated.
RETRY_DELAY_S: Final = 0.1
# Delay between two questions to other VMs while the reads fail.
PEER_INTERVAL_MS: Final = 500

Decoder = Callable[[KeyedRecord], QueueTable | None]


@final
class ConfigWatch:
    """Hold the newest configuration version that this process has read."""

    def __init__(
        self,
        log: KeyedLog,
        decoder: Decoder,
        clock: Clock,
        peers: Peers,
        freshness: ConfigFreshness,
    ) -> None:
        """Start without a configuration."""
        self.log = log
        self.decoder = decoder
        self.clock = clock
        self.peers = peers
        self.freshness = freshness
        self.table: QueueTable | None = None
        # Record of the table, which other VMs may ask for.
        self.record = KeyedRecord(CONFIG_KEY, None)
        self.next_offset = -1
        # Offset of the newest record of the configuration, readable or not.
        self.newest_offset = -1
        self.is_newest_readable = False
        self.reads_fail = False
        # Task that asks other VMs while the reads fail.
        self.asking: asyncio.Task[None] | None = None

    @property
    def is_current(self) -> bool:
        """Return whether the keys of the configuration may be trusted."""
        return self.freshness.is_current(self.clock.now_ms())

    @property
    def age_ms(self) -> int | None:
        """Return the age of the configuration; None without a proof."""
        return self.freshness.age_ms(self.clock.now_ms())

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        try:
            await self._follow()
        finally:
            if self.asking is not None:
                self.asking.cancel()

    async def _follow(self) -> None:
        while True:
            outcome = await self._read()
            self.reads_fail = isinstance(outcome, Err)
            if isinstance(outcome, Err):
                if outcome.err_value is LogFault.GONE:
                    self.next_offset = -1
                self._start_asking()
                await asyncio.sleep(RETRY_DELAY_S)

    def _start_asking(self) -> None:
        is_asking = self.asking is not None and not self.asking.done()
        if self._must_be_current() and not is_asking:
            self.asking = asyncio.create_task(self._ask_while_reads_fail())

    async def _read(self) -> Err[LogFault] | None:
        sent_ms = self.clock.now_ms()
        reads_tail = self.next_offset >= 0
        outcome = await self._read_page()
        if isinstance(outcome, Err):
            return outcome
        page = outcome.ok_value
        self._apply_page(page)
        # A listing of the newest records proves nothing if it lacks the
        # configuration.
        has_config = any(record.key == CONFIG_KEY for record in page.records)
        if page.reaches_end and (reads_tail or has_config):
            self._confirm(sent_ms)
        return None

    async def _read_page(self) -> Result[RecordPage, LogFault]:
        if self.next_offset < 0:
            return await self.log.newest(Stream.OPERATOR)
        return await self.log.read(
            Stream.OPERATOR, self.next_offset, self._wait_ms()
        )

    def _wait_ms(self) -> int:
        if not self._must_be_current():
            return READ_WAIT_MS
        if self.reads_fail:
            # The age of the configuration grows until this read returns.
            return 0
        return min(READ_WAIT_MS, self.freshness.longest_wait_ms)

    def _must_be_current(self) -> bool:
        return (
            self.freshness.is_bounded
            and self.table is not None
            and self.table.requires_keys
        )

    def _confirm(self, sent_ms: int) -> None:
        if self.table is not None and self.is_newest_readable:
            self.freshness.confirm(sent_ms)

    def _apply_page(self, page: RecordPage) -> None:
        self.next_offset = max(self.next_offset, page.next_offset)
        for record in page.records:
            if record.key == CONFIG_KEY:
                self._apply(record)

    def _apply(self, record: KeyedRecord) -> None:
        table = self.decoder(record)
        if record.offset >= self.newest_offset:
            self.newest_offset = record.offset
            self.is_newest_readable = table is not None
        version = self.table.version if self.table else 0
        if table is None or table.version <= version:
            return
        self.table = table
        self.record = record
        logger.info(
            'config_in_force',
            extra={
                'version': table.version,
                'before': version,
                'queues': len(table.queues),
                'offset': record.offset,
            },
        )

    async def _ask_while_reads_fail(self) -> None:
        while self.reads_fail and self.table is not None:
            await self._ask_peer(self.table.version)
            await asyncio.sleep(PEER_INTERVAL_MS / MS_PER_SECOND)

    async def _ask_peer(self, version: int) -> None:
        sent_ms = self.clock.now_ms()
        outcome = await self.peers.ask_config(version)
        if isinstance(outcome, Err) or not self.reads_fail:
            return
        try:
            self._apply_answer(outcome.ok_value, sent_ms)
        except (ValueError, KeyError, TypeError) as error:
            logger.warning(
                'config_answer_unreadable', extra={'error': str(error)}
            )

    def _apply_answer(self, answer: dict[str, Any], sent_ms: int) -> None:
        if 'payload' in answer:
            payload = base64.b64decode(answer['payload'], validate=True)
            record = KeyedRecord(CONFIG_KEY, payload, int(answer['offset']))
            self._apply(record)
        table = self.table
        is_known = table is not None and table.version >= answer['version']
        if answer['age_ms'] is not None and is_known:
            # The answer arrived later than this, so the age is not too low.
            self._confirm(sent_ms - int(answer['age_ms']))

    def answer_peer(self, version: int) -> dict[str, Any] | None:
        """Return the configuration for a VM that holds a version of it.

        None without a configuration.
        """
        table = self.table
        if table is None:
            return None
        answer: dict[str, Any] = {
            'version': table.version,
            'age_ms': self.age_ms,
            'owner': self.peers.owner,
        }
        if table.version > version:
            payload = base64.b64encode(self.record.payload or b'').decode()
            answer['payload'] = payload
            answer['offset'] = self.record.offset
        return answer
