"""Test tasks that crash the workers that start them.

Guards against one task that takes down worker after worker, and against giving
up tasks that only shared a worker with it.
"""

import asyncio
from typing import Any

import pytest

from lycheerelay.serving import Reply
from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    Shape,
    WorkerStandIn,
)
from platform_days import STORE, job, play, step

CELL = CellShape(workers=(Shape('cpu', 8000),) * 6, seed=7)
KEEPS_IDS = pytest.mark.parametrize('keeps_ids', [False, True])


async def _submit(
    cell: PlatformCell, *steps: dict[str, Any], **fields: Any
) -> str:
    vm = sorted(cell.entries)[0]
    name, outcome = await cell.submit(vm, job(*steps), **fields)
    assert outcome.status.value == 'ok'
    return name


async def _submit_load(cell: PlatformCell, count: int) -> list[str]:
    names = []
    for _ in range(count):
        names.append(await _submit(cell, step(5), work_ms=400))
        await asyncio.sleep(0.15)
    return names


def _most_starts(cell: PlatformCell, name: str) -> int:
    return max(
        len(runs)
        for task, runs in cell.audit.runs.items()
        if task.startswith(name)
    )


@KEEPS_IDS
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_a_task_that_crashes_its_workers_is_given_up(
    keeps_ids: bool, seed: int
) -> None:
    """Other tasks that were on the same workers are finished."""

    async def scenario(cell: PlatformCell) -> None:
        names = await _submit_load(cell, 5)
        deadly = [
            await _submit(cell, step(4), deadly={'0.0'}),
            await _submit(cell, step(3), step(3, after=[0]), deadly={'1.2'}),
        ]
        names += await _submit_load(cell, 20)
        phases = await cell.settle(names + deadly, 40)
        assert {phases[name] for name in names} == {'completed'}
        assert {phases[name] for name in deadly} == {'failed'}

    play(scenario, CELL._replace(keeps_ids=keeps_ids, seed=seed))


@KEEPS_IDS
@pytest.mark.parametrize('kills', [1, 2, 3])
def test_starts_stay_bounded_while_owners_change(
    keeps_ids: bool, kills: int
) -> None:
    """The crashes under a task are counted over owners and restarts."""

    async def scenario(cell: PlatformCell) -> None:
        deadly = await _submit(cell, step(4), deadly={'0.0'})
        for _ in range(kills):
            await asyncio.sleep(2.5)
            owner = cell.owner()
            if owner:
                cell.kill_vm(owner)
                cell.start_vm(owner)
        names = await _submit_load(cell, 10)
        phases = await cell.settle([deadly, *names], 60)
        assert {phases[name] for name in names} == {'completed'}
        assert phases[deadly] == 'failed'

    play(scenario, CELL._replace(keeps_ids=keeps_ids))


@KEEPS_IDS
def test_starts_stay_bounded_when_all_entry_vms_restart(
    keeps_ids: bool,
) -> None:
    """The count is in the store, not in a process."""

    async def scenario(cell: PlatformCell) -> None:
        deadly = await _submit(cell, step(4), deadly={'0.0'})
        for _ in range(4):
            await asyncio.sleep(4)
            for vm in sorted(cell.entries):
                cell.kill_vm(vm)
                cell.start_vm(vm)
        await asyncio.sleep(4)
        assert await cell.settle([deadly], 60) == {deadly: 'failed'}

    play(scenario, CELL._replace(keeps_ids=keeps_ids))


@KEEPS_IDS
@pytest.mark.parametrize('lasts', [False, True])
def test_a_task_that_crashes_its_workers_before_they_answer_is_given_up(
    monkeypatch: pytest.MonkeyPatch, keeps_ids: bool, lasts: bool
) -> None:
    """The start that crashes a worker has no answer."""
    run_start = WorkerStandIn._run_start

    async def crash_at_start(
        self: WorkerStandIn, body: dict[str, Any]
    ) -> Reply:
        answer = await run_start(self, body)
        if self.audit.is_deadly(body['task']):
            self.on_deadly_run(self)
        return answer

    monkeypatch.setattr(WorkerStandIn, '_run_start', crash_at_start)

    async def scenario(cell: PlatformCell) -> None:
        steps = step(1, longRunning=lasts)
        deadly = await _submit(cell, steps, deadly={'0.0'})
        assert await cell.settle([deadly], 60) == {deadly: 'failed'}
        assert _most_starts(cell, deadly) <= 5

    play(scenario, CELL._replace(keeps_ids=keeps_ids))


@KEEPS_IDS
def test_starts_stay_bounded_when_owners_end_with_the_workers(
    monkeypatch: pytest.MonkeyPatch, keeps_ids: bool
) -> None:
    """No owner lives to record that the start was sent."""
    crash = PlatformCell._on_deadly_run

    def crash_with_owner(self: PlatformCell, worker: WorkerStandIn) -> None:
        owner = self.owner()
        crash(self, worker)
        if owner:
            self.kill_vm(owner)
            self.start_vm(owner)

    monkeypatch.setattr(PlatformCell, '_on_deadly_run', crash_with_owner)

    async def scenario(cell: PlatformCell) -> None:
        deadly = await _submit(cell, step(1), deadly={'0.0'})
        assert await cell.settle([deadly], 150) == {deadly: 'failed'}
        assert _most_starts(cell, deadly) <= 5

    play(scenario, CELL._replace(keeps_ids=keeps_ids))


