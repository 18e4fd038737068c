"""Run entry VMs as processes, with stand-ins on the loopback network."""

import asyncio
import os
import signal
import socket
import sys
import time
from collections.abc import Collection
from pathlib import Path
from typing import Any, Final, final

from aiohttp import web

from lycheerelay._clock import MS_PER_SECOND
from lycheerelay.serving import Reply

from ._environment import CellShape, Environment
from ._network import EmulatedNetwork, Handler, Request
from ._proxy import Proxy, serve

SERVE_SCRIPT: Final = Path(__file__).parents[3] / 'deploy' / 'serve.py'
STORE_NAME: Final = 'store'
ADVISOR_NAME: Final = 'advisor'
# A process that takes longer to stop is killed.
STOP_TIMEOUT_S: Final = 10
# A soak claims all addresses 127.N.x.x for one N of these.
LOOPBACK_NETWORKS: Final = range(20, 220)
CLAIM_PORT: Final = 8999

SETTINGS: Final = """
nodeName = "{name}"
ip = "{host}"
zone = "a"
internalPortRange = [7380, 7395]
placementAdvisor = "{advisor}"
[listen]
front = "{host}:8149"
ready = "{host}:8141"
[bounds]
maxHoldMs = {lease_ms}
status_s = 120
graceS = 6
{tenant_bounds}
[platform]
address = "{store}"
minTtlMs = 1000
{machine_limits}
"""
MACHINE_LIMITS: Final = """
[limits]
memoryMb = {machine.memory_mb}
fileDescriptors = {machine.file_descriptors}
"""
TENANT_BOUNDS: Final = """
strictRevocation = true
revocationMs = {bounds.revocation_ms}
quotaWindowS = {bounds.quota_window_s}
quotaOverage = {bounds.quota_overage}
quotaTolerance = 1
"""


