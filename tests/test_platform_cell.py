"""Run jobs of every kind on the platform stand-in."""

import asyncio

from lycheerelay.workflow import JobPhase
from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    QueueShape,
    Shape,
)
from platform_days import STORE, job, play, step

KNOWN_PHASES = {JobPhase.QUEUED, JobPhase.RUNNING, JobPhase.COMPLETED}


def test_steps_run_in_order() -> None:
    """Steps start after the steps they depend on, and each task once."""

    async def scenario(cell: PlatformCell) -> None:
        body = job(step(3), step(2, after=[0]), step(1, after=[0, 1]))
        name, _ = await cell.submit('vm-0', body)
        phases = await cell.settle([name], 10)
        assert phases == {name: 'completed'}
        assert sum(worker.starts for worker in cell.workers.values()) == 6

    play(scenario)


def test_a_gang_starts_whole() -> None:
    """No gang runs in part, though each member needs a whole worker."""

    async def scenario(cell: PlatformCell) -> None:
        body = job(step(4, cpu=16000, gang=True))
        names = [(await cell.submit('vm-1', body))[0] for _ in range(3)]
        phases = await cell.settle(names, 20)
        assert set(phases.values()) == {'completed'}

    cell = play(scenario)
    assert cell.audit.alone == 0


def test_a_queue_with_advice_is_served() -> None:
    """A job completes in a queue whose starts need tickets of the advisor."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-2', job(step(5)))
        assert await cell.settle([name], 10) == {name: 'completed'}

    advice = {'decisionMs': 20, 'periodMs': 1, 'validityMs': 2000}
    queues = (QueueShape('batch', 'cpu', advice=advice),)
    play(scenario, CellShape(workers=(Shape('cpu'),) * 4, queues=queues))


def test_a_submission_retried_at_another_vm_runs_once() -> None:
    """A retried submission runs once, even after the job has completed."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(2)))
        await cell.submit('vm-1', job(step(2)), job_id=name)
        assert await cell.settle([name], 10) == {name: 'completed'}
        await cell.submit('vm-2', job(step(2)), job_id=name)
        await asyncio.sleep(3)
        assert sum(worker.starts for worker in cell.workers.values()) == 2

    play(scenario)


def test_an_unknown_job_is_reported_as_missing() -> None:
    """Every VM answers 'no such job' for an unknown id."""

    async def scenario(cell: PlatformCell) -> None:
        for vm in sorted(cell.entries):
            assert await cell.state(vm, 'ab' * 8) == 'no_such_job'

    play(scenario)


def test_cancel_stops_running_tasks() -> None:
    """A cancelled job is reported as such and its long tasks are stopped."""

    async def scenario(cell: PlatformCell) -> None:
        body = job(step(3, longRunning=True))
        name, _ = await cell.submit('vm-0', body)
        await asyncio.sleep(2)
        assert await cell.state('vm-1', name) == 'running'
        assert await cell.cancel('vm-2', name) == 'ok'
        await asyncio.sleep(1)
        assert await cell.state('vm-1', name) == 'cancelled'
        assert not any(worker.runs for worker in cell.workers.values())

    play(scenario)


def test_an_accepted_job_is_known_however_many_are_before_it() -> None:
    """The stream of jobs is read page by page before a job is unknown."""

    async def scenario(cell: PlatformCell) -> None:
        cell.store.page_bytes = 0
        cell.net.slow[STORE] = 10
        hand_ins = (cell.submit('vm-0', job(step(1))) for _ in range(20))
        accepted = await asyncio.gather(*hand_ins)
        for name, outcome in accepted[::-1]:
            assert outcome.status.value == 'ok'
            assert await cell.state('vm-1', name) in KNOWN_PHASES

    play(scenario)
