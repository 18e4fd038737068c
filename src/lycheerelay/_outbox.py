"""Track which batches took effect and which the log still lacks."""

import itertools
from collections import deque
from collections.abc import Iterator
from typing import Final, final

from ._record_codec import Batch
from ._records import Record, TermTaken

MAX_HISTORY_RECORDS: Final = 5000


@final
class BatchFilter:
    """Pass each writer's batches once, in their order."""

    def __init__(self) -> None:
        """Start with no batch seen."""
        self.last_numbers: dict[str, int] = {}

    def is_new(self, batch: Batch) -> bool:
        """Tell whether the batch comes for the first time; remember it."""
        if self.has_seen(batch):
            return False
        self.last_numbers[batch.writer] = batch.number
        return True

    def has_seen(self, batch: Batch) -> bool:
        """Tell whether the batch took effect already."""
        return batch.number <= self.last_numbers.get(batch.writer, 0)

    def follows(self, batch: Batch) -> bool:
        """Tell whether the batch is the next one of its writer."""
        return batch.number == self.last_numbers.get(batch.writer, 0) + 1


@final
class TermTracker:
    """Remember the highest term taken in each pool, and by whom."""

    def __init__(self) -> None:
        """Start with no terms."""
        self.terms: dict[str, int] = {}
        self.owners: dict[str, str] = {}

    def note(self, batch: Batch) -> None:
        """Take in the terms that a batch claims."""
        for record in batch.records:
            if isinstance(record, TermTaken) and not self.is_past(record):
                self.terms[record.pool] = record.term
                self.owners[record.pool] = record.owner

    def is_past(self, claim: TermTaken) -> bool:
        """Tell whether the claimed term was taken already."""
        return claim.term <= self.terms.get(claim.pool, 0)

    def outdates(self, batch: Batch, terms: dict[str, int]) -> bool:
        """Tell whether the writer lacks a term of a pool it writes for."""
        return any(self._is_stale(record, terms) for record in batch.records)

    def _is_stale(self, record: Record, terms: dict[str, int]) -> bool:
        if isinstance(record, TermTaken):
            return self.is_past(record)
        return terms.get(record.pool, 0) < self.terms.get(record.pool, 0)


@final
class Outbox:
    """Keep batches in the order of effect until the log shows them.

    Some that it showed are kept as well, for nodes that read it less far.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.batches: deque[Batch] = deque()
        self.records = 0
        self.history: deque[Batch] = deque()
        self.history_records = 0

    def add(self, batch: Batch) -> None:
        """Keep one more batch."""
        self.batches.append(batch)
        self.records += len(batch.records)

    def confirm(self, batch: Batch) -> None:
        """Move a batch that the log shows to the history."""
        self._remove(batch)
        self.history.append(batch)
        self.history_records += len(batch.records)
        while self.history_records > MAX_HISTORY_RECORDS:
            self.history_records -= len(self.history.popleft().records)

    def replace(self, batch: Batch) -> None:
        """Put a batch in the place of the one with its number."""
        for position, kept in enumerate(self.batches):
            if kept[:2] == batch[:2]:
                self.records += len(batch.records) - len(kept.records)
                self.batches[position] = batch
                return

    def _remove(self, batch: Batch) -> None:
        for kept in self.batches:
            if kept[:2] == batch[:2]:
                self.batches.remove(kept)
                self.records -= len(kept.records)
                return

    def head(self, max_records: int) -> list[Batch]:
        """Return the oldest batches, at least one, up to a record count."""
        chosen: list[Batch] = []
        total = 0
        for batch in self.batches:
            total += len(batch.records)
            if chosen and total > max_records:
                break
            chosen.append(batch)
        return chosen

    def lacking(self, have: dict[str, int]) -> Iterator[Batch]:
        """Iterate over the batches that another node did not see."""
        for batch in itertools.chain(self.history, self.batches):
            if batch.number > have.get(batch.writer, 0):
                yield batch
