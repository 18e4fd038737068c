"""Write records to and read them from log entries."""

from typing import Final, NamedTuple

from result import Err, Ok, Result

from ._codec import FieldError, Json, from_json, to_json
from ._records import (
    Accepted,
    CancelAsked,
    Ended,
    Intended,
    Record,
    Settled,
    TermTaken,
)

RECORD_TYPES: Final = {
    kind.__name__: kind
    for kind in (Accepted, CancelAsked, Ended, Intended, Settled, TermTaken)
}


class Batch(NamedTuple):
    """Hold records that one writer commits together, in order."""

    writer: str
    number: int
    records: tuple[Record, ...]


def encode_batch(batch: Batch) -> Json:
    """Return the log entry of a batch."""
    return {
        'writer': batch.writer,
        'number': batch.number,
        'records': [
            [type(record).__name__, to_json(record)] for record in batch.records
        ],
    }


def decode_batch(value: Json) -> Result[Batch, FieldError]:
    """Read a log entry as a batch."""
    if not isinstance(value, dict) or 'records' not in value:
        return Err(FieldError('entry', repr(value)[:80], 'a batch'))
    records = []
    for name, raw in value['records']:
        kind = RECORD_TYPES.get(name)
        if kind is None:
            known = ', '.join(RECORD_TYPES)
            return Err(FieldError('record', name, f'one of: {known}'))
        record = from_json(kind, raw, name)
        if isinstance(record, Err):
            return record
        records.append(record.ok_value)
    return Ok(Batch(value['writer'], value['number'], tuple(records)))
