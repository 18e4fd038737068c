"""Soak real processes in faults and judge what callers and workers see."""

import asyncio
import random
import signal
import tempfile
from pathlib import Path
from typing import Any, Final, NamedTuple, final

import aiohttp

from lycheerelay._hashing import number_of
from lycheerelay.workflow import FINAL_PHASES

from ._audit import JobTruth
from ._net import Net
from ._soak_cell import EntryProcess, SoakCell, job_body
from ._soak_faults import SOAK_FAULTS
from ._surroundings import HOST, CellShape
from ._worker import Shape

READY_S: Final = 30
SETTLE_S: Final = 90
TIMEOUT_S: Final = 5
FAULT_S: Final = (0.3, 4)
# The clocks of workers run fast and slow, within what leases allow for.
CLOCK_RATES: Final = (0.98, 1.02)
OK: Final = 200
GONE: Final = 410


class SoakResult(NamedTuple):
    """Tell what one soak came to."""

    seed: int
    broken: tuple[str, ...]
    unfinished: tuple[str, ...]
    accepted: int
    refused: int
    faults: tuple[str, ...]


@final
class Soak:
    """Hold one soak: its cell, its callers and its faults."""

    def __init__(self, seed: int, length_s: float, folder: Path) -> None:
        """Draw the cell's shape."""
        self.seed = seed
        self.length_s = length_s
        # Harm is drawn apart: how the load goes depends on real time.
        self.rng = random.Random(number_of(f'soak:{seed}'))
        self.load_rng = random.Random(number_of(f'load:{seed}'))
        shape = CellShape(
            vms=self.rng.randint(2, 4),
            workers=(Shape('cpu'),) * self.rng.randint(3, 6),
            seed=seed,
        )
        self.net = Net(random.Random(seed))
        self.cell = SoakCell(shape, folder, self.net)
        self.accepted: list[str] = []
        self.refused = 0
        self.seen: list[str] = []

    async def play(self) -> SoakResult:
        """Start everything, do harm under load, heal, wait for the jobs."""
        await self.cell.begin()
        for worker in self.cell.workers.values():
            worker.clock_rate = self.rng.uniform(*CLOCK_RATES)
        try:
            async with aiohttp.ClientSession() as session:
                unfinished = await self._play(session)
        finally:
            await self.cell.finish()
        return SoakResult(
            self.seed,
            tuple(self.cell.audit.broken),
            tuple(unfinished),
            len(self.accepted),
            self.refused,
            tuple(self.seen),
        )

    def a_vm(self) -> EntryProcess:
        """Draw a VM."""
        return self.cell.vms[self.rng.choice(sorted(self.cell.vms))]

    async def pause(self) -> None:
        """Let a fault last for a while."""
        await asyncio.sleep(self.rng.uniform(*FAULT_S))

    async def _play(self, session: aiohttp.ClientSession) -> list[str]:
        await self._await_ready(session)
        load = asyncio.create_task(self._load(session))
        harm = asyncio.create_task(self._harm())
        await asyncio.sleep(self.length_s)
        load.cancel()
        await harm
        await self._heal()
        return await self._settle(session)

    async def _await_ready(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(READY_S):
            for host in self.cell.hosts.values():
                url = f'http://{host}:8141/v1/readiness'
                while await _status(session, 'GET', url) != OK:
                    await asyncio.sleep(0.1)

    async def _load(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.TaskGroup() as callers:
            while True:
                await asyncio.sleep(self.load_rng.expovariate(6))
                callers.create_task(self._one_job(session))

    async def _one_job(self, session: aiohttp.ClientSession) -> None:
        steps = [
            {
                'count': self.load_rng.randint(1, 4),
                'cpu': self.load_rng.choice((1000, 4000)),
                'memMb': 500,
                'estimatedMs': 500,
                'after': [number - 1] if number else [],
            }
            for number in range(self.load_rng.randint(1, 3))
        ]
        name = f'{self.load_rng.getrandbits(64):016x}'
        work_ms = self.load_rng.choice((100, 600, 2000))
        truth = JobTruth(job_body(steps), 'cpu', 3, work_ms=work_ms)
        self.cell.audit.jobs[name] = truth
        vm = self.load_rng.choice(sorted(self.cell.vms))
        url = f'{self.cell.callers_url(vm)}/batch/{name}'
        status = await _status(session, 'POST', url, truth.body)
        if status == OK:
            truth.accepted = True
            self.accepted.append(name)
        elif status in {0, 504}:
            truth.unsure = True
        else:
            self.refused += 1

    async def _harm(self) -> None:
        lasting = []
        for _ in range(self.rng.randint(2, 6)):
            await asyncio.sleep(self.rng.uniform(0, self.length_s / 5))
            name = self.rng.choice(sorted(SOAK_FAULTS))
            self.seen.append(name)
            lasting.append(asyncio.create_task(SOAK_FAULTS[name](self)))
        await asyncio.gather(*lasting)

    async def _heal(self) -> None:
        for way in self.cell.ways():
            way.heal()
        for harm in (self.net.lost, self.net.late, self.net.slow):
            harm.clear()
        for vm in self.cell.vms.values():
            await vm.send(signal.SIGCONT)
            await vm.start()

    async def _settle(self, session: aiohttp.ClientSession) -> list[str]:
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + SETTLE_S
        waiting = list(self.accepted)
        while waiting and loop.time() < ends_s:
            open_jobs = []
            for name in waiting:
                if await self._state(session, name) not in FINAL_PHASES:
                    open_jobs.append(name)
            waiting = open_jobs
            await asyncio.sleep(0.3)
        return waiting

    async def _state(self, session: aiohttp.ClientSession, name: str) -> str:
        vm = self.load_rng.choice(sorted(self.cell.vms))
        url = f'{self.cell.callers_url(vm)}/batch/{name}'
        status, fields = await _call(session, 'GET', url)
        if status == GONE:
            self.cell.audit.complain('LOST', f'{name} is said not to exist')
        state = str(fields.get('state', ''))
        if state:
            self.cell.audit.shown(name, state)
        return state


async def _status(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: dict[str, Any] | None = None,
) -> int:
    return (await _call(session, method, url, body))[0]


async def _call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: dict[str, Any] | None = None,
) -> tuple[int, dict[str, Any]]:
    """Return a status, 0 without an answer, and the fields."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with session.request(
            method,
            url,
            json=body,
            headers={'Host': HOST},
            timeout=timeout,
        ) as reply:
            raw = await reply.read()
            return reply.status, await reply.json() if raw else {}
    except (aiohttp.ClientError, TimeoutError, OSError):
        # The caller sees no answer; what became of the call is open.
        return 0, {}


async def soak_once(seed: int, length_s: float, folder: Path) -> SoakResult:
    """Play the soak of a seed; logs of its processes go to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    return await Soak(seed, length_s, folder).play()


def soak(seed: int, length_s: float, folder: Path | None = None) -> SoakResult:
    """Play the soak of a seed."""
    if folder is not None:
        return asyncio.run(soak_once(seed, length_s, folder))
    with tempfile.TemporaryDirectory() as made:
        return asyncio.run(soak_once(seed, length_s, Path(made)))
