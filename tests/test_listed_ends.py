"""Test workers that have more ends to list than one answer holds.

Guards against tasks that run again because their ends are on a later page.
"""

import asyncio

import pytest

from lycheerelay.workflow import JobPhase, WorkerKey
from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    Shape,
    _network,
)
from platform_days import STORE, job, play, step
from workflow_session_files import Stage

# Room for all tasks on one worker, and another worker to start them again on.
SHAPE = Shape('cpu', cores_milli=100_000, memory_mb=1_000_000)
CELL = CellShape(workers=(SHAPE,) * 2)
TASKS_PER_JOB = 100
WORK_MS = 2500
COUNTS = pytest.mark.parametrize('count', [499, 500, 501, 5000])


@pytest.fixture(autouse=True)
def short_latency(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let 5,000 starts reach one worker, in turns, before the first task ends."""
    monkeypatch.setattr(_network, 'ONE_WAY_LATENCY_MS', 0.1)


async def _start_tasks(cell: PlatformCell, count: int) -> list[str]:
    """Run that many tasks on the first worker until they are all at work."""
    cell.net.cuts.update({('*', 'w-2'), ('w-2', STORE)})
    await asyncio.sleep(8)
    names = []
    for first in range(0, count, TASKS_PER_JOB):
        tasks = step(min(TASKS_PER_JOB, count - first), cpu=10, memMb=1)
        name, _ = await cell.submit('vm-0', job(tasks), work_ms=WORK_MS)
        names.append(name)
    cell.net.cuts.clear()
    await asyncio.sleep(1.5)
    assert cell.workers['w-1'].starts == count
    return names


async def _check_single_runs(cell: PlatformCell, names: list[str]) -> None:
    states = await cell.settle(names, 20)
    assert set(states.values()) == {'completed'}
    assert {len(runs) for runs in cell.audit.runs.values()} == {1}


@COUNTS
def test_no_done_task_runs_again_after_an_outage(count: int) -> None:
    """All tasks end while their ends cannot be recorded."""

    async def scenario(cell: PlatformCell) -> None:
        names = await _start_tasks(cell, count)
        cell.net.refusing.add(('*', STORE))
        await asyncio.sleep(4)
        assert len(cell.workers['w-1'].ended) == count
        cell.net.refusing.clear()
        await _check_single_runs(cell, names)

    play(scenario, CELL)


@COUNTS
def test_no_done_task_runs_again_after_a_takeover(count: int) -> None:
    """The next owner learns of the ends page by page."""

    async def scenario(cell: PlatformCell) -> None:
        names = await _start_tasks(cell, count)
        owner = cell.owner()
        cell.net.refusing.add(('*', STORE))
        await asyncio.sleep(2)
        assert len(cell.workers['w-1'].ended) == count
        cell.kill_vm(owner)
        cell.net.refusing.clear()
        cell.start_vm(owner)
        await _check_single_runs(cell, names)

    play(scenario, CELL)


def _stage_after_takeover() -> Stage:
    """Return a cell of two workers, one of which may have ended the task."""
    stage = Stage()
    for line in (
        'worker w1 {"cores_milli": 4000}',
        'worker w2 {"cores_milli": 4000}',
        'job {"job_id": "a1", "steps": [{"width": 1, "expected_ms": 500, '
        '"cores_milli": 1000}]}',
    ):
        stage.play(f'0 {line}')
    cell = stage.cell
    cell.loaded = True
    cell.previous_orders_expire_ms = 8000
    task = cell.jobs['a1'].occurrences[0][0].tasks[0]
    task.assigned_worker, task.last_run = 'w1', 1
    cell.workers[WorkerKey('w1')].synced = False
    cell.unsynced_workers['w1'] = None
    return stage


def _has_started(stage: Stage, at_ms: int) -> bool:
    for line in ('poll w2 {}', 'check', 'dispatch'):
        stage.play(f'{at_ms} {line}')
    return bool(stage.cell.workers[WorkerKey('w2')].runs)


def test_a_worker_with_more_ends_is_waited_for_while_it_answers() -> None:
    """The store may be away until the orders of the owner before are over."""
    stage = _stage_after_takeover()
    for at_ms in range(100, 12_000, 1000):
        stage.play(f'{at_ms} poll w1 {{"all_ends": false}}')
        assert not _has_started(stage, at_ms)
    stage.play('12000 poll w1 {"ends": [[7, "a1.0.0.0#1", "done", ""]]}')
    assert stage.cell.jobs['a1'].phase is JobPhase.COMPLETED
    assert not stage.cell.unsynced_workers


def test_a_silent_worker_with_more_ends_is_waited_for_as_any_other() -> None:
    """Its ends count no more once its leases have expired."""
    stage = _stage_after_takeover()
    stage.play('7000 poll w1 {"all_ends": false}')
    assert not _has_started(stage, 12_900)
    assert _has_started(stage, 13_100)
