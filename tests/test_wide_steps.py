"""Test that a step of thousands of tasks holds up neither its owner nor others.

Replays jobs that are as wide as a pool on a slow machine. Guards against work on
the event loop that takes longer than the ownership lasts without a renewal, so that
each owner in turn loses the cell before it has started anything.
"""

import asyncio
from collections.abc import Callable
from contextvars import Context

import orjson
import pytest
from result import Err, Ok

from lycheerelay._codec import Json
from lycheerelay._job_document import read_document
from lycheerelay._resources import Resources
from lycheerelay.platform import decode_job
from lycheerelay.serving import _owner
from lycheerelay.serving._owner import CYCLE_PAUSE_FACTOR
from lycheerelay.workflow import (
    MAX_TASKS_PER_JOB,
    MAX_TASKS_PER_STEP,
    CellState,
    QueuePolicy,
    StepSpec,
    WorkerKey,
    WorkerListing,
    WorkflowSpec,
    dispatch,
    list_worker,
    submit,
)
from lycheerelay.workflow._pool_cycle import MAX_STARTS_PER_CYCLE
from lycheerelay_standins.platform import (
    CellShape,
    FreezableLoop,
    PlatformCell,
    Shape,
)
from lycheerelay_standins.platform._freezing import PROCESS
from platform_days import job, play, step

POOL = 'pool'
ROOM = 10_000
# Processor time that a start takes on a very slow machine.
SLOW_START_S = 0.0005
SLOW_PAUSE_S = CYCLE_PAUSE_FACTOR * MAX_STARTS_PER_CYCLE * SLOW_START_S


def _cell(room: int, pools: tuple[str, ...] = (POOL,)) -> CellState:
    """Return a cell with two workers in each pool."""
    cell = CellState(fence=1, previous_orders_expire_ms=0)
    cell.loaded = True
    for pool in pools:
        for number in range(2):
            key = WorkerKey(f'{pool}-{number}')
            capacity = Resources(100 * room // 2, 100 * room // 2)
            listing = WorkerListing(
                key, 'w:80', pool, 'a', 'r1', frozenset(), capacity, False
            )
            list_worker(cell, listing, 0)
            cell.workers[key].enrolled = True
            cell.workers[key].synced = True
    return cell


def _submit(
    cell: CellState, name: str, width: int, offset: int, pool: str = POOL
) -> str:
    shape = StepSpec(width, Resources(100, 100), 500)
    spec = WorkflowSpec(name, 'q', pool, 'x', (shape,), 3, 2.0, 1000, offset)
    submit(cell, spec, offset)
    return name


def _count_started(cell: CellState, name: str) -> int:
    (wide,) = cell.jobs[name].occurrences[0]
    return len(wide.tasks) - len(wide.waiting)


def _start_all(cell: CellState) -> list[int]:
    """Return how many tasks each cycle starts until one is finished."""
    counts = [dispatch(cell, 0)]
    while cell.dispatch_unfinished:
        counts.append(dispatch(cell, 0))
    return counts


def test_a_wide_step_is_started_over_several_cycles() -> None:
    """One cycle for all of it lasted longer than the ownership does."""
    cell = _cell(ROOM)
    _submit(cell, 'wide', 9000, 0)
    counts = _start_all(cell)
    assert max(counts) <= MAX_STARTS_PER_CYCLE
    assert sum(counts) == 9000
    again = _start_all(cell)
    assert again == [0]


def test_many_narrow_steps_are_started_over_several_cycles() -> None:
    cell = _cell(ROOM)
    for number in range(999):
        _submit(cell, f'{number:016x}', 2, number)
    counts = _start_all(cell)
    assert max(counts) <= MAX_STARTS_PER_CYCLE
    assert sum(counts) == 1998


def test_a_later_step_takes_no_capacity_of_a_wide_one() -> None:
    """The order of the steps holds over the cycles of a wide one."""
    cell = _cell(MAX_STARTS_PER_CYCLE + 100)
    wide = _submit(cell, 'wide', MAX_STARTS_PER_CYCLE + 200, 0)
    later = _submit(cell, 'later', 50, 1)
    counts = _start_all(cell)
    started = [_count_started(cell, name) for name in (wide, later)]
    assert counts == [MAX_STARTS_PER_CYCLE, 100]
    assert started == [MAX_STARTS_PER_CYCLE + 100, 0]


def test_another_pool_follows_in_the_next_cycles() -> None:
    cell = _cell(ROOM, (POOL, 'other'))
    _submit(cell, 'wide', 900, 0)
    small = _submit(cell, 'small', 2, 1, 'other')
    counts = _start_all(cell)
    started = _count_started(cell, small)
    assert sum(counts) == 902
    assert started == 2


def test_a_job_of_too_many_tasks_is_refused_at_once() -> None:
    """Opening it would use up the memory of each owner in turn."""
    wide = step(MAX_TASKS_PER_STEP)
    policy = QueuePolicy('batch', 'cpu', 3, 2, 1000)
    accepted = decode_job(orjson.dumps(job(*[wide] * 3)), 'a', policy, 0)
    assert isinstance(accepted, Ok)
    refused = decode_job(orjson.dumps(job(*[wide] * 4)), 'a', policy, 0)
    assert refused == Err('steps: 40000 tasks, at most 30000')


def test_a_document_of_too_many_tasks_names_the_limit() -> None:
    wide: Json = {'width': MAX_TASKS_PER_STEP, 'expected_ms': 500}
    body: Json = {'job_id': 'a' * 16, 'queue': 'q', 'steps': [wide] * 4}
    error = read_document(body).err()
    assert error is not None
    assert error.expected == f'at most {MAX_TASKS_PER_JOB}'


def _slow_down(cell: PlatformCell) -> Callable[[CellState, int], int]:
    """Suspend the VM that starts tasks for as long as a slow one needs."""

    def decide(state: CellState, now_ms: int) -> int:
        started = dispatch(state, now_ms)
        if started:
            owner = PROCESS.get()
            cell.freeze_vm(owner)
            asyncio.get_running_loop().call_later(
                started * SLOW_START_S, cell.thaw_vm, owner, context=Context()
            )
        return started

    return decide


def test_an_owner_keeps_the_cell_while_it_starts_a_wide_step(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The jobs beside it complete, and no other VM claims the ownership."""

    async def scenario(cell: PlatformCell) -> None:
        monkeypatch.setattr(_owner, 'dispatch', _slow_down(cell))
        # The clock of a suspended VM does not show how long a cycle took.
        monkeypatch.setattr(_owner, 'CYCLE_DELAY_S', SLOW_PAUSE_S)
        owner = cell.owner()
        wide = job(step(3000, cpu=100, estimatedMs=3000))
        names = [(await cell.submit('vm-0', wide, work_ms=3000))[0]]
        await asyncio.sleep(3)
        assert cell.owner() == owner
        outcome = await cell.submit('vm-1', job(step(2)), work_ms=500)
        names.append(outcome[0])
        phases = await cell.settle(names, 40)
        assert set(phases.values()) == {'completed'}
        assert cell.owner() == owner

    shape = CellShape(vms=2, workers=(Shape('cpu', 128_000, 524_288),) * 8)
    play(scenario, shape, FreezableLoop())
