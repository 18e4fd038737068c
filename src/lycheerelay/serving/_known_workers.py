"""Keep the workers that may hold runs in the record, for the next owner.

The record `workers` maps ids to addresses. The record `instances` maps them to
the time of their start and to whether they are draining, and the record
`silent_workers` those that are gone to the time since when; earlier versions write
and read the first one only, or the first two.
"""

import logging
from collections.abc import Iterator
from typing import Any, Final, NamedTuple

import orjson

from .._resources import Resources
from ..workflow import CellState, WorkerKey, WorkerListing
from ._ports import KeyedRecord, RecordPage

logger = logging.getLogger('lycheerelay.owner')

KNOWN_WORKERS_KEY: Final = 'workers'
INSTANCES_KEY: Final = 'instances'
SILENT_KEY: Final = 'silent_workers'


class KnownWorker(NamedTuple):
    """Worker instance as it stands in the record."""

    key: WorkerKey
    draining: bool
    silent_since_ms: int = 0


def known_workers(cell: CellState) -> frozenset[KnownWorker]:
    """Return the workers that the next owner has to know."""
    return frozenset(
        KnownWorker(worker.key, worker.draining, worker.silent_since_ms)
        for worker in cell.workers.values()
    )


def encode_known_workers(cell: CellState) -> Iterator[KeyedRecord]:
    """Yield the records of the known workers."""
    workers = cell.workers.values()
    addresses = {worker.worker_id: worker.address for worker in workers}
    instances = {
        worker.worker_id: (worker.key.started_ms, worker.draining)
        for worker in workers
    }
    yield KeyedRecord(KNOWN_WORKERS_KEY, orjson.dumps(addresses))
    silent = {
        worker.worker_id: worker.silent_since_ms
        for worker in workers
        if worker.silent_since_ms
    }
    yield KeyedRecord(INSTANCES_KEY, orjson.dumps(instances))
    yield KeyedRecord(SILENT_KEY, orjson.dumps(silent))


def decode_addresses(progress: RecordPage) -> dict[str, str]:
    """Return the address of each recorded worker."""
    addresses: dict[str, str] = _decode(progress, KNOWN_WORKERS_KEY)
    return addresses


def decode_instances(progress: RecordPage) -> dict[str, KnownWorker]:
    """Return the recorded worker instances by worker id."""
    rows = _decode(progress, INSTANCES_KEY)
    silent = _decode(progress, SILENT_KEY)
    return {
        worker_id: KnownWorker(
            WorkerKey(worker_id, started_ms),
            draining,
            int(silent.get(worker_id, 0)),
        )
        for worker_id, (started_ms, draining) in rows.items()
    }


def _decode(progress: RecordPage, key: str) -> dict[str, Any]:
    for record in progress.records:
        if record.key == key and record.payload is not None:
            try:
                fields: dict[str, Any] = orjson.loads(record.payload)
            except ValueError as error:
                logger.warning(
                    'roster_unreadable',
                    extra={'key': key, 'error': str(error)},
                )
                return {}
            return fields
    return {}


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
