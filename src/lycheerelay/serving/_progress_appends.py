"""Append to the stream of progress, in order and one append at a time.

An append that may succeed later is repeated. One that the store refuses for good
is split until the record at fault is found, and the others are appended.
"""

import asyncio
import itertools
import logging
from collections.abc import Sequence
from enum import Enum, unique
from typing import Final, NamedTuple, final

from result import Err, Ok

from .._clock import MS_PER_SECOND
from ._context import OwnerContext
from ._ports import KEY_BYTES, KeyedRecord, LogFault, Stream, Writer
from ._progress_keys import PROBE_KEY, TERM_KEY
from ._repeat_pace import RepeatPace

logger = logging.getLogger('lycheerelay.recorder')

WRITER: Final = 'owner'
# Faults that end the term. Only a new term, whose epoch restarts the sequence
# numbers, can append again.
TERM_ENDING_FAULTS: Final = frozenset((LogFault.FENCED, LogFault.OUT_OF_ORDER))
# Starts wait for their record, and repeating an append with its sequence number
# is safe, so the first attempts time out early. Later attempts use the default
# timeout of the store.
FIRST_TIMEOUTS_MS: Final = (100, 300)
# Size of one append, exceeded by a single record only. A larger one would take
# longer than the first attempts wait.
MAX_APPEND_BYTES: Final = 512 * 1024


class OwnedRecord(NamedTuple):
    """A record, and the job or list that it is about.

    After a record that is refused for good, no later record of its owner is
    appended.
    """

    owner: str
    record: KeyedRecord


@unique
class AppendState(Enum):
    """Outcome of an append that is not repeated any more."""

    TAKEN = 'taken'
    REFUSED_FOR_GOOD = 'refused_for_good'
    TERM_OVER = 'term_over'


@final
class ProgressAppends:
    """Append records with the sequence numbers of one term."""

    def __init__(self, context: OwnerContext) -> None:
        """Start with nothing appended."""
        self.context = context
        self.sequence = 0
        self.pace = RepeatPace(context.fence)
        self.has_skipped_number = False
        self.useless_checks = 0
        # Record that was refused before the store took another one.
        self.suspect: OwnedRecord | None = None

    async def fence(self) -> bool:
        """Fence off the appends of earlier owners; return whether it worked."""
        attempt = 0
        while not self.context.cell.deposed:
            sent_ms = self.context.now_ms
            outcome = await self.context.log.append(
                Stream.PROGRESS,
                (KeyedRecord(TERM_KEY, str(self.context.fence).encode()),),
                Writer(WRITER, self.context.fence, self.sequence),
            )
            if isinstance(outcome, Ok):
                return True
            if outcome.err_value in TERM_ENDING_FAULTS:
                self.context.cell.deposed = True
                return False
            attempt += 1
            await self._pause(attempt, sent_ms)
        return False

    async def append(
        self, records: Sequence[OwnedRecord]
    ) -> frozenset[str] | None:
        """Append the records and return the owners of those at fault.

        None means that the term is over.
        """
        refused: set[str] = set()
        batches = self._batches(records)
        while batches:
            batch = [
                owned for owned in batches.pop() if owned.owner not in refused
            ]
            state = await self._append(batch) if batch else AppendState.TAKEN
            if state is AppendState.TERM_OVER:
                return None
            if state is AppendState.REFUSED_FOR_GOOD:
                batches.extend(await self._split(batch, refused))
        return frozenset(refused)

    def _batches(
        self, records: Sequence[OwnedRecord]
    ) -> list[list[OwnedRecord]]:
        """Return the records in batches that fit in one append, last first."""
        limit = min(self.context.log.limits.request_bytes, MAX_APPEND_BYTES)
        batches: list[list[OwnedRecord]] = []
        room = 0
        for owned in records:
            size = KEY_BYTES + len(owned.record.payload or b'')
            if size > room:
                batches.insert(0, [])
                room = limit
            batches[0].append(owned)
            room -= size
        return batches

    async def _split(
        self, batch: list[OwnedRecord], refused: set[str]
    ) -> list[list[OwnedRecord]]:
        """Return what is still to be appended of a refused batch, last first.

        The owner of a single record is added to those at fault.
        """
        middle = len(batch) // 2
        if middle:
            return [batch[middle:], batch[:middle]]
        if not await self._is_at_fault(batch[0]):
            return [batch]
        refused.add(batch[0].owner)
        return []

    async def _is_at_fault(self, owned: OwnedRecord) -> bool:
        """Return whether the store has taken another record before and after.

        Otherwise it may refuse everything for some time, and the record is to be
        appended again.
        """
        sent_ms = self.context.now_ms
        probe = OwnedRecord(PROBE_KEY, KeyedRecord(PROBE_KEY, None))
        state = await self._append([probe])
        if state is not AppendState.TAKEN:
            self.suspect = None
            self.useless_checks += 1
            await self._pause(self.useless_checks, sent_ms)
            return False
        self.useless_checks = 0
        if self.suspect is not owned:
            self.suspect = owned
            return False
        payload = owned.record.payload or b''
        self.context.metrics.count('records_refused')
        logger.error(
            'record_refused',
            extra={
                'key': owned.record.key,
                'about': owned.owner,
                'bytes': len(payload),
                'fence': self.context.fence,
            },
        )
        return True

    async def _append(self, batch: Sequence[OwnedRecord]) -> AppendState:
        self.sequence += 1
        begun_ms = self.context.now_ms
        timeouts = itertools.chain(FIRST_TIMEOUTS_MS, itertools.repeat(0))
        for attempt, timeout_ms in enumerate(timeouts, 1):
            if self.context.cell.deposed:
                break
            sent_ms = self.context.now_ms
            outcome = await self.context.log.append(
                Stream.PROGRESS,
                [owned.record for owned in batch],
                Writer(WRITER, self.context.fence, self.sequence),
                timeout_ms,
            )
            if isinstance(outcome, Ok):
                took_ms = self.context.now_ms - begun_ms
                self.context.metrics.observe('record', took_ms)
                self.has_skipped_number = False
                return AppendState.TAKEN
            if outcome.err_value is LogFault.REJECTED:
                # Nothing was appended, so the number is used again.
                self.sequence -= 1
                self.has_skipped_number = True
                return AppendState.REFUSED_FOR_GOOD
            self._handle_fault(outcome, begun_ms)
            await self._pause(attempt, sent_ms)
        return AppendState.TERM_OVER

    async def _pause(self, attempt: int, sent_ms: int) -> None:
        pause_ms = self.pace.pause_ms(attempt, sent_ms, self.context.now_ms)
        await asyncio.sleep(pause_ms / MS_PER_SECOND)

    def _handle_fault(self, outcome: Err[LogFault], since_ms: int) -> None:
        fault = outcome.err_value
        logger.warning(
            'progress_not_recorded',
            extra={
                'fault': fault.value,
                'since_ms': self.context.now_ms - since_ms,
                'fence': self.context.fence,
            },
        )
        self.context.metrics.count('append_repeats', fault=fault.value)
        if fault is LogFault.OUT_OF_ORDER and self.has_skipped_number:
            # The store counts the number of the append that it has refused.
            self.sequence += 1
            self.has_skipped_number = False
        elif fault in TERM_ENDING_FAULTS:
            self.context.cell.deposed = True
