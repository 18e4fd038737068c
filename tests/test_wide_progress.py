"""Test that the progress of the widest jobs fits in the records of the store.

Guards against a record above the limit, which the store refuses, and against
parts of a job's progress that are mixed up over owners or never deleted.
"""

import asyncio
import itertools

import orjson
import pytest

from lycheerelay._resources import Resources
from lycheerelay.serving import KeyedRecord, RecordPage, StoreLimits
from lycheerelay.serving._known_workers import (
    decode_addresses,
    decode_instances,
)
from lycheerelay.serving._progress_records import ProgressRecords
from lycheerelay.serving._worker_records import WorkerRecords
from lycheerelay.workflow import (
    MAX_TASKS_PER_STEP,
    CellState,
    JobInfo,
    StepSpec,
    WorkerInfo,
    WorkerKey,
    WorkflowSpec,
    encode_progress,
    restore_progress,
    submit,
)
from lycheerelay.workflow.records import merge_progress, split_progress
from lycheerelay_standins.platform import CellShape, PlatformCell, Shape
from platform_days import job, play, step

LIMITS = StoreLimits()
SMALL_RECORDS = 1500
SMALL = StoreLimits(SMALL_RECORDS)


def _wide_job(cell: CellState, width: int, steps: int = 1) -> JobInfo:
    """Submit a job of which every task was started, every third one is done."""
    shape = StepSpec(width, Resources(100, 100), 3000)
    spec = WorkflowSpec('a', 'q', 'p', '', (shape,) * steps, 3, 2, 5000, 0)
    found = submit(cell, spec, 0)
    for wide in found.occurrences[0]:
        for task in wide.tasks:
            task.last_run = 1 + task.index % 7
            task.assigned_worker = f'{task.index % 50:016x}'
            task.checkpoint = f'{task.index:016x}'
            task.failed_runs.update(dict.fromkeys(range(1, task.last_run)))
            task.done = task.index % 3 == 0
    return found


def _state(found: JobInfo) -> list[tuple[object, ...]]:
    return [
        (
            task.done,
            () if task.done else (task.last_run, task.checkpoint),
            () if task.done else (task.assigned_worker, *task.failed_runs),
        )
        for steps in found.occurrences.values()
        for wide in steps
        for task in wide.tasks
    ]


def _restored(raw: bytes, like: JobInfo) -> JobInfo:
    cell = CellState(2, 0)
    found = submit(cell, like.spec, 0)
    restore_progress(cell, found, raw)
    return found


@pytest.mark.parametrize(
    ('width', 'steps', 'limit'),
    [
        (MAX_TASKS_PER_STEP, 1, LIMITS.payload_bytes),
        (MAX_TASKS_PER_STEP, 3, LIMITS.payload_bytes),
        (400, 7, 9000),
        (30, 90, 7000),
    ],
)
def test_every_record_of_a_wide_job_fits_and_nothing_is_lost(
    width: int, steps: int, limit: int
) -> None:
    before = _wide_job(CellState(1, 0), width, steps)
    raw = encode_progress(before)
    split = split_progress(raw, limit, itertools.count(1))
    assert split.parts
    assert max(map(len, (split.base, *split.parts.values()))) <= limit
    merged = merge_progress(split.base, split.parts.get)
    assert _state(_restored(merged, before)) == _state(before)


def test_an_earlier_version_reads_what_is_done_from_the_base() -> None:
    """It ignores the field `parts` and the records that it names."""
    before = _wide_job(CellState(1, 0), 2000, 2)
    raw = encode_progress(before)
    split = split_progress(raw, 20_000, itertools.count(1))
    found = _restored(split.base, before)
    done = [row[0] for row in _state(found)]
    assert done == [row[0] for row in _state(before)]


def test_progress_that_fits_is_one_record_as_before() -> None:
    raw = encode_progress(_wide_job(CellState(1, 0), 50))
    records = ProgressRecords(LIMITS).encode('a', raw)
    assert records == [KeyedRecord('a', raw)]


