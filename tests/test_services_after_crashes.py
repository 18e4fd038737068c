"""Test services whose worker has crashed under all of them.

Guards against services that wait for one another's trials while workers are
idle, and against giving them up for a job among them that crashes its workers.
"""

import asyncio

import pytest

from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    Shape,
    WorkerStandIn,
)
from platform_days import job, play, step

CELL = CellShape(workers=(Shape('cpu', 16000),) * 8, seed=7)
# A crashed worker is replaced after this time.
DOWN_S = 4.5
# A service that lasts has to run again this long after a fault.
CALM_S = 7


async def _submit_services(cell: PlatformCell, count: int) -> list[str]:
    names = []
    for _ in range(count):
        service = step(1, cpu=14_000 // count, longRunning=True)
        name, _ = await cell.submit('vm-0', job(service))
        names.append(name)
    return names


def _host(cell: PlatformCell, names: list[str]) -> WorkerStandIn:
    """Return the worker with the most of the services."""
    return max(
        cell.workers.values(),
        key=lambda worker: sum(
            task.partition('.')[0] in names for task, _ in worker.runs
        ),
    )


def _running(cell: PlatformCell) -> set[str]:
    return {
        task.partition('.')[0]
        for worker in cell.workers.values()
        for task, _ in worker.runs
    }


async def _crash(cell: PlatformCell, worker: WorkerStandIn) -> None:
    cell.crash_worker(worker)
    await asyncio.sleep(DOWN_S)
    cell.add_worker(worker.shape, cell.addresses[worker.worker_id])


async def _start_together(cell: PlatformCell, names: list[str]) -> None:
    for _ in range(500):
        if set(names) <= _running(cell):
            return
        await asyncio.sleep(0.02)


def _restart_owner(cell: PlatformCell) -> None:
    owner = cell.owner()
    if owner:
        cell.kill_vm(owner)
        cell.start_vm(owner)


@pytest.mark.parametrize('worked_s', [0, CALM_S])
@pytest.mark.parametrize('count', [14, 48])
def test_services_are_back_after_two_crashes(
    count: int, worked_s: float
) -> None:
    """They need not wait for one another."""

    async def scenario(cell: PlatformCell) -> None:
        names = await _submit_services(cell, count)
        for _ in range(2):
            await _start_together(cell, names)
            await asyncio.sleep(worked_s)
            await _crash(cell, _host(cell, names))
        await asyncio.sleep(CALM_S)
        assert _running(cell) == set(names)

    play(scenario, CELL)


@pytest.mark.parametrize('count', [14, 48])
def test_services_are_back_in_a_pool_that_is_nearly_full(count: int) -> None:
    """Each worker has other services, and room for a few."""

    async def scenario(cell: PlatformCell) -> None:
        names = await _submit_services(cell, count)
        await _start_together(cell, names)
        other, _ = await cell.submit('vm-0', job(step(98, longRunning=True)))
        await asyncio.sleep(CALM_S)
        for _ in range(2):
            await _crash(cell, _host(cell, names))
            await asyncio.sleep(CALM_S)
        assert _running(cell) == {*names, other}

    play(scenario, CELL)


@pytest.mark.parametrize('count', [14, 48])
def test_services_are_back_when_owners_change_after_crashes(
    count: int,
) -> None:
    """Successors know of the crashes from the record."""

    async def scenario(cell: PlatformCell) -> None:
        names = await _submit_services(cell, count)
        await asyncio.sleep(CALM_S)
        for _ in range(2):
            host = _host(cell, names)
            cell.crash_worker(host)
            _restart_owner(cell)
            await asyncio.sleep(DOWN_S)
            cell.add_worker(host.shape, cell.addresses[host.worker_id])
            await asyncio.sleep(CALM_S)
        assert _running(cell) == set(names)

    play(scenario, CELL)


@pytest.mark.parametrize('keeps_ids', [False, True])
@pytest.mark.parametrize('count', [14, 48])
def test_services_are_back_with_a_deadly_job_among_them(
    count: int, keeps_ids: bool
) -> None:
    """It is given up, and the services beside it are not."""

    async def scenario(cell: PlatformCell) -> None:
        names = await _submit_services(cell, count)
        deadly, _ = await cell.submit(
            'vm-0',
            job(step(1, cpu=100, longRunning=True)),
            deadly={'0.0'},
        )
        assert await cell.settle([deadly], 40) == {deadly: 'failed'}
        await asyncio.sleep(CALM_S)
        assert _running(cell) == set(names)

    play(scenario, CELL._replace(keeps_ids=keeps_ids))


@pytest.mark.parametrize('keeps_ids', [False, True])
@pytest.mark.parametrize('takes_over', [False, True])
def test_a_service_is_not_given_up_after_seven_crashes_of_workers(
    keeps_ids: bool, takes_over: bool
) -> None:
    """It had worked for some time before each of them."""

    async def scenario(cell: PlatformCell) -> None:
        names = await _submit_services(cell, 1)
        for _ in range(7):
            await _start_together(cell, names)
            await asyncio.sleep(4.5)
            host = _host(cell, names)
            cell.crash_worker(host)
            if takes_over:
                _restart_owner(cell)
            await asyncio.sleep(DOWN_S)
            if keeps_ids:
                cell.restart_worker(host)
            else:
                cell.add_worker(host.shape, cell.addresses[host.worker_id])
        await asyncio.sleep(CALM_S)
        assert await cell.state('vm-0', names[0]) == 'running'
        assert _running(cell) == set(names)

    play(scenario, CELL)
