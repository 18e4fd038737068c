"""Follow the worker registrations."""

import logging
from collections.abc import Callable, Iterable, Iterator
from typing import final

from result import Err

from ..workflow import WorkerListing
from ._ports import KeyedLog, KeyedRecord, LogFault, RecordPage, Stream

logger = logging.getLogger('lycheerelay.listings')

Decoder = Callable[[KeyedRecord], WorkerListing | None]


@final
class ListingReader:
    """Read the changes of the worker registrations."""

    def __init__(self, decoder: Decoder) -> None:
        """Start at the beginning of the stream."""
        self.decoder = decoder
        self.next_offset = 0
        self.known: set[str] = set()

    def decode(
        self,
        records: Iterable[KeyedRecord],
    ) -> Iterator[WorkerListing | str]:
        """Yield listings, and the ids of workers that were unlisted."""
        for record in records:
            if record.payload is None:
                self.known.discard(record.key)
                yield record.key
                continue
            listing = self.decoder(record)
            if listing is not None:
                self.known.add(record.key)
                yield listing

    async def read_changes(self, log: KeyedLog) -> list[WorkerListing | str]:
        """Return the changes; nothing if the store does not answer."""
        outcome = await log.read(Stream.WORKERS, self.next_offset, 0)
        if isinstance(outcome, Err):
            if outcome.err_value is LogFault.GONE:
                return await self._reread_all(log)
            return []
        page = outcome.ok_value
        self.next_offset = page.next_offset
        return list(self.decode(_newest_per_key(page)))

    async def _reread_all(self, log: KeyedLog) -> list[WorkerListing | str]:
        outcome = await log.newest(Stream.WORKERS)
        if isinstance(outcome, Err):
            return []
        page = outcome.ok_value
        self.next_offset = page.next_offset
        before = set(self.known)
        found = list(self.decode(page.records))
        gone = before - {record.key for record in page.records}
        self.known -= gone
        logger.warning('worker_history_gone', extra={'gone': len(gone)})
        return [*found, *gone]


def _newest_per_key(page: RecordPage) -> Iterable[KeyedRecord]:
    return {record.key: record for record in page.records}.values()
