"""Test what callers see that ask for a job in the moment of its end.

Guards against a state query that is answered with `running` although the end
of the job is already on its way to the store.
"""

import asyncio

import pytest

from lycheerelay.workflow.policies import RESULT_WAITS, Policies
from lycheerelay_standins.platform import PlatformCell
from platform_days import job, play, step


async def _wait_until_idle(cell: PlatformCell) -> None:
    while not any(worker.runs for worker in cell.workers.values()):
        await asyncio.sleep(0.001)
    while any(worker.runs for worker in cell.workers.values()):
        await asyncio.sleep(0.001)


@pytest.mark.parametrize('vm', ['vm-0', 'vm-1', 'vm-2'])
def test_query_at_the_end_of_the_last_task_is_told_the_result(vm: str) -> None:
    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(3)))
        await _wait_until_idle(cell)
        assert await cell.state(vm, name) == 'completed'

    play(scenario)


def test_query_for_a_job_that_goes_on_is_answered_soon() -> None:
    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(2)), work_ms=2000)
        await asyncio.sleep(0.5)
        begun_ms = cell.clock.now_ms()
        assert await cell.state('vm-1', name) == 'running'
        assert cell.clock.now_ms() - begun_ms < 200

    play(scenario)


def test_query_for_a_job_with_steps_to_come_does_not_wait() -> None:
    async def scenario(cell: PlatformCell) -> None:
        body = job(step(2), step(2, after=[0]))
        name, _ = await cell.submit('vm-0', body, work_ms=1000)
        await asyncio.sleep(0.3)
        owner = cell.entries[cell.owner()].handler.owner
        assert owner is not None
        policy = RESULT_WAITS[Policies().result_waits]
        assert policy(owner.cell.jobs[name]) == 0

    play(scenario)
