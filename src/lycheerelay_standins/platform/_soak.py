"""Soak real processes in faults and judge what callers and workers see."""

import asyncio
import random
import signal
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Final, NamedTuple, final

import aiohttp

from lycheerelay._hashing import number_of

from ._audit import JobTruth
from ._net import Net
from ._soak_cell import STORE_NAME, EntryProcess, SoakCell, job_body
from ._surroundings import HOST, CellShape
from ._worker import Shape

READY_S: Final = 30
SETTLE_S: Final = 90
PATIENCE_S: Final = 5
FAULT_S: Final = (0.3, 4)
# The clocks of workers run fast and slow, within what leases allow for.
CLOCK_RATES: Final = (0.98, 1.02)
FINAL: Final = frozenset(('completed', 'failed', 'cancelled'))
OK: Final = 200
GONE: Final = 410

Inject = Callable[['Soak'], Coroutine[Any, Any, None]]
SOAK_FAULTS: Final[dict[str, Inject]] = {}


class SoakResult(NamedTuple):
    """Tell what one soak came to."""

    seed: int
    broken: tuple[str, ...]
    unfinished: tuple[str, ...]
    accepted: int
    refused: int
    faults: tuple[str, ...]


def soak_fault(name: str) -> Callable[[Inject], Inject]:
    """Return a decorator that registers a fault under a name."""

    def store(inject: Inject) -> Inject:
        SOAK_FAULTS[name] = inject
        return inject

    return store


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
                if await self._state(session, name) not in FINAL:
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
    timeout = aiohttp.ClientTimeout(total=PATIENCE_S)
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


@soak_fault('kill')
async def kill(soak: Soak) -> None:
    """Kill a VM and start it again."""
    vm = soak.a_vm()
    await vm.send(signal.SIGKILL)
    await soak.pause()
    await vm.start()


@soak_fault('kill_all')
async def kill_all(soak: Soak) -> None:
    """Kill every VM; they start again together."""
    for vm in soak.cell.vms.values():
        await vm.send(signal.SIGKILL)
    for vm in soak.cell.vms.values():
        await vm.start()


@soak_fault('leave')
async def leave(soak: Soak) -> None:
    """Let a VM leave while channels to it are open, and come back."""
    vm = soak.a_vm()
    await vm.send(signal.SIGTERM)
    await vm.start()


@soak_fault('freeze')
async def freeze(soak: Soak) -> None:
    """Let a VM stand still."""
    vm = soak.a_vm()
    await vm.send(signal.SIGSTOP)
    await soak.pause()
    await vm.send(signal.SIGCONT)


@soak_fault('reload')
async def reload(soak: Soak) -> None:
    """Let a VM read its settings again."""
    vm = soak.a_vm()
    if vm.process is not None and vm.is_running:
        vm.process.send_signal(signal.SIGHUP)


@soak_fault('store_cut')
async def store_cut(soak: Soak) -> None:
    """Break a VM's channels to the store off, and refuse new ones."""
    way = soak.cell.store_ways[soak.a_vm().name]
    way.refusing = True
    way.reset()
    await soak.pause()
    way.refusing = False


@soak_fault('store_silent')
async def store_silent(soak: Soak) -> None:
    """Swallow what passes between a VM and the store, one way or both."""
    way = soak.cell.store_ways[soak.a_vm().name]
    way.silent = soak.rng.choice((True, False))
    way.deaf = not way.silent
    await soak.pause()
    way.heal()


@soak_fault('store_down')
async def store_down(soak: Soak) -> None:
    """Cut every VM off from the store."""
    ways = list(soak.cell.store_ways.values())
    for way in ways:
        way.refusing = True
        way.reset()
    await soak.pause()
    for way in ways:
        way.refusing = False


@soak_fault('store_slow')
async def store_slow(soak: Soak) -> None:
    """Let the store answer slowly."""
    soak.net.slow[STORE_NAME] = 200
    await soak.pause()
    soak.net.slow.pop(STORE_NAME, None)


@soak_fault('store_lost')
async def store_lost(soak: Soak) -> None:
    """Lose answers of the store, or carry its writes out late."""
    soak.net.lost[STORE_NAME] = 0.3
    soak.net.late[STORE_NAME] = (0.2, 1, 4)
    await soak.pause()
    soak.net.lost.pop(STORE_NAME, None)
    soak.net.late.pop(STORE_NAME, None)


@soak_fault('deal_anew')
async def deal_anew(soak: Soak) -> None:
    """Deal the ownership anew."""
    soak.cell.store.deal_anew()


@soak_fault('worker_silent')
async def worker_silent(soak: Soak) -> None:
    """Swallow what passes between a worker and every VM."""
    ways = soak.cell.worker_ways
    way = ways[soak.rng.choice(sorted(ways))]
    way.silent = True
    await soak.pause()
    way.heal()


@soak_fault('worker_resets')
async def worker_resets(soak: Soak) -> None:
    """Break channels to a worker off, again and again."""
    ways = soak.cell.worker_ways
    way = ways[soak.rng.choice(sorted(ways))]
    for _ in range(5):
        way.reset()
        await asyncio.sleep(soak.rng.uniform(0, 0.4))


@soak_fault('worker_slow')
async def worker_slow(soak: Soak) -> None:
    """Let what passes between a worker and every VM take long."""
    ways = soak.cell.worker_ways
    way = ways[soak.rng.choice(sorted(ways))]
    way.delay_s = 0.2
    await soak.pause()
    way.delay_s = float(0)


@soak_fault('crash')
async def crash(soak: Soak) -> None:
    """Crash a worker for good."""
    cell = soak.cell
    if len(cell.workers) > 2:
        cell.crash_worker(cell.workers[soak.rng.choice(sorted(cell.workers))])


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
