"""Play random days on which jobs expire while the store and owners fail."""

import asyncio
import random
from typing import Any, Final

import pytest

from lycheerelay.serving import _job_expiry
from lycheerelay.workflow import FINAL_PHASES, _retention
from lycheerelay_standins.platform import CellShape, PlatformCell, Shape
from platform_days import STORE, job, play, step
from test_job_expiry import records

LENGTH_S: Final = 60
# A job is kept for 8 s, twice as long as an append is late and a caller repeats
# a hand-in.
STATUS_MS: Final = 4000
MARGIN_MS: Final = 4000
REST_S: Final = 40


class Day:
    """Load, faults and callers that ask for their jobs until they have ended."""

    def __init__(self, cell: PlatformCell, seed: int) -> None:
        """Draw everything from the seed."""
        self.cell = cell
        self.rng = random.Random(seed)
        self.lost: list[str] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Play the day, and wait until everything is forgotten."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + LENGTH_S
        faults = loop.create_task(self._inject(until_s))
        while loop.time() < until_s:
            await asyncio.sleep(self.rng.expovariate(1.5))
            task = loop.create_task(self._call())
            self.tasks.add(task)
        await faults
        await asyncio.gather(*self.tasks)
        await asyncio.sleep(REST_S)

    def _vm(self) -> str:
        return self.rng.choice(sorted(self.cell.entries))

    async def _call(self) -> None:
        width = self.rng.randint(1, 3)
        body = job(step(width), step(1, after=[0]))
        work_ms = self.rng.choice((200, 1000, 3000))
        name, outcome = await self.cell.submit(
            self._vm(), body, work_ms=work_ms
        )
        is_cancelled = self.rng.random() < 0.2
        if self.rng.random() < 0.4 or outcome.status.value != 'ok':
            await asyncio.sleep(self.rng.uniform(0, 2))
            _, again = await self.cell.submit(
                self._vm(), body, work_ms=work_ms, job_id=name
            )
            outcome = outcome if outcome.status.value == 'ok' else again
        if is_cancelled:
            await asyncio.sleep(self.rng.uniform(0, 3))
            await self.cell.cancel(self._vm(), name)
        elif outcome.status.value == 'ok':
            await self._ask(name)

    async def _ask(self, name: str) -> None:
        phase = ''
        while phase not in FINAL_PHASES:
            await asyncio.sleep(0.7)
            phase = await self.cell.state(self._vm(), name)
            if phase == 'no_such_job':
                self.lost.append(name)
                return

    async def _inject(self, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        faults: list[Any] = [
            self._kill_owner,
            self._refuse,
            self._lose,
            self._delay,
            self._slow_down,
            self._compact,
        ]
        while loop.time() < until_s:
            await asyncio.sleep(self.rng.uniform(0.5, 3))
            await self.rng.choice(faults)()

    async def _kill_owner(self) -> None:
        owner = self.cell.owner()
        if owner:
            self.cell.kill_vm(owner)
            await asyncio.sleep(self.rng.uniform(0.5, 3))
            self.cell.start_vm(owner)

    async def _refuse(self) -> None:
        self.cell.net.refusing.add(('*', STORE))
        await asyncio.sleep(self.rng.uniform(0.2, 2))
        self.cell.net.refusing.clear()

    async def _lose(self) -> None:
        self.cell.net.lost[STORE] = 0.4
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        self.cell.net.lost.clear()

    async def _delay(self) -> None:
        self.cell.net.late[STORE] = (0.4, 0.3, 3)
        await asyncio.sleep(self.rng.uniform(0.5, 2))
        self.cell.net.late.clear()

    async def _slow_down(self) -> None:
        self.cell.net.slow[STORE] = 100
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        self.cell.net.slow.clear()

    async def _compact(self) -> None:
        for name in list(self.cell.store.topics):
            self.cell.store.truncate_history(name)


@pytest.mark.parametrize('seed', range(1, 11))
def test_jobs_expire_on_days_with_faults(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """None is run twice or lost, and nothing is left of any."""
    monkeypatch.setattr(_retention, 'RETENTION_MARGIN_MS', MARGIN_MS)
    monkeypatch.setattr(_retention, 'SETTLED_AFTER_MS', 1000)
    monkeypatch.setattr(_job_expiry, 'CHECK_INTERVAL_S', 1)

    async def scenario(cell: PlatformCell) -> None:
        day = Day(cell, seed)
        await day.run()
        assert day.lost == []
        assert records(cell) == []

    play(
        scenario,
        CellShape(workers=(Shape('cpu'),) * 4, status_ms=STATUS_MS, seed=seed),
    )