class StoreModel:
    """Apply appended records one by one, as far as the owner came."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.newest: dict[str, bytes] = {}

    def apply(self, records: list[KeyedRecord]) -> None:
        """Set or delete the key of each record."""
        for record in records:
            if record.payload is None:
                self.newest.pop(record.key, None)
            else:
                self.newest[record.key] = record.payload

    def take_over(self) -> tuple[ProgressRecords, dict[str, bytes | None]]:
        """Return what the next owner finds."""
        page = RecordPage(
            tuple(KeyedRecord(*item) for item in self.newest.items()), 0
        )
        records = ProgressRecords(SMALL)
        joined = records.join(page)
        return records, {each.key: each.payload for each in joined.records}


def _fields(raw: bytes | None) -> object:
    fields = orjson.loads(raw or b'')
    rows = [
        (occurrence, number, task)
        for occurrence, number, _, tasks in fields.pop('steps')
        for task in tasks
    ]
    return rows, fields


@pytest.mark.parametrize('last', range(30))
def test_a_takeover_finds_the_old_or_the_new_progress(last: int) -> None:
    """Whichever appended record was the last one; the rest is cleaned up."""
    store = StoreModel()
    first = encode_progress(_wide_job(CellState(1, 0), 60))
    second = encode_progress(_wide_job(CellState(1, 0), 90))
    records = ProgressRecords(SMALL)
    store.apply(records.encode('a', first))
    records.confirm(['a'])
    appended = records.encode('a', second)
    store.apply(appended[:last])
    successor, payloads = store.take_over()
    is_new = any(record.key == 'a' for record in appended[:last])
    expected = second if is_new else first
    assert _fields(payloads['a']) == _fields(expected)
    stale = successor.take_stale_keys()
    store.apply([KeyedRecord(key, None) for key in stale])
    assert set(store.newest) == set(successor.keys_of('a'))
    store.apply(successor.encode('a', first))
    successor.confirm(['a'])
    assert _fields(store.take_over()[1]['a']) == _fields(first)
    store.apply(successor.deletions('a'))
    assert not store.newest


def test_a_base_of_an_earlier_version_is_read_without_the_parts() -> None:
    """The parts are left over, and are deleted."""
    store = StoreModel()
    old = ProgressRecords(SMALL)
    store.apply(
        old.encode('a', encode_progress(_wide_job(CellState(1, 0), 90)))
    )
    parts = set(old.keys_of('a')) - {'a'}
    assert parts
    newer = encode_progress(_wide_job(CellState(1, 0), 9))
    store.apply([KeyedRecord('a', newer)])
    successor, payloads = store.take_over()
    assert payloads == {'a': newer}
    assert set(successor.take_stale_keys()) == parts


@pytest.mark.parametrize('kills', [0, 1, 3])
def test_a_wide_job_completes_beside_small_ones(kills: int) -> None:
    """Over owners, with records a hundredth as large as those of the sites."""
    shape = CellShape(
        workers=(Shape('cpu', 30_000),) * 4, record_bytes=SMALL_RECORDS
    )

    async def scenario(cell: PlatformCell) -> None:
        names = []
        for body in (job(step(2)), job(step(110)), job(step(2))):
            name, outcome = await cell.submit('vm-1', body, work_ms=4000)
            assert outcome.status.value == 'ok'
            names.append(name)
        for number in range(kills):
            await asyncio.sleep(0.7)
            keys = cell.store.partition('keyed.progress').newest
            assert number or any(key.startswith('part/') for key in keys)
            owner = cell.owner() or 'vm-0'
            cell.kill_vm(owner)
            cell.start_vm(f'{owner}-{number}')
            await asyncio.sleep(2.5)
        phases = await cell.settle(names, 40)
        assert set(phases.values()) == {'completed'}
        assert cell.store.too_large == 0
        await asyncio.sleep(1)
        left = cell.store.partition('keyed.progress').newest
        assert not [key for key in left if key.startswith('part/')]

    play(scenario, shape)


def test_a_job_that_cannot_be_stored_is_refused_at_once() -> None:
    async def scenario(cell: PlatformCell) -> None:
        body = {**job(step(1)), 'spec': 'x' * 2000}
        before = cell.store.appends['keyed.jobs']
        _, outcome = await cell.submit('vm-0', body)
        assert outcome.status.value == 'never_stored'
        assert 'bytes in the store, which accepts 1244' in outcome.content
        assert cell.store.appends['keyed.jobs'] == before

    play(scenario, CellShape(record_bytes=SMALL_RECORDS))


def _cell_of(addresses: dict[str, str], unlisted: str = '') -> CellState:
    cell = CellState(1, 0)
    for name, address in addresses.items():
        key = WorkerKey(name, 7)
        room = Resources()
        cell.add_worker(WorkerInfo(key, address, 'p', 'r', frozenset(), room))
        cell.workers[key].listed = name != unlisted
    return cell


def _read_workers(store: StoreModel) -> tuple[object, object]:
    page = RecordPage(
        tuple(KeyedRecord(*item) for item in store.newest.items()), 0
    )
    instances = decode_instances(page)
    return decode_addresses(page), {
        name: instances[name].key for name in instances
    }


def test_the_list_of_many_workers_fits() -> None:
    """It is read whole, also after it has shrunk; the first record is old style."""
    addresses = {
        f'{number:016x}': f'10.0.0.1:{number}' for number in range(9000)
    }
    gone = next(reversed(addresses))
    store = StoreModel()
    records = WorkerRecords(LIMITS)
    for count in (9000, 100, 9000):
        few = dict(list(addresses.items())[-count:])
        appended = records.encode(_cell_of(few, gone))
        sizes = [len(record.payload or b'') for record in appended]
        assert max(sizes) <= LIMITS.payload_bytes
        store.apply(appended)
        keys = {name: WorkerKey(name, 7) for name in few}
        assert _read_workers(store) == (few, keys)
        assert gone in orjson.loads(store.newest['workers'])
        page = RecordPage(
            tuple(KeyedRecord(*item) for item in store.newest.items()), 0
        )
        records = WorkerRecords(LIMITS)
        records.note_stored(page)
