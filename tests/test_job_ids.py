"""Test that the id of a job is never taken for a record of the owner.

Replays jobs whose ids are the keys of the owner's own records. Guards against progress
that is read as a list of workers, and so ends each term, and against a list or a fence
number that overwrites the progress of a job.
"""

import asyncio
import json

import pytest

from lycheerelay.serving._known_workers import (
    decode_addresses,
    decode_instances,
)
from lycheerelay.serving._ports import KeyedRecord, RecordPage, StoreLimits
from lycheerelay.serving._progress_keys import (
    INSTANCES_KEY,
    KNOWN_WORKERS_KEY,
    LIST_KEYS,
    OWNER_KEYS,
    job_id_of,
    progress_key,
)
from lycheerelay.serving._progress_records import ProgressRecords
from lycheerelay_standins.platform import PlatformCell
from platform_days import job, play, step


@pytest.mark.parametrize('name', sorted(OWNER_KEYS))
def test_a_job_named_as_a_record_of_the_owner_ends_no_takeover(
    name: str,
) -> None:
    """Each owner that read the record of the job lost its term."""

    async def scenario(cell: PlatformCell) -> None:
        await cell.submit('vm-0', job(step(2)), job_id=name)
        assert await cell.settle([name], 10) == {name: 'completed'}
        running, _ = await cell.submit(
            'vm-0', job(step(4, estimatedMs=6000)), work_ms=6000
        )
        await asyncio.sleep(1)
        for _ in range(2):
            cell.kill_vm(cell.owner())
            await asyncio.sleep(3)
        later, _ = await cell.submit(sorted(cell.entries)[0], job(step(2)))
        names = [name, running, later]
        phases = await cell.settle(names, 20)
        assert set(phases.values()) == {'completed'}

    play(scenario)


def test_no_job_has_the_key_of_a_record_of_the_owner() -> None:
    keys = {progress_key(name) for name in OWNER_KEYS}
    assert keys.isdisjoint(OWNER_KEYS)
    assert {job_id_of(key) for key in keys} == OWNER_KEYS
    assert progress_key('0' * 16) == '0' * 16


def test_parts_of_the_progress_are_found_again() -> None:
    records = ProgressRecords(StoreLimits(1000, 100_000))
    rows = [[0, number, '0', []] for number in range(200)]
    raw = json.dumps({'phase': 'running', 'steps': rows}).encode()
    encoded = records.encode(KNOWN_WORKERS_KEY, raw)
    page = RecordPage(tuple(encoded), 0)
    other = ProgressRecords(StoreLimits(1000, 100_000))
    (joined,) = other.join(page).records
    assert joined.key == progress_key(KNOWN_WORKERS_KEY)
    assert json.loads(joined.payload or b'')['steps'] == rows
    assert other.keys_of(KNOWN_WORKERS_KEY) == records.keys_of(
        KNOWN_WORKERS_KEY
    )


@pytest.mark.parametrize(
    'payload',
    [
        b'{"phase": "completed", "why": "every task is done"}',
        b'[1, 2]',
        b'3',
        b'{',
        b'{"w-0": [1], "w-1": ["x", true], "w-2": null}',
    ],
)
def test_a_list_of_workers_that_cannot_be_read_ends_no_takeover(
    payload: bytes,
) -> None:
    """Earlier versions keep the progress of a job there."""
    page = RecordPage(tuple(KeyedRecord(key, payload) for key in LIST_KEYS), 0)
    assert decode_instances(page) == {}
    assert all(
        isinstance(address, str) for address in decode_addresses(page).values()
    )
    good = RecordPage((KeyedRecord(INSTANCES_KEY, b'{"w": [7, false]}'),), 0)
    assert decode_instances(good)['w'].key.started_ms == 7
