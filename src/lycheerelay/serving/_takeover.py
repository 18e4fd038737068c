"""Read what the store holds of a cell, and restore the cell from it."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, final

from result import Ok

from ..workflow import WorkerKey, WorkerListing, list_worker, unlist_worker
from ._cell_restore import CellRestore
from ._context import OwnerContext
from ._job_stream import JobStream
from ._known_workers import (
    KnownWorker,
    decode_addresses,
    decode_instances,
    placeholder_listing,
)
from ._listings import ListingReader
from ._ports import RecordPage, Stream
from ._recorder import Recorder

logger = logging.getLogger('lycheerelay.owner')

# An owner that has not read the cell within this time hands over, a large cell
# within 1 ms more for so many records. Reading takes 2 s on a slow link.
READ_TIMEOUT_MS: Final = 5000
RECORDS_PER_MS: Final = 2
# A job may be started that was cancelled this long ago.
OUTDATED_AFTER_MS: Final = 500
# Delay before a failed read is repeated.
RETRY_DELAY_S: Final = 0.1


@final
class Takeover:
    """Load the cell at the start of a term."""

    def __init__(
        self,
        context: OwnerContext,
        listings: ListingReader,
        stream: JobStream,
        recorder: Recorder,
    ) -> None:
        """Start with nothing read."""
        self.context = context
        self.recorder = recorder
        self.listings = listings
        self.stream = stream
        self.begun_ms = context.now_ms
        self.records_read = 0
        self.is_read = False

    def is_overdue(self, now_ms: int) -> bool:
        """Return whether this VM reads the cell too slowly.

        Restoring what was read goes on for as long as it takes.
        """
        if self.is_read:
            return False
        limit_ms = READ_TIMEOUT_MS + self.records_read // RECORDS_PER_MS
        return now_ms - self.begun_ms > limit_ms

    @property
    def is_outdated(self) -> bool:
        """Return whether much may have been appended since the reading."""
        return self.context.now_ms - self.begun_ms > OUTDATED_AFTER_MS

    async def run(
        self,
        start_pollers: Callable[[], None],
        configure_tenants: Callable[[], None],
    ) -> bool:
        """Load the cell; return False if the term ends meanwhile."""
        jobs, progress, listed = await asyncio.gather(
            self.read_newest(Stream.JOBS),
            self.read_newest(Stream.PROGRESS),
            self.read_newest(Stream.WORKERS),
        )
        if jobs is None or progress is None or listed is None:
            return False
        self.is_read = True
        progress = self.recorder.join(progress)
        self.context.tail_offset = jobs.next_offset
        self.listings.next_offset = listed.next_offset
        self._load_workers(listed, progress)
        start_pollers()
        configure_tenants()
        restore = CellRestore(self.context, self.stream, progress)
        return await restore.run(jobs)

    async def read_newest(self, stream: Stream) -> RecordPage | None:
        """Return the newest record of each key, or None if the term ends."""
        while not self.context.cell.deposed:
            outcome = await self.context.log.newest(stream, self._count_page)
            if isinstance(outcome, Ok):
                return outcome.ok_value
            logger.warning(
                'store_unread',
                extra={
                    'stream': stream.value,
                    'fault': outcome.err_value.value,
                },
            )
            await asyncio.sleep(RETRY_DELAY_S)
        return None

    def _count_page(self, records: int) -> None:
        self.records_read += records

    def _load_workers(self, listed: RecordPage, progress: RecordPage) -> None:
        cell = self.context.cell
        now_ms = self.context.now_ms
        for listing in self.listings.decode(listed.records):
            if isinstance(listing, WorkerListing):
                list_worker(cell, listing, now_ms)
        earlier = decode_instances(progress)
        leaving = {name for name, known in earlier.items() if known.draining}
        for worker_id, address in decode_addresses(progress).items():
            if worker_id not in cell.instances:
                unknown = KnownWorker(WorkerKey(worker_id), draining=False)
                known = earlier.get(worker_id, unknown)
                listing = placeholder_listing(known, address)
                list_worker(cell, listing, now_ms)
                unlist_worker(cell, worker_id)
                cell.workers[listing.worker].silent_since_ms = min(
                    known.silent_since_ms, now_ms
                )
        for worker_id, known in earlier.items():
            for worker in cell.find_instances(worker_id):
                worker.has_answered = known.has_answered
        for worker_id in earlier.keys() - leaving:
            cell.earlier_instances[worker_id] = earlier[worker_id].key
        cell.unsynced_workers.update(dict.fromkeys(cell.instances))
