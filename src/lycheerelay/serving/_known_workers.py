"""Keep the workers that may hold runs in the record, for the next owner.

The record `workers` maps ids to addresses. The record `instances` maps them to
the time of their start and to whether they are draining, the record
`silent_workers` those that are gone to the time since when, and the record
`answered_workers` has those that have answered an owner; earlier versions write
and read the first one only, or some of them.
"""

import logging
from collections.abc import Iterator
from typing import Any, Final, NamedTuple

import orjson

from .._resources import Resources
from ..workflow import CellState, WorkerKey, WorkerListing
from ._ports import RecordPage
from ._progress_keys import (
    ANSWERED_KEY,
    INSTANCES_KEY,
    KNOWN_WORKERS_KEY,
    SILENT_KEY,
)

logger = logging.getLogger('lycheerelay.owner')

# Further rows of either list are in records with this and a number after the key.
PART_SEPARATOR: Final = '/'


class KnownWorker(NamedTuple):
    """Worker instance as it stands in the record."""

    key: WorkerKey
    draining: bool
    silent_since_ms: int = 0
    has_answered: bool = False


def known_workers(cell: CellState) -> frozenset[KnownWorker]:
    """Return the workers that the next owner has to know.

    They change with the answers of most of them only, as the whole list is recorded
    for each change.
    """
    answered = sum(worker.has_answered for worker in cell.workers.values())
    have_most_answered = 2 * answered > len(cell.workers)
    return frozenset(
        KnownWorker(
            worker.key,
            worker.draining,
            worker.silent_since_ms,
            have_most_answered,
        )
        for worker in cell.workers.values()
    )


def is_part_of(key: str, list_key: str) -> bool:
    """Return whether a record has further rows of a list."""
    return key.startswith(f'{list_key}{PART_SEPARATOR}')


def decode_addresses(progress: RecordPage) -> dict[str, str]:
    """Return the address of each recorded worker."""
    rows = _decode(progress, KNOWN_WORKERS_KEY)
    return {
        worker_id: address
        for worker_id, address in rows.items()
        if isinstance(address, str)
    }


def decode_instances(progress: RecordPage) -> dict[str, KnownWorker]:
    """Return the recorded worker instances by worker id."""
    rows = _decode(progress, INSTANCES_KEY)
    silent = _decode(progress, SILENT_KEY)
    answered = _decode(progress, ANSWERED_KEY)
    return {
        worker_id: KnownWorker(
            WorkerKey(worker_id, started_ms),
            draining,
            _int_of(silent.get(worker_id)),
            worker_id in answered,
        )
        for worker_id, (started_ms, draining) in _instance_rows(rows)
    }


def _instance_rows(
    rows: dict[str, Any],
) -> Iterator[tuple[str, tuple[int, bool]]]:
    """Yield the rows that can be read; a faulty one must not end each term."""
    for worker_id, row in rows.items():
        try:
            started_ms, draining = row
            yield worker_id, (int(started_ms), bool(draining))
        except (ValueError, TypeError) as error:
            logger.warning(
                'roster_unreadable',
                extra={
                    'key': INSTANCES_KEY,
                    'worker': worker_id,
                    'error': str(error),
                },
            )


def _int_of(content: object) -> int:
    return content if isinstance(content, int) else 0


def _decode(progress: RecordPage, list_key: str) -> dict[str, Any]:
    """Return the rows of a list.

    The first record counts where a part has the same row: an owner of an earlier
    version replaces that record alone.
    """
    first: dict[str, Any] = {}
    rows: dict[str, Any] = {}
    for record in progress.records:
        if record.payload is None:
            continue
        if record.key == list_key:
            first = _decode_rows(record.key, record.payload)
        elif is_part_of(record.key, list_key):
            rows.update(_decode_rows(record.key, record.payload))
    return rows | first


def _decode_rows(key: str, payload: bytes) -> dict[str, Any]:
    try:
        rows = orjson.loads(payload)
    except ValueError as error:
        logger.warning(
            'roster_unreadable', extra={'key': key, 'error': str(error)}
        )
        return {}
    return rows if isinstance(rows, dict) else {}


def placeholder_listing(known: KnownWorker, address: str) -> WorkerListing:
    """Return a registration of a worker that has none any more."""
    return WorkerListing(
        worker=known.key,
        address=address,
        pool='',
        domain='',
        rack='',
        labels=frozenset(),
        capacity=Resources(),
        draining=known.draining,
    )
