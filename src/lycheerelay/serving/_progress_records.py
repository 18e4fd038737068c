"""Know the records in which the progress of each job is kept.

The progress of a job is the record under its key, the base, and the parts that it
names, under keys of their own. New parts get numbers that the store may not have,
and are appended before the base that names them, so that the base replaces all of
them at once. Parts that it no longer names are deleted after it.
"""

import logging
from collections.abc import Collection, Iterable
from functools import partial
from itertools import count
from typing import Final, final

from ..workflow.records import merge_progress, part_numbers, split_progress
from ._ports import KeyedRecord, RecordPage, StoreLimits
from ._progress_keys import OWNER_KEYS, job_id_of, progress_key

logger = logging.getLogger('lycheerelay.recorder')

PART_PREFIX: Final = 'part/'


def part_key(job_id: str, number: int) -> str:
    """Return the key of a part of a job's progress."""
    return f'{PART_PREFIX}{job_id}/{number}'


@final
class ProgressRecords:
    """Encode the progress of jobs as records, and join what was read."""

    def __init__(self, limits: StoreLimits) -> None:
        """Start with an empty store."""
        self.limits = limits
        # Numbers of the parts that the store may have, by job.
        self.numbers: dict[str, frozenset[int]] = {}
        self.encoded: dict[str, frozenset[int]] = {}
        self.stale_keys: list[str] = []

    def keys_of(self, job_id: str) -> tuple[str, ...]:
        """Return every key under which the store may have a job's progress."""
        numbers = sorted(self.numbers.get(job_id, ()))
        return (
            progress_key(job_id),
            *(part_key(job_id, number) for number in numbers),
        )

    def deletions(self, job_id: str) -> list[KeyedRecord]:
        """Return the records that delete a job's progress, the parts last."""
        keys = self.keys_of(job_id)
        self.numbers.pop(job_id, None)
        return [KeyedRecord(key, None) for key in keys]

    def encode(self, job_id: str, raw: bytes) -> list[KeyedRecord]:
        """Return the records that replace a job's progress, in their order."""
        known = self.numbers.get(job_id, frozenset())
        unused = (number for number in count(1) if number not in known)
        split = split_progress(raw, self.limits.payload_bytes, unused)
        records = [
            KeyedRecord(part_key(job_id, number), payload)
            for number, payload in split.parts.items()
        ]
        records.append(KeyedRecord(progress_key(job_id), split.base))
        records.extend(
            KeyedRecord(part_key(job_id, number), None)
            for number in sorted(known)
        )
        if split.parts or known:
            self.numbers[job_id] = known.union(split.parts)
            self.encoded[job_id] = frozenset(split.parts)
        return records

    def confirm(self, job_ids: Collection[str]) -> None:
        """Note that the records encoded last for these jobs are stored."""
        for job_id in job_ids:
            numbers = self.encoded.pop(job_id, None)
            if numbers is not None:
                self.numbers[job_id] = numbers
            if not self.numbers.get(job_id, True):
                self.numbers.pop(job_id)

    def join(self, page: RecordPage) -> RecordPage:
        """Return the page with each job's progress in one record.

        Parts that no base names are left over from an append that did not come
        to its end, or an earlier version has replaced their base. They are
        deleted with the next append.
        """
        payloads = {
            record.key: record.payload
            for record in page.records
            if record.payload is not None
        }
        used: set[str] = set()
        joined = []
        for record in page.records:
            if record.key.startswith(PART_PREFIX):
                continue
            numbers = _numbers_of(record)
            if numbers:
                job_id = job_id_of(record.key)
                self.numbers[job_id] = frozenset(numbers)
                used.update(part_key(job_id, each) for each in numbers)
                record = _join(record, payloads)
            joined.append(record)
        self.stale_keys = _unused_parts(payloads, used)
        return page._replace(records=tuple(joined))

    def take_stale_keys(self) -> list[str]:
        """Return the keys of the parts that are not used, and forget them."""
        keys = self.stale_keys
        self.stale_keys = []
        return keys


def _unused_parts(keys: Iterable[str], used: set[str]) -> list[str]:
    return [
        key for key in keys if key.startswith(PART_PREFIX) and key not in used
    ]


def _numbers_of(record: KeyedRecord) -> tuple[int, ...]:
    if record.key in OWNER_KEYS:
        return ()
    try:
        return part_numbers(record.payload or b'')
    except (ValueError, TypeError, AttributeError):
        # Restoring the record reports it.
        return ()


def _join(record: KeyedRecord, payloads: dict[str, bytes]) -> KeyedRecord:
    find = partial(_find_part, payloads, job_id_of(record.key))
    try:
        return record._replace(
            payload=merge_progress(record.payload or b'', find)
        )
    except (ValueError, TypeError, AttributeError) as error:
        logger.error(
            'record_unreadable',
            extra={'job': record.key, 'error': str(error)},
        )
        return record


def _find_part(
    payloads: dict[str, bytes], job_id: str, number: int
) -> bytes | None:
    payload = payloads.get(part_key(job_id, number))
    if payload is None:
        logger.error(
            'progress_part_missing', extra={'job': job_id, 'part': number}
        )
    return payload
