"""Test workers that leave for good, and some that come back after a long cut.

Guards against an owner that is busy with workers that are gone, and against tasks
that run twice because a worker was forgotten too early.
"""

import asyncio
import json
from typing import Any

import pytest

from lycheerelay.serving import Reply
from lycheerelay.workflow import RunKey, TaskKey, WorkerInfo, WorkerKey
from lycheerelay.workflow.workers import forget_gone_workers
from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    Request,
    Shape,
    WorkerStandIn,
)
from platform_days import STORE, job, play, step
from workflow_session_files import Stage

CELL = CellShape(vms=2, workers=(Shape('cpu', 4000),) * 4, seed=5)
# Longest time after which a worker that is gone is forgotten.
FORGOTTEN_S = 320


def _count_calls(cell: PlatformCell, worker: WorkerStandIn) -> list[str]:
    """Return a list to which each later call of the worker is added."""
    calls: list[str] = []

    async def handle(request: Request) -> Reply:
        calls.append(request.path)
        return await worker.handle(request)

    address = cell.addresses[worker.worker_id]
    cell.net.listen(address, worker.worker_id, handle)
    return calls


def _known_workers(cell: PlatformCell) -> set[str]:
    """Return the workers in the record and those that the owner knows."""
    recorded = cell.store.topics['keyed.progress'].newest['workers'][1]
    handler = cell.entries[cell.owner()].handler
    return set(json.loads(recorded)) | set(handler.owner.cell.instances)


def test_a_worker_that_is_gone_is_polled_less_and_less() -> None:
    """The others are served as before."""

    async def scenario(cell: PlatformCell) -> None:
        worker = cell.workers['w-1']
        cell.crash_worker(worker)
        await asyncio.sleep(10)
        calls = _count_calls(cell, worker)
        await asyncio.sleep(60)
        assert 2 <= len(calls) < 12
        name, _ = await cell.submit('vm-0', job(step(6)))
        assert await cell.settle([name], 10) == {name: 'completed'}

    play(scenario, CELL)


def test_a_worker_that_is_gone_is_forgotten_over_a_takeover() -> None:
    """The time goes on under the next owner, and the record forgets it too."""

    async def scenario(cell: PlatformCell) -> None:
        cell.crash_worker(cell.workers['w-1'])
        await asyncio.sleep(FORGOTTEN_S / 2)
        assert 'w-1' in _known_workers(cell)
        cell.kill_vm(cell.owner())
        await asyncio.sleep(FORGOTTEN_S / 2)
        assert _known_workers(cell) == {'w-2', 'w-3', 'w-4'}

    play(scenario, CELL)


def test_a_worker_is_welcome_after_a_long_cut() -> None:
    """It is the same process as before, and what it ran started elsewhere."""

    async def scenario(cell: PlatformCell) -> None:
        body = job(step(12, longRunning=True))
        await cell.submit('vm-0', body)
        await asyncio.sleep(2)
        assert cell.workers['w-1'].runs
        cut = {('*', 'w-1'), ('w-1', STORE)}
        cell.net.cuts.update(cut)
        await asyncio.sleep(FORGOTTEN_S)
        assert 'w-1' not in _known_workers(cell)
        cell.net.cuts.difference_update(cut)
        name, _ = await cell.submit('vm-0', job(step(4)), work_ms=3000)
        assert await cell.settle([name], 10) == {name: 'completed'}
        assert 'w-1' in _known_workers(cell)
        runs = cell.audit.runs[f'{name}.0.0.0']
        assert [run.worker for run in runs] == ['w-1']

    play(scenario, CELL)


def _gone_worker(stage: Stage, at_ms: int) -> WorkerInfo:
    """Return a worker that has been gone for long when an owner takes over."""
    stage.play(f'{at_ms} worker w1 {{"cores_milli": 4000}}')
    stage.cell.loaded = True
    worker = stage.cell.workers[WorkerKey('w1')]
    worker.listed = False
    worker.synced = False
    worker.lease_until_ms = 0
    worker.silent_since_ms = 1
    return worker


def test_a_new_owner_waits_for_a_worker_itself() -> None:
    """The time in the record is that of another clock."""
    stage = Stage()
    _gone_worker(stage, 900_000)
    assert forget_gone_workers(stage.cell, 929_000) == 0
    assert forget_gone_workers(stage.cell, 931_000) == 1
    assert not stage.cell.workers
    assert not stage.cell.instances


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('lease_until_ms', 932_000),
        ('has_more_ends', True),
        ('listed', True),
        ('last_contact_ms', 930_000),
        (
            'unconfirmed_starts',
            {RunKey(TaskKey('a1', 0, 0, 0), 1): 920_000},
        ),
    ],
)
def test_a_worker_is_kept_while_it_may_run_something(
    field: str, value: Any
) -> None:
    """Leases, unlisted ends, late orders and signs of life keep it."""
    stage = Stage()
    worker = _gone_worker(stage, 900_000)
    setattr(worker, field, value)
    forget_gone_workers(stage.cell, 931_000)
    assert stage.cell.workers


def test_a_forgotten_worker_is_taken_in_again() -> None:
    """An instance with the same start is not taken for one that has ended."""
    stage = Stage()
    _gone_worker(stage, 900_000)
    forget_gone_workers(stage.cell, 931_000)
    stage.play('932000 worker w1 {"cores_milli": 4000}')
    stage.play('932000 poll w1 {}')
    stage.play(
        '932000 job {"job_id": "a1", "steps": [{"width": 1, '
        '"expected_ms": 500, "cores_milli": 1000}]}'
    )
    stage.play('932000 dispatch')
    assert stage.cell.workers[WorkerKey('w1')].runs


@pytest.mark.parametrize('cut_s', [4.2, 4.5, 4.8])
def test_runs_outlast_a_cut_that_is_shorter_than_their_leases(
    cut_s: float,
) -> None:
    """The worker is polled at once, although its registration has expired."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(16)), work_ms=12_000)
        await asyncio.sleep(2)
        worker = cell.workers['w-1']
        cut = {('*', 'w-1'), ('w-1', STORE)}
        cell.net.cuts.update(cut)
        await asyncio.sleep(cut_s)
        assert worker.runs
        cell.net.cuts.difference_update(cut)
        assert await cell.settle([name], 20) == {name: 'completed'}
        assert {len(runs) for runs in cell.audit.runs.values()} == {1}

    play(scenario, CELL)
