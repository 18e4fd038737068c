"""Run processes under faults; audit what callers and workers see."""

import asyncio
import random
import signal
import tempfile
from pathlib import Path
from typing import Any, Final, NamedTuple, final

import aiohttp

from lycheerelay._hashing import number_of
from lycheerelay.workflow import FINAL_PHASES

from ._audit import SubmittedJob
from ._environment import ROUTE_HOST, CellShape
from ._network import EmulatedNetwork
from ._soak_cell import EntryProcess, SoakCell, job_body
from ._soak_faults import SOAK_FAULTS
from ._worker import Shape

READY_TIMEOUT_S: Final = 30
FINAL_TIMEOUT_S: Final = 90
CALL_TIMEOUT_S: Final = 5
FAULT_DURATION_S: Final = (0.3, 4)
# Rates of the workers' clocks; leases tolerate these deviations.
CLOCK_RATES: Final = (0.98, 1.02)
OK: Final = 200
GONE: Final = 410


class SoakResult(NamedTuple):
    """Violations, unfinished jobs and counts of one soak."""

    seed: int
    broken: tuple[str, ...]
    unfinished: tuple[str, ...]
    accepted: int
    refused: int
    faults: tuple[str, ...]


@final
class Soak:
    """One soak: a cell, the load of its callers, and faults."""

    def __init__(
        self,
        seed: int,
        length_s: float,
        folder: Path,
        deadly_share: float = 0,
    ) -> None:
        """Draw the shape of the cell from the seed.

        `deadly_share` is the share of jobs with a task that crashes its workers.
        """
        self.seed = seed
        self.length_s = length_s
        # Faults have their own generator so that they repeat with the seed:
        # the draws of the load depend on real time.
        self.rng = random.Random(number_of(f'soak:{seed}'))
        self.load_rng = random.Random(number_of(f'load:{seed}'))
        self.deadly_rng = random.Random(number_of(f'deadly:{seed}'))
        self.deadly_share = deadly_share
        shape = CellShape(
            vms=self.rng.randint(2, 4),
            workers=(Shape('cpu'),) * self.rng.randint(3, 6),
            seed=seed,
            keeps_ids=True,
        )
        self.net = EmulatedNetwork(random.Random(seed))
        self.cell = SoakCell(shape, folder, self.net)
        self.accepted: list[str] = []
        self.refused = 0
        self.injected: list[str] = []

    async def run(self) -> SoakResult:
        """Inject faults under load, remove them, wait for the jobs."""
        await self.cell.begin()
        for worker in self.cell.workers.values():
            worker.clock_rate = self.rng.uniform(*CLOCK_RATES)
        try:
            async with aiohttp.ClientSession() as session:
                unfinished = await self._run(session)
        finally:
            await self.cell.finish()
        return SoakResult(
            self.seed,
            tuple(self.cell.audit.broken),
            tuple(unfinished),
            len(self.accepted),
            self.refused,
            tuple(self.injected),
        )

    def pick_vm(self) -> EntryProcess:
        """Return a random VM."""
        return self.cell.vms[self.rng.choice(sorted(self.cell.vms))]

    async def pause(self) -> None:
        """Wait for the random duration of a fault."""
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))

    async def _run(self, session: aiohttp.ClientSession) -> list[str]:
        await self._await_ready(session)
        load = asyncio.create_task(self._generate_load(session))
        fault_task = asyncio.create_task(self._inject_faults())
        await asyncio.sleep(self.length_s)
        load.cancel()
        await fault_task
        await self._clear_faults()
        return await self._await_final(session)

    async def _await_ready(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            for host in self.cell.hosts.values():
                url = f'http://{host}:8141/v1/readiness'
                while await _status(session, 'GET', url) != OK:
                    await asyncio.sleep(0.1)

    async def _generate_load(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.TaskGroup() as callers:
            while True:
                await asyncio.sleep(self.load_rng.expovariate(6))
                callers.create_task(self._submit_job(session))

    async def _submit_job(self, session: aiohttp.ClientSession) -> None:
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
        is_deadly = self.deadly_rng.random() < self.deadly_share
        submitted = SubmittedJob(
            job_body(steps),
            'cpu',
            3,
            work_ms=work_ms,
            deadly=frozenset(('0.0',) if is_deadly else ()),
        )
        self.cell.audit.jobs[name] = submitted
        vm = self.load_rng.choice(sorted(self.cell.vms))
        url = f'{self.cell.callers_url(vm)}/batch/{name}'
        status = await _status(session, 'POST', url, submitted.body)
        if status == OK:
            submitted.accepted = True
            self.accepted.append(name)
        elif status in {0, 504}:
            submitted.outcome_unknown = True
        else:
            self.refused += 1

    async def _inject_faults(self) -> None:
        running_faults = []
        for _ in range(self.rng.randint(2, 6)):
            await asyncio.sleep(self.rng.uniform(0, self.length_s / 5))
            name = self.rng.choice(sorted(SOAK_FAULTS))
            self.injected.append(name)
            running_faults.append(asyncio.create_task(SOAK_FAULTS[name](self)))
        await asyncio.gather(*running_faults)

    async def _clear_faults(self) -> None:
        for proxy in self.cell.proxies():
            proxy.clear_faults()
        for impairment in (self.net.lost, self.net.late, self.net.slow):
            impairment.clear()
        for vm in self.cell.vms.values():
            await vm.send(signal.SIGCONT)
            await vm.start()

    async def _await_final(self, session: aiohttp.ClientSession) -> list[str]:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + FINAL_TIMEOUT_S
        unfinished_jobs = list(self.accepted)
        while unfinished_jobs and loop.time() < deadline_s:
            open_jobs = []
            for name in unfinished_jobs:
                if await self._state(session, name) not in FINAL_PHASES:
                    open_jobs.append(name)
            unfinished_jobs = open_jobs
            await asyncio.sleep(0.3)
        return unfinished_jobs

    async def _state(self, session: aiohttp.ClientSession, name: str) -> str:
        vm = self.load_rng.choice(sorted(self.cell.vms))
        url = f'{self.cell.callers_url(vm)}/batch/{name}'
        status, fields = await _call(session, 'GET', url)
        if status == GONE:
            self.cell.audit.report_violation(
                'LOST', f'{name} was accepted but is reported as gone'
            )
        state = str(fields.get('state', ''))
        if state:
            self.cell.audit.check_phase(name, state)
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
    """Return the status, or 0 without a response, and the JSON body."""
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        async with session.request(
            method,
            url,
            json=body,
            headers={'Host': ROUTE_HOST},
            timeout=timeout,
        ) as reply:
            raw = await reply.read()
            return reply.status, await reply.json() if raw else {}
    except (aiohttp.ClientError, TimeoutError, OSError):
        # There is no response: the outcome of the call is unknown.
        return 0, {}


async def run_soak(
    seed: int, length_s: float, folder: Path, deadly_share: float = 0
) -> SoakResult:
    """Run the soak of a seed; its processes log to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    return await Soak(seed, length_s, folder, deadly_share).run()


def soak(
    seed: int,
    length_s: float,
    folder: Path | None = None,
    deadly_share: float = 0,
) -> SoakResult:
    """Run the soak of a seed; without a folder, the logs are dropped."""
    if folder is not None:
        return asyncio.run(run_soak(seed, length_s, folder, deadly_share))
    with tempfile.TemporaryDirectory() as temporary_folder:
        logs = Path(temporary_folder)
        return asyncio.run(run_soak(seed, length_s, logs, deadly_share))
