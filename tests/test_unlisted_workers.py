"""Test workers whose registrations have expired when an owner takes over.

Guards against counting a crash when such a worker answers the new owner, and so
against giving up jobs whose workers never crashed.
"""

import asyncio

import orjson
import pytest

from lycheerelay._resources import Resources
from lycheerelay.serving import KeyedRecord, RecordPage
from lycheerelay.serving._known_workers import decode_instances
from lycheerelay.workflow import (
    CellState,
    RunTable,
    WorkerKey,
    WorkerListing,
    apply_run_table,
    list_worker,
    unlist_worker,
)
from lycheerelay.workflow.workers import forget_gone_workers
from lycheerelay_standins.platform import CellShape, PlatformCell, Shape
from platform_days import STORE, job, play, step

CELL = CellShape(workers=(Shape('cpu', 8000),) * 6, seed=7)
# The time after which the registration of a silent worker has expired.
EXPIRY_S = 6
# The time after which the leases of a cell without an owner have expired.
LEASE_S = 7
# A waiting service has to run after this time without a fault.
CALM_S = 7


# Earlier versions do not record when the workers started, and an owner that no
# worker has answered does not know it.
INSTANCES = pytest.mark.parametrize(
    'instances', ['recorded', 'missing', 'unknown']
)


async def _take_over_without_registrations(
    cell: PlatformCell, instances: str
) -> None:
    """Restart every entry VM while no worker is registered."""
    cuts = {(worker, STORE) for worker in cell.workers}
    cell.net.cuts.update(cuts)
    await asyncio.sleep(EXPIRY_S)
    names = sorted(cell.entries)
    for vm in names:
        cell.kill_vm(vm)
    await asyncio.sleep(LEASE_S)
    if instances == 'missing':
        cell.store.drop('keyed.progress', 'instances')
    elif instances == 'unknown':
        unknown = dict.fromkeys(cell.workers, (0, False))
        cell.store.put('keyed.progress', 'instances', unknown)
    for vm in names:
        cell.start_vm(vm)
    await asyncio.sleep(4)
    cell.net.cuts.difference_update(cuts)
    await asyncio.sleep(2)


@INSTANCES
def test_a_job_is_not_given_up_after_takeovers_without_registrations(
    instances: str,
) -> None:
    """Its runs lapse each time, and no worker crashes."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(3)), work_ms=12_000)
        for _ in range(5):
            await _take_over_without_registrations(cell, instances)
        assert await cell.settle([name], 20) == {name: 'completed'}

    play(scenario, CELL)


@INSTANCES
def test_services_are_back_after_takeovers_without_registrations(
    instances: str,
) -> None:
    """They do not wait for trials, as no worker has crashed."""

    async def scenario(cell: PlatformCell) -> None:
        names = []
        for _ in range(24):
            body = job(step(1, longRunning=True))
            name, _ = await cell.submit('vm-0', body)
            names.append(name)
        for _ in range(2):
            await _take_over_without_registrations(cell, instances)
        await asyncio.sleep(CALM_S)
        running = {
            task.partition('.')[0]
            for worker in cell.workers.values()
            for task, _ in worker.runs
        }
        assert running == set(names)

    play(scenario, CELL)


def test_runs_outlast_a_silence_that_an_earlier_version_left_recorded() -> None:
    """It had the workers back, and does not know the record of silent ones."""

    async def scenario(cell: PlatformCell) -> None:
        for _ in range(6):
            await cell.submit('vm-0', job(step(1, longRunning=True)))
        await asyncio.sleep(3)
        cell.net.cuts.update({(worker, STORE) for worker in cell.workers})
        await asyncio.sleep(EXPIRY_S)
        silent = dict.fromkeys(cell.workers, cell.now_ms() - 100_000)
        cell.store.put('keyed.progress', 'silent_workers', silent)
        cell.kill_vm(cell.owner())
        await asyncio.sleep(LEASE_S + 5)
        assert {len(runs) for runs in cell.audit.runs.values()} == {1}
        assert sum(len(worker.runs) for worker in cell.workers.values()) == 6

    play(scenario, CELL)


IDENTIFIED = WorkerKey('w-1', 500)


def _identify_worker(draining: bool = False) -> CellState:
    """Return a cell whose worker was listed without its start, and has answered."""
    cell = CellState(fence=1, previous_orders_expire_ms=0)
    cell.loaded = True
    list_worker(cell, _listing(WorkerKey('w-1'), draining), 0)
    unlist_worker(cell, 'w-1')
    apply_run_table(cell, RunTable(IDENTIFIED, 100, 100, (), ()), 100)
    return cell


def _listing(key: WorkerKey, draining: bool = False) -> WorkerListing:
    labels: frozenset[str] = frozenset()
    size = Resources(4000, 4000)
    return WorkerListing(
        key, 'w-1:80', 'pool', 'a', 'r1', labels, size, draining
    )


def test_a_worker_that_is_back_is_not_taken_for_a_draining_one() -> None:
    """An earlier version has recorded its drain, but not its start."""
    cell = _identify_worker(draining=True)
    list_worker(cell, _listing(IDENTIFIED), 200)
    assert not cell.workers[IDENTIFIED].draining


def test_a_forgotten_worker_is_taken_in_without_its_start() -> None:
    """Its registrations never tell when it started."""
    cell = _identify_worker()
    for now_ms in range(10_000, 800_000, 10_000):
        forget_gone_workers(cell, now_ms)
    assert not cell.instances
    list_worker(cell, _listing(WorkerKey('w-1')), 800_000)
    assert cell.instances


def test_parts_of_a_list_do_not_override_its_first_record() -> None:
    """An owner of an earlier version replaces the first record alone."""
    rows = {'instances': (2, False), 'instances/1': (1, False)}
    records = tuple(
        KeyedRecord(key, orjson.dumps({'w-1': row}))
        for key, row in rows.items()
    )
    page = RecordPage(records, 0)
    assert decode_instances(page)['w-1'].key.started_ms == 2
