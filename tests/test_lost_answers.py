"""Test workers that carry orders out while part of their answers is lost.

Guards against running work that is started elsewhere, or capacity that is not
used, because a worker left a single call unanswered.
"""

import asyncio

import pytest

from lycheerelay_standins.platform import CellShape, PlatformCell, Shape
from platform_days import job, play, step

CELL = CellShape(workers=(Shape('cpu'),) * 12, seed=5)


def _lose_answers(cell: PlatformCell, share: float) -> None:
    for address in cell.addresses.values():
        cell.net.broken[address] = share


@pytest.mark.parametrize('seed', [4, 5, 10, 14, 24, 28])
def test_no_copies_start_while_answers_are_lost(seed: int) -> None:
    """A worker that is heard of every second keeps its work to itself."""

    async def scenario(cell: PlatformCell) -> None:
        _lose_answers(cell, 0.2)
        body = job(step(6, speculative=True, estimatedMs=3000))
        names = []
        for _ in range(20):
            name, _ = await cell.submit('vm-0', body, work_ms=1000)
            names.append(name)
            await asyncio.sleep(0.25)
        cell.net.broken.clear()
        assert set((await cell.settle(names, 20)).values()) == {'completed'}
        assert {len(runs) for runs in cell.audit.runs.values()} == {1}

    play(scenario, CELL._replace(seed=seed))


@pytest.mark.parametrize('share', [0.2, 0.5])
def test_jobs_end_once_and_are_told_while_answers_are_lost(
    share: float,
) -> None:
    """Every end is found again, whatever answer was lost on the way."""

    async def scenario(cell: PlatformCell) -> None:
        _lose_answers(cell, share)
        names = []
        for _ in range(12):
            name, _ = await cell.submit('vm-1', job(step(5)), work_ms=800)
            names.append(name)
            await asyncio.sleep(0.2)
        assert set((await cell.settle(names, 30)).values()) == {'completed'}

    play(scenario, CELL)
