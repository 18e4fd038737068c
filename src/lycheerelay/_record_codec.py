"""Encode batches of records as log entries and decode them."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from ._codec import FieldError, Json, from_json, to_json
from ._records import (
    Accepted,
    CancelAsked,
    Ended,
    Intended,
    JobImage,
    Record,
    Settled,
    TermTaken,
)

RECORD_TYPES: Final = {
    kind.__name__: kind
    for kind in (
        Accepted,
        CancelAsked,
        Ended,
        Intended,
        JobImage,
        Settled,
        TermTaken,
    )
}
MAX_SHOWN_CHARS: Final = 80


class Batch(NamedTuple):
    """Hold records that one writer commits together, in order.

    `held` marks a batch that took effect during a log outage because two
    entry VMs stored it.
    """

    writer: str
    number: int
    records: tuple[Record, ...]
    held: bool = False


def encode_batches(batches: Iterable[Batch]) -> Json:
    """Return the log entry that holds the batches."""
    return {'batches': [_encode_batch(batch) for batch in batches]}


def decode_batches(entry: Json) -> Result[tuple[Batch, ...], FieldError]:
    """Return the batches of a log entry."""
    if not isinstance(entry, dict) or 'batches' not in entry:
        shown = repr(entry)[:MAX_SHOWN_CHARS]
        return Err(FieldError('entry', shown, 'an object with batches'))
    batches = []
    for raw in entry['batches']:
        batch = _decode_batch(raw)
        if isinstance(batch, Err):
            return batch
        batches.append(batch.ok_value)
    return Ok(tuple(batches))


def _encode_batch(batch: Batch) -> Json:
    return {
        'writer': batch.writer,
        'number': batch.number,
        'held': batch.held,
        'records': [
            [type(record).__name__, to_json(record)] for record in batch.records
        ],
    }


def _decode_batch(raw: Json) -> Result[Batch, FieldError]:
    records = []
    for name, fields in raw['records']:
        kind = RECORD_TYPES.get(name)
        if kind is None:
            known = ', '.join(RECORD_TYPES)
            return Err(FieldError('record', name, f'one of: {known}'))
        record = from_json(kind, fields, name)
        if isinstance(record, Err):
            return record
        records.append(record.ok_value)
    held = bool(raw.get('held'))
    return Ok(Batch(raw['writer'], raw['number'], tuple(records), held))
