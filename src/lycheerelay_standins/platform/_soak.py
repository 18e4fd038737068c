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
from ._callers import KEY_HEADER
from ._environment import ROUTE_HOST, CellShape
from ._network import EmulatedNetwork
from ._soak_cell import EntryProcess, SoakCell, job_body
from ._soak_faults import OPTIONAL_SOAK_FAULTS, SOAK_FAULTS
from ._soak_tenants import SOAK_TENANT_FAULTS, SoakTenants
from ._tenant_load import add_tenants
from ._tenants import Credential
from ._worker import Shape

READY_TIMEOUT_S: Final = 30
FINAL_TIMEOUT_S: Final = 90
# Cancellations of a job whose caller has no acknowledgement.
MAX_CANCELS: Final = 10
CALL_TIMEOUT_S: Final = 5
KEYED_CALL_TIMEOUT_S: Final = 20
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
        with_tenants: bool = False,
        only: tuple[str, ...] = (),
    ) -> None:
        """Draw the shape of the cell from the seed.

        `deadly_share` is the share of jobs with a task that crashes its workers,
        `only` restricts the faults.
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
        if with_tenants:
            shape = add_tenants(shape, seed)
        self.net = EmulatedNetwork(random.Random(seed))
        self.cell = SoakCell(shape, folder, self.net)
        self.tenants = SoakTenants(self)
        self.faults = sorted(only or set(SOAK_FAULTS) - OPTIONAL_SOAK_FAULTS)
        if with_tenants:
            # Half of the faults that are drawn are those of tenants.
            self.faults += sorted(SOAK_TENANT_FAULTS) * (len(self.faults) // 2)
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
                self.session = session
                unfinished = await self._run()
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

    async def _run(self) -> list[str]:
        await self._await_ready()
        load = asyncio.create_task(self._generate_load())
        fault_task = asyncio.create_task(self._inject_faults())
        await asyncio.sleep(self.length_s)
        load.cancel()
        await fault_task
        await self._clear_faults()
        return await self._await_final()

    async def _await_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            for host in self.cell.hosts.values():
                url = f'http://{host}:8141/v1/readiness'
                while (await call(self.session, 'GET', url))[0] != OK:
                    await asyncio.sleep(0.1)

    async def _generate_load(self) -> None:
        async with asyncio.TaskGroup() as callers:
            while True:
                await asyncio.sleep(self.load_rng.expovariate(6))
                callers.create_task(self._submit_job())

    async def _submit_job(self) -> None:
        name, submitted, credential = self._draw_job()
        vm = self.load_rng.choice(sorted(self.cell.vms))
        await self.submit(vm, name, submitted, credential)

    async def abandon_job(self) -> None:
        """Submit a job once and cancel it until that is acknowledged."""
        await asyncio.sleep(self.load_rng.uniform(0, 2))
        name, submitted, credential = self._draw_job()
        self.cell.audit.jobs[name] = submitted
        vm = self.load_rng.choice(sorted(self.cell.vms))
        await self._call(vm, 'POST', name, credential, submitted.body)
        submitted.cancel_asked = True
        for _ in range(MAX_CANCELS):
            vm = self.load_rng.choice(sorted(self.cell.vms))
            status, _ = await self._call(vm, 'DELETE', name, credential)
            if status in {OK, GONE}:
                submitted.cancelled_ms = self.cell.now_ms()
                break
            await asyncio.sleep(self.load_rng.uniform(0, 0.5))

    def _draw_job(self) -> tuple[str, SubmittedJob, Credential]:
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
        credential = self.tenants.draw_caller()
        submitted = SubmittedJob(
            job_body(steps),
            'cpu',
            3,
            work_ms=work_ms,
            deadly=frozenset(('0.0',) if is_deadly else ()),
            tenant=credential.tenant,
        )
        return name, submitted, credential

    async def submit(
        self,
        vm: str,
        name: str,
        submitted: SubmittedJob,
        credential: Credential,
    ) -> None:
        """Submit a job and register it with the auditor."""
        self.cell.audit.jobs[name] = submitted
        status, _ = await self._call(
            vm, 'POST', name, credential, submitted.body
        )
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
            name = self.rng.choice(self.faults)
            self.injected.append(name)
            inject = (SOAK_FAULTS.entries | SOAK_TENANT_FAULTS.entries)[name]
            running_faults.append(asyncio.create_task(inject(self)))
        await asyncio.gather(*running_faults)

    async def _clear_faults(self) -> None:
        for proxy in self.cell.proxies():
            proxy.clear_faults()
        net = self.net
        for impairment in (net.lost, net.late, net.slow, net.failing_reads):
            impairment.clear()
        for vm in self.cell.vms.values():
            await vm.send(signal.SIGCONT)
            await vm.start()

    async def _await_final(self) -> list[str]:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + FINAL_TIMEOUT_S
        unfinished_jobs = list(self.accepted)
        while unfinished_jobs and loop.time() < deadline_s:
            open_jobs = []
            for name in unfinished_jobs:
                if await self._state(name) not in FINAL_PHASES:
                    open_jobs.append(name)
            unfinished_jobs = open_jobs
            await asyncio.sleep(0.3)
        return unfinished_jobs

    async def _state(self, name: str) -> str:
        vm = self.load_rng.choice(sorted(self.cell.vms))
        return await self.query_state(vm, name, self.tenants.key_of(name))

    async def query_state(self, vm: str, name: str, key: str) -> str:
        """Return the state of a job, or an empty string."""
        credential = Credential(self.cell.audit.jobs[name].tenant, key)
        status, fields = await self._call(vm, 'GET', name, credential)
        if status == GONE:
            self.cell.audit.report_violation(
                'LOST', f'{name} was accepted but is reported as gone'
            )
        state = str(fields.get('state', ''))
        if state:
            self.cell.audit.check_phase(name, state)
        return state

    async def _call(
        self,
        vm: str,
        method: str,
        name: str,
        credential: Credential,
        body: dict[str, Any] | None = None,
    ) -> tuple[int, dict[str, Any]]:
        """Call a VM about a job, and let the auditor check the response."""
        url = f'{self.cell.callers_url(vm)}/batch/{name}'
        sent_ms = self.cell.now_ms()
        status, fields = await call(
            self.session, method, url, credential.key, body
        )
        if self.cell.shape.tenants:
            self.tenants.check_call(vm, credential, status, sent_ms)
        return status, fields


async def call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    key: str = '',
    body: dict[str, Any] | None = None,
) -> tuple[int, dict[str, Any]]:
    """Return the status, or 0 without a response, and the JSON body."""
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    headers = {'Host': ROUTE_HOST}
    if key:
        headers[KEY_HEADER] = key
        # Calls to a suspended VM are answered once it is resumed.
        timeout = aiohttp.ClientTimeout(total=KEYED_CALL_TIMEOUT_S)
    try:
        async with session.request(
            method, url, json=body, headers=headers, timeout=timeout
        ) as reply:
            raw = await reply.read()
            return reply.status, await reply.json() if raw else {}
    except (aiohttp.ClientError, TimeoutError, OSError):
        # There is no response: the outcome of the call is unknown.
        return 0, {}


async def run_soak(
    seed: int,
    length_s: float,
    folder: Path,
    deadly_share: float = 0,
    with_tenants: bool = False,
    only: tuple[str, ...] = (),
) -> SoakResult:
    """Run the soak of a seed; its processes log to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    soaked = Soak(seed, length_s, folder, deadly_share, with_tenants, only)
    return await soaked.run()


def soak(
    seed: int,
    length_s: float,
    folder: Path | None = None,
    deadly_share: float = 0,
    with_tenants: bool = False,
    only: tuple[str, ...] = (),
) -> SoakResult:
    """Run the soak of a seed; without a folder, the logs are dropped."""
    with tempfile.TemporaryDirectory() as temporary_folder:
        logs = folder or Path(temporary_folder)
        return asyncio.run(
            run_soak(seed, length_s, logs, deadly_share, with_tenants, only)
        )