def test_a_copied_task_that_crashes_its_workers_is_given_up() -> None:
    """Copies count as starts."""

    async def scenario(cell: PlatformCell) -> None:
        steps = step(4, speculative=True, estimatedMs=300)
        deadly = await _submit(cell, steps, deadly={'0.1'})
        names = await _submit_load(cell, 15)
        phases = await cell.settle([deadly, *names], 40)
        assert {phases[name] for name in names} == {'completed'}
        assert phases[deadly] == 'failed'
        assert _most_starts(cell, deadly) <= 4

    play(scenario, CELL)


def test_a_gang_that_crashes_its_workers_is_given_up() -> None:
    """Its members start together, on several workers."""

    async def scenario(cell: PlatformCell) -> None:
        deadly = await _submit(
            cell, step(12, gang=True), work_ms=800, deadly={'0.3'}
        )
        names = await _submit_load(cell, 10)
        phases = await cell.settle([deadly, *names], 60)
        assert {phases[name] for name in names} == {'completed'}
        assert phases[deadly] == 'failed'

    play(scenario, CELL)


def test_a_lasting_task_that_crashes_its_workers_is_given_up() -> None:
    """Tasks that last beside it stay at work, or are at work again."""

    async def scenario(cell: PlatformCell) -> None:
        lasting = await _submit(cell, step(6, longRunning=True))
        await asyncio.sleep(2)
        deadly = await _submit(cell, step(2, longRunning=True), deadly={'0.0'})
        assert await cell.settle([deadly], 60) == {deadly: 'failed'}
        await asyncio.sleep(8)
        assert await cell.state('vm-0', lasting) == 'running'
        running = [
            task
            for worker in cell.workers.values()
            for task, _ in worker.runs
            if task.startswith(lasting)
        ]
        assert len(running) == 6

    play(scenario, CELL)


def test_a_task_is_not_given_up_for_crashes_that_it_shared() -> None:
    """Whatever was on the workers that others crashed is finished."""

    async def scenario(cell: PlatformCell) -> None:
        long = [await _submit(cell, step(4), work_ms=6000) for _ in range(3)]
        deadly = []
        for _ in range(6):
            deadly.append(await _submit(cell, step(2), deadly={'0.0', '0.1'}))
            await asyncio.sleep(1)
        phases = await cell.settle(long + deadly, 90)
        assert {phases[name] for name in long} == {'completed'}
        assert {phases[name] for name in deadly} == {'failed'}

    play(scenario, CELL)


def test_crashes_without_a_cause_in_a_task_give_up_none() -> None:
    """Every worker crashes several times, whatever it runs."""

    async def scenario(cell: PlatformCell) -> None:
        names = [await _submit(cell, step(6), work_ms=2500) for _ in range(4)]
        for _ in range(4):
            for worker in list(cell.workers.values())[:2]:
                cell.crash_worker(worker)
                await asyncio.sleep(1)
                cell.add_worker(worker.shape, cell.addresses[worker.worker_id])
        phases = await cell.settle(names, 60)
        assert set(phases.values()) == {'completed'}

    play(scenario, CELL)


def test_a_cut_worker_is_not_taken_for_a_crashed_one() -> None:
    """Runs that lapse on a worker that lives on count for nothing."""

    async def scenario(cell: PlatformCell) -> None:
        name = await _submit(cell, step(1), work_ms=4500)
        for _ in range(6):
            await asyncio.sleep(1.5)
            busy = [
                worker.worker_id
                for worker in cell.workers.values()
                if worker.runs
            ]
            cuts = {
                pair
                for worker_id in busy
                for pair in (('*', worker_id), (worker_id, STORE))
            }
            cell.net.cuts.update(cuts)
            await asyncio.sleep(7.5)
            cell.net.cuts.difference_update(cuts)
        assert await cell.settle([name], 10) == {name: 'completed'}

    play(scenario, CELL)


def test_a_worker_that_leaves_is_not_taken_for_a_crashed_one() -> None:
    """What a draining worker takes with it is not blamed for its end."""

    async def scenario(cell: PlatformCell) -> None:
        name = await _submit(cell, step(1), work_ms=5000)
        for _ in range(6):
            await asyncio.sleep(1)
            for worker in list(cell.workers.values()):
                if not worker.runs:
                    continue
                worker.draining = True
                await asyncio.sleep(2)
                cell.crash_worker(worker)
                cell.add_worker(worker.shape, cell.addresses[worker.worker_id])
        assert await cell.settle([name], 30) == {name: 'completed'}

    play(scenario, CELL)


def test_trials_of_a_wide_step_overlap() -> None:
    """Tasks that outlast their start on trial make way for the next ones."""

    async def scenario(cell: PlatformCell) -> None:
        name = await _submit(cell, step(60), work_ms=2500)
        await asyncio.sleep(0.05)
        for worker in list(cell.workers.values())[:6]:
            cell.crash_worker(worker)
            cell.add_worker(worker.shape, cell.addresses[worker.worker_id])
        assert await cell.settle([name], 10) == {name: 'completed'}

    play(scenario, CELL._replace(workers=CELL.workers * 2))
