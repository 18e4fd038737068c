"""Test configurations in quick succession while answers of workers are lost.

Guards against finished work that is shown as unfinished, against a second run
of it, and against a caller who submits again and gets another result.
"""

import asyncio

import pytest

from lycheerelay_standins.platform import CellShape, PlatformCell, Shape
from platform_days import job, play, step

WORKERS = (Shape('cpu'),) * 8


async def _publish_often(cell: PlatformCell) -> None:
    for _ in range(20):
        cell.configure()
        await asyncio.sleep(0.3)


@pytest.mark.parametrize('seed', range(1, 5))
@pytest.mark.parametrize('how', ['broken', 'lost'])
@pytest.mark.parametrize('with_takeover', [False, True])
def test_every_end_is_found_once_and_resubmitting_changes_nothing(
    seed: int, how: str, with_takeover: bool
) -> None:
    async def scenario(cell: PlatformCell) -> None:
        for address in cell.addresses.values():
            getattr(cell.net, how)[address] = 0.25
        storm = asyncio.ensure_future(_publish_often(cell))
        body = job(step(4), step(2, after=[0]))
        names = []
        for number in range(10):
            vms = sorted(cell.entries)
            vm = vms[number % len(vms)]
            name, _ = await cell.submit(vm, body, work_ms=400)
            names.append(name)
            await asyncio.sleep(0.2)
            again, outcome = await cell.submit(
                vms[0], body, work_ms=400, job_id=name
            )
            assert again == name
            assert outcome.status.value == 'ok'
            if with_takeover and number == 5:
                owner = cell.owner()
                if owner:
                    cell.kill_vm(owner)
        await storm
        getattr(cell.net, how).clear()
        assert set((await cell.settle(names, 40)).values()) == {'completed'}
        for runs in cell.audit.runs.values():
            assert [run.outcome for run in runs].count('done') == 1

    play(scenario, CellShape(workers=WORKERS, seed=seed))
