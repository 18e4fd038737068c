"""Test that the ends of many runs on few workers do not use up the owner.

Replays the cancelling of a wide job. Guards against polls that return with each end
and list all other runs, so that the stops of a cancelled job wait for the owner's
processor and its tasks run on after the time that callers were promised.
"""

import asyncio
from collections.abc import Callable
from contextvars import Context

import pytest

from lycheerelay.serving import _worker_poller
from lycheerelay.serving._poll_pace import (
    FREE_ROWS,
    MAX_DELAY_MS,
    MAX_STOPPING_DELAY_MS,
    PollPace,
)
from lycheerelay.workflow import CellState, RunTable, apply_run_table
from lycheerelay_standins.platform import (
    CellShape,
    FreezableLoop,
    PlatformCell,
    Shape,
)
from lycheerelay_standins.platform._freezing import PROCESS
from platform_days import job, play, step

WORKERS = 4
TASKS = 2000
WORK_MS = 200_000
# Processor time for one row of a reply on a VM with 0.4 of a core.
SLOW_ROW_S = 0.00002
# `cancel_ms` and `stopTimeoutMs` of the sites.
BOUND_S = 3.0 + 0.9


def _running(cell: PlatformCell) -> int:
    return sum(len(worker.runs) for worker in cell.workers.values())


def _slow_down(
    cell: PlatformCell,
) -> Callable[[CellState, RunTable, int], bool]:
    """Suspend the VM that applies a table for as long as a slow one needs."""

    def apply(state: CellState, table: RunTable, now_ms: int) -> bool:
        owner = PROCESS.get()
        cell.freeze_vm(owner)
        asyncio.get_running_loop().call_later(
            len(table.rows) * SLOW_ROW_S,
            cell.thaw_vm,
            owner,
            context=Context(),
        )
        return apply_run_table(state, table, now_ms)

    return apply


def test_the_tasks_of_a_cancelled_wide_job_do_not_run_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each of their ends returned a poll that listed all others."""

    async def scenario(cell: PlatformCell) -> None:
        body = job(step(TASKS, cpu=100, memMb=1, estimatedMs=WORK_MS))
        name, _ = await cell.submit('vm-0', body, work_ms=WORK_MS)
        await asyncio.sleep(8)
        assert _running(cell) == TASKS
        patched = _slow_down(cell)
        monkeypatch.setattr(_worker_poller, 'apply_run_table', patched)
        await cell.cancel('vm-0', name)
        await asyncio.sleep(BOUND_S)
        assert _running(cell) == 0

    shape = CellShape(vms=2, workers=(Shape('cpu', 128_000),) * WORKERS)
    play(scenario, shape, FreezableLoop())


def test_polls_of_few_runs_are_not_delayed() -> None:
    pace = PollPace()
    for _ in range(1000):
        pace.charge(FREE_ROWS, 0)
    assert pace.delay_ms(0) == 0


def test_the_delay_of_a_poll_is_bounded() -> None:
    """The capacity of runs that have ended is idle until it."""
    pace = PollPace()
    pace.charge(100_000, 0)
    assert pace.delay_ms(0) == MAX_DELAY_MS


def test_polls_of_a_stopping_worker_may_wait_longer() -> None:
    """The capacity of its runs is not wanted as soon as they end."""
    pace = PollPace()
    pace.charge(100_000, 0)
    assert pace.delay_ms(0, is_stopping=True) == MAX_STOPPING_DELAY_MS


def test_ends_are_acknowledged_after_long_delays_of_polls() -> None:
    """An answer that is older says nothing of the instance that is polled."""

    async def scenario(cell: PlatformCell) -> None:
        body = job(step(TASKS, cpu=100, memMb=1, estimatedMs=WORK_MS))
        name, _ = await cell.submit('vm-0', body, work_ms=WORK_MS)
        await asyncio.sleep(8)
        owner = cell.entries[cell.owner()].handler.owner
        assert owner is not None
        owner.context.poll_pace.used_until_ms = cell.clock.now_ms() + 60_000
        await cell.cancel('vm-0', name)
        await asyncio.sleep(BOUND_S)
        assert _running(cell) == 0
        await asyncio.sleep(3)
        assert not any(worker.ended for worker in cell.workers.values())

    shape = CellShape(vms=2, workers=(Shape('cpu', 128_000),) * WORKERS)
    play(scenario, shape)
