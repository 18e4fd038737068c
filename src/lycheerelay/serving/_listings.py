"""Follow the registrations of workers."""

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
    """Read what changed among the registrations since the last time."""

    def __init__(self, decoder: Decoder) -> None:
        """Start at the beginning of the stream."""
        self.decoder = decoder
        self.next_offset = 0
        self.known: set[str] = set()

    def decode(
        self,
        records: Iterable[KeyedRecord],
    ) -> Iterator[WorkerListing | str]:
        """Yield listings, and the names of workers that are gone."""
        for record in records:
            if record.payload is None:
                self.known.discard(record.key)
                yield record.key
                continue
            entry = self.decoder(record)
            if entry is not None:
                self.known.add(record.key)
                yield entry

    async def poll(self, log: KeyedLog) -> list[WorkerListing | str]:
        """Return what changed; nothing while the store does not answer."""
        outcome = await log.read(Stream.WORKERS, self.next_offset, 0)
        if isinstance(outcome, Err):
            if outcome.err_value is LogFault.GONE:
                return await self._poll_anew(log)
            return []
        part = outcome.ok_value
        self.next_offset = part.next_offset
        return list(self.decode(_last_of_each(part)))

    async def _poll_anew(self, log: KeyedLog) -> list[WorkerListing | str]:
        outcome = await log.newest(Stream.WORKERS)
        if isinstance(outcome, Err):
            return []
        part = outcome.ok_value
        self.next_offset = part.next_offset
        before = set(self.known)
        found = list(self.decode(part.records))
        gone = before - {record.key for record in part.records}
        self.known -= gone
        logger.warning('worker_history_gone', extra={'gone': len(gone)})
        return [*found, *gone]


def _last_of_each(part: RecordPage) -> Iterable[KeyedRecord]:
    return {record.key: record for record in part.records}.values()
