"""Follow the operators' configuration; never revert to an older version."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, final

from result import Err

from ._ports import KeyedLog, KeyedRecord, LogFault, RecordPage, Stream
from ._queues import QueueTable

logger = logging.getLogger('lycheerelay.config')

# How long one read waits for a change. A new version must be in force within
# 2 s, and a stalled connection must not exceed that bound by much.
READ_WAIT_MS: Final = 1500
# Delay before a failed read is repeated.
RETRY_DELAY_S: Final = 0.1

Decoder = Callable[[KeyedRecord], QueueTable | None]


@final
class ConfigWatch:
    """Hold the newest configuration version that this process has read."""

    def __init__(self, log: KeyedLog, decoder: Decoder) -> None:
        """Start without a configuration."""
        self.log = log
        self.decoder = decoder
        self.table: QueueTable | None = None
        self.next_offset = -1

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            outcome = await self._read()
            if isinstance(outcome, Err):
                if outcome.err_value is LogFault.GONE:
                    self.next_offset = -1
                await asyncio.sleep(RETRY_DELAY_S)

    async def _read(self) -> Err[LogFault] | None:
        if self.next_offset < 0:
            outcome = await self.log.newest(Stream.OPERATOR)
        else:
            outcome = await self.log.read(
                Stream.OPERATOR,
                self.next_offset,
                READ_WAIT_MS,
            )
        if isinstance(outcome, Err):
            return outcome
        self._apply_page(outcome.ok_value)
        return None

    def _apply_page(self, page: RecordPage) -> None:
        self.next_offset = max(self.next_offset, page.next_offset)
        for record in page.records:
            table = self.decoder(record)
            if table is None:
                continue
            version = self.table.version if self.table else 0
            if table.version > version:
                self.table = table
                logger.info(
                    'config_in_force',
                    extra={
                        'version': table.version,
                        'before': version,
                        'queues': len(table.queues),
                        'offset': record.offset,
                    },
                )