@final
class EntryProcess:
    """One entry VM as a process."""

    def __init__(self, name: str, folder: Path, log: Path) -> None:
        """Set the folder of the settings file and the path of the log."""
        self.name = name
        self.settings = folder / f'{name}.toml'
        self.log = log
        self.process: asyncio.subprocess.Process | None = None
        self.is_frozen = False

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start the process unless it is running."""
        if self.is_running:
            return
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(SERVE_SCRIPT),
                env={**os.environ, 'LYCHEERELAY_CONFIG': str(self.settings)},
                stdout=log,
                stderr=log,
            )
        self.is_frozen = False

    async def send(self, number: signal.Signals) -> None:
        """Send a signal and wait for the end, unless it suspends or resumes."""
        if self.process is None or not self.is_running:
            return
        self.process.send_signal(number)
        if number is signal.SIGSTOP:
            self.is_frozen = True
        elif number is signal.SIGCONT:
            self.is_frozen = False
        else:
            await self._await_end()

    async def _await_end(self) -> None:
        if self.process is None:
            return
        if self.is_frozen:
            self.process.send_signal(signal.SIGCONT)
            self.is_frozen = False
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            # It exceeded the timeout: kill it so that the soak continues.
            self.process.kill()
            await self.process.wait()


@final
class SoakCell(Environment):
    """Processes of the entry VMs, proxies and served stand-ins.

    Each entry VM reaches the store through its own proxy; all entry VMs reach
    a worker through the same proxy.
    """

    def __init__(
        self, shape: CellShape, folder: Path, net: EmulatedNetwork
    ) -> None:
        """Set the folder of settings and logs; `net` has the store's faults."""
        super().__init__(shape, _wall_ms)
        self.folder = folder
        self.net = net
        self.runners: list[web.ServerRunner] = []
        self.vms: dict[str, EntryProcess] = {}
        self.hosts: dict[str, str] = {}
        self.store_proxies: dict[str, Proxy] = {}
        self.worker_proxies: dict[str, Proxy] = {}
        self.handlers: dict[str, Handler] = {}
        self.claim = _claim_network()
        self.network = self.claim.getsockname()[0].removesuffix('.0.1')

    async def begin(self) -> None:
        """Serve the stand-ins and start the entry VMs."""
        self.net.listen(STORE_NAME, STORE_NAME, self.store.handle)
        store = f'{self.network}.0.1:9000'
        advisor = f'{self.network}.0.2:9000'
        self.runners.append(await serve(self._handle_store_call, store))
        self.runners.append(await serve(self.advise, advisor))
        self.configure()
        for shape in self.shape.workers:
            worker = self.add_worker(shape)
            await self._serve_worker(worker.worker_id)
        for number in range(self.shape.vms):
            await self._start_vm(number, store, advisor)
        if self.shape.tenants:
            loop = asyncio.get_running_loop()
            self.tasks.append(loop.create_task(self.watch_contact()))

    async def finish(self) -> None:
        """Stop every process and close every socket."""
        for vm in self.vms.values():
            await vm.send(signal.SIGKILL)
        for task in self.tasks:
            task.cancel()
        for proxy in self.proxies():
            proxy.stop()
        for runner in self.runners:
            await runner.cleanup()
        self.claim.close()

    def proxies(self) -> list[Proxy]:
        """Return every proxy."""
        return [*self.store_proxies.values(), *self.worker_proxies.values()]

    def callers_url(self, vm: str) -> str:
        """Return the base URL of a VM for callers."""
        return f'http://{self.hosts[vm]}:8149'

    def impaired_vms(self) -> Collection[str]:
        """Return the VMs that cannot use the store without hindrance."""
        return [
            name
            for name, vm in self.vms.items()
            if vm.is_frozen
            or self.net.failing_reads
            or not vm.is_running
            or self.store_proxies[name].has_faults
        ]

    def can_reach_store(self, worker_id: str) -> bool:
        """Return whether the writes of a worker reach the store."""
        return not any(proxy.refusing for proxy in self.store_proxies.values())

    def assign_address(
        self, name: str, handler: Handler, reused_address: str
    ) -> str:
        """Return the address for a worker's proxy and keep its handler."""
        self.handlers[name] = handler
        return reused_address or f'{self.network}.2.{self.created_count}:8080'

    async def _serve_worker(self, worker_id: str) -> None:
        address = self.addresses[worker_id]
        backend = address.replace(':8080', ':8081')

        async def handle(request: Request) -> Reply:
            return await self.handlers[worker_id](request)

        self.runners.append(await serve(handle, backend))
        proxy = Proxy(address, backend)
        await proxy.start()
        self.worker_proxies[worker_id] = proxy

    async def _start_vm(self, number: int, store: str, advisor: str) -> None:
        name = f'vm-{number}'
        host = f'{self.network}.1.{number + 1}'
        proxy = Proxy(f'{self.network}.3.{number + 1}:9000', store)
        await proxy.start()
        fields = {
            'name': name,
            'host': host,
            'advisor': advisor,
            'store': proxy.address,
            'lease_ms': self.shape.lease_ms,
            'tenant_bounds': self._tenant_bounds(),
            'machine_limits': self._machine_limits(),
        }
        (self.folder / f'{name}.toml').write_text(SETTINGS.format(**fields))
        self.hosts[name] = host
        self.store_proxies[name] = proxy
        log = self.folder / f'{name}.log'
        self.vms[name] = EntryProcess(name, self.folder, log)
        await self.vms[name].start()

    def _tenant_bounds(self) -> str:
        if not self.shape.tenants:
            return ''
        return TENANT_BOUNDS.format(bounds=self.shape.bounds)

    def _machine_limits(self) -> str:
        if self.shape.machine is None:
            return ''
        return MACHINE_LIMITS.format(machine=self.shape.machine)

    async def _handle_store_call(self, request: Request) -> Reply:
        status = self.net.failing_status('', request)
        if status is not None:
            return Reply(status)
        reply = await self.net.execute(STORE_NAME, request)
        if reply is None:
            # The response is lost: the connection stays open without one.
            await asyncio.sleep(60)
            return Reply(503)
        return reply


def _claim_network() -> socket.socket:
    """Claim a part of the loopback network for as long as the socket is open.

    Raise OSError if every part is in use.
    """
    for number in LOOPBACK_NETWORKS:
        claim = socket.socket()
        try:
            claim.bind((f'127.{number}.0.1', CLAIM_PORT))
        except OSError:
            # Another soak uses this part: try the next one.
            claim.close()
            continue
        return claim
    raise OSError('every part of the loopback network is in use')


def _wall_ms() -> int:
    return int(time.time() * MS_PER_SECOND)


def job_body(steps: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the body of a job submission."""
    return {'spec': 'x', 'steps': steps}
