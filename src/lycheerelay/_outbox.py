"""Track which batches took effect and which the log does not hold yet."""

import itertools
from collections import deque
from collections.abc import Iterator
from typing import Final, final

from ._record_codec import Batch
from ._records import Record, TermTaken

MAX_HISTORY_RECORDS: Final = 5000


@final
class BatchFilter:
    """Drop batches that were already applied, by writer and number."""

    def __init__(self) -> None:
        """Start with no batch applied."""
        self.last_numbers: dict[str, int] = {}

    def is_new(self, batch: Batch) -> bool:
        """Mark the batch as applied; return whether it was not before."""
        if self.has_seen(batch):
            return False
        self.last_numbers[batch.writer] = batch.number
        return True

    def has_seen(self, batch: Batch) -> bool:
        """Return whether the batch was already applied."""
        return batch.number <= self.last_numbers.get(batch.writer, 0)

    def follows(self, batch: Batch) -> bool:
        """Return whether the batch is the next one of its writer."""
        return batch.number == self.last_numbers.get(batch.writer, 0) + 1


@final
class TermTracker:
    """Track the highest term taken in each pool and its owner."""

    def __init__(self) -> None:
        """Start without terms."""
        self.terms: dict[str, int] = {}
        self.owners: dict[str, str] = {}

    def update(self, batch: Batch) -> None:
        """Apply the claims of a batch."""
        for record in batch.records:
            if isinstance(record, TermTaken) and not self.is_taken(record):
                self.terms[record.pool] = record.term
                self.owners[record.pool] = record.owner

    def is_taken(self, claim: TermTaken) -> bool:
        """Return whether the claimed term or a higher one was taken."""
        return claim.term <= self.terms.get(claim.pool, 0)

    def is_outdated(self, batch: Batch, terms: dict[str, int]) -> bool:
        """Return whether a record of the batch misses a newer term.

        `terms` gives the highest term that the writer knows of each pool.
        """
        return any(self._is_stale(record, terms) for record in batch.records)

    def _is_stale(self, record: Record, terms: dict[str, int]) -> bool:
        if isinstance(record, TermTaken):
            return self.is_taken(record)
        return terms.get(record.pool, 0) < self.terms.get(record.pool, 0)


@final
class Outbox:
    """Hold batches, in the order of their effect, until read from the log.

    A limited history of confirmed batches stays available for nodes that
    have read less of the log.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.batches: deque[Batch] = deque()
        self.records = 0
        self.history: deque[Batch] = deque()
        self.history_records = 0

    def add(self, batch: Batch) -> None:
        """Add a batch that the log does not hold yet."""
        self.batches.append(batch)
        self.records += len(batch.records)

    def confirm(self, batch: Batch) -> None:
        """Move a batch that was read from the log to the history."""
        self._remove(batch)
        self.history.append(batch)
        self.history_records += len(batch.records)
        while self.history_records > MAX_HISTORY_RECORDS:
            self.history_records -= len(self.history.popleft().records)

    def replace(self, batch: Batch) -> None:
        """Replace the batch of the same writer and number."""
        for position, old in enumerate(self.batches):
            if old[:2] == batch[:2]:
                self.records += len(batch.records) - len(old.records)
                self.batches[position] = batch
                return

    def _remove(self, batch: Batch) -> None:
        for old in self.batches:
            if old[:2] == batch[:2]:
                self.batches.remove(old)
                self.records -= len(old.records)
                return

    def head(self, max_records: int) -> list[Batch]:
        """Return the oldest batches with at most `max_records` records.

        The oldest batch is returned even if it alone holds more.
        """
        oldest: list[Batch] = []
        total = 0
        for batch in self.batches:
            total += len(batch.records)
            if oldest and total > max_records:
                break
            oldest.append(batch)
        return oldest

    def batches_after(self, last_numbers: dict[str, int]) -> Iterator[Batch]:
        """Iterate over the batches after the last number of each writer."""
        for batch in itertools.chain(self.history, self.batches):
            if batch.number > last_numbers.get(batch.writer, 0):
                yield batch
