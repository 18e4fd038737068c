"""Keep the list of known workers in as many records as it needs.

Each of its records is followed by parts under `KEY/1`, `KEY/2` and so on. Earlier
versions read and write the first record only, so it begins with the workers that
have no registration any more, of which nothing else tells.
"""

from collections.abc import Iterator
from typing import Any, final

import orjson

from ..workflow import CellState
from ._known_workers import PART_SEPARATOR, is_part_of
from ._ports import KeyedRecord, RecordPage, StoreLimits
from ._progress_keys import (
    ANSWERED_KEY,
    INSTANCES_KEY,
    KNOWN_WORKERS_KEY,
    LIST_KEYS,
    SILENT_KEY,
)

Rows = dict[str, Any]


@final
class WorkerRecords:
    """Encode the known workers, and delete the parts that are left over."""

    def __init__(self, limits: StoreLimits) -> None:
        """Start with an empty store."""
        self.limits = limits
        self.stored_keys: frozenset[str] = frozenset()

    def note_stored(self, page: RecordPage) -> None:
        """Note the parts that an earlier owner has written."""
        self.stored_keys = frozenset(
            record.key
            for record in page.records
            if any(is_part_of(record.key, key) for key in LIST_KEYS)
        )

    def encode(self, cell: CellState) -> list[KeyedRecord]:
        """Return the records that replace those in the store."""
        workers = sorted(
            cell.workers.values(), key=lambda worker: worker.listed
        )
        addresses = {worker.worker_id: worker.address for worker in workers}
        instances = {
            worker.worker_id: (worker.key.started_ms, worker.draining)
            for worker in workers
        }
        silent = {
            worker.worker_id: worker.silent_since_ms
            for worker in workers
            if worker.silent_since_ms
        }
        answered = {
            worker.worker_id: True for worker in workers if worker.has_answered
        }
        limit = self.limits.payload_bytes
        records = [
            *_encode_rows(KNOWN_WORKERS_KEY, addresses, limit),
            *_encode_rows(INSTANCES_KEY, instances, limit),
            *_encode_rows(SILENT_KEY, silent, limit),
            *_encode_rows(ANSWERED_KEY, answered, limit),
        ]
        keys = frozenset(record.key for record in records)
        left_over = sorted(self.stored_keys - keys)
        self.stored_keys |= keys
        return [*records, *(KeyedRecord(key, None) for key in left_over)]


def _encode_rows(key: str, rows: Rows, limit: int) -> Iterator[KeyedRecord]:
    for number, part in enumerate(_split_rows(rows, limit)):
        part_key = f'{key}{PART_SEPARATOR}{number}' if number else key
        yield KeyedRecord(part_key, orjson.dumps(part))


def _split_rows(rows: Rows, limit: int) -> list[Rows]:
    if len(orjson.dumps(rows)) <= limit:
        return [rows]
    parts: list[Rows] = []
    room = 0
    for name, content in rows.items():
        # A row in braces of its own takes a byte more than one with a comma.
        size = len(orjson.dumps({name: content}))
        if size > room:
            parts.append({})
            room = limit
        parts[-1][name] = content
        room -= size
    return parts
