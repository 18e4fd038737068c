"""Run real entry VMs against served stand-ins on the loopback network."""

import asyncio
import os
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any, Final, final

from aiohttp import web

from lycheerelay._clock import MS_PER_SECOND
from lycheerelay.serving import Reply

from ._net import Handler, Net, Request
from ._served import Proxy, serve
from ._surroundings import CellShape, Surroundings

DEPLOYED: Final = Path(__file__).parents[3] / 'deploy' / 'serve.py'
STORE_NAME: Final = 'store'
ADVISOR_NAME: Final = 'advisor'
# Stops are given so long, in s, before a process is killed.
STOP_S: Final = 10
# A soak uses the addresses 127.N, for one of these numbers.
NETWORKS: Final = range(20, 220)
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
[platform]
address = "{store}"
minTtlMs = 1000
"""


@final
class EntryProcess:
    """Run one entry VM as a process of its own."""

    def __init__(self, name: str, folder: Path, log: Path) -> None:
        """Read the settings from a folder; write lines to a log."""
        self.name = name
        self.settings = folder / f'{name}.toml'
        self.log = log
        self.process: asyncio.subprocess.Process | None = None
        self.is_frozen = False

    @property
    def is_running(self) -> bool:
        """Tell whether the process is there."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start the process, unless it runs."""
        if self.is_running:
            return
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(DEPLOYED),
                env={**os.environ, 'LYCHEERELAY_CONFIG': str(self.settings)},
                stdout=log,
                stderr=log,
            )
        self.is_frozen = False

    async def send(self, number: signal.Signals) -> None:
        """Send a signal; wait for the end where it ends the process."""
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
            async with asyncio.timeout(STOP_S):
                await self.process.wait()
        except TimeoutError:
            # It did not end in its grace; the soak goes on without it.
            self.process.kill()
            await self.process.wait()


@final
class SoakCell(Surroundings):
    """Hold the processes, the proxies and the served stand-ins.

    Each entry VM reaches the store through a proxy of its own; each worker
    is reached through one that all entry VMs share.
    """

    def __init__(self, shape: CellShape, folder: Path, net: Net) -> None:
        """Keep settings and logs in a folder; `net` harms the store's calls."""
        super().__init__(shape, _wall_ms)
        self.folder = folder
        self.net = net
        self.runners: list[web.ServerRunner] = []
        self.vms: dict[str, EntryProcess] = {}
        self.hosts: dict[str, str] = {}
        self.store_ways: dict[str, Proxy] = {}
        self.worker_ways: dict[str, Proxy] = {}
        self.handlers: dict[str, Handler] = {}
        self.claim = _claim_network()
        self.network = self.claim.getsockname()[0].removesuffix('.0.1')

    async def begin(self) -> None:
        """Serve the stand-ins and start every process."""
        self.net.listen(STORE_NAME, STORE_NAME, self.store.handle)
        store = f'{self.network}.0.1:9000'
        advisor = f'{self.network}.0.2:9000'
        self.runners.append(await serve(self._store_call, store))
        self.runners.append(await serve(self.advise, advisor))
        self.configure()
        for shape in self.shape.workers:
            worker = self.add_worker(shape)
            await self._serve_worker(worker.worker_id)
        for number in range(self.shape.vms):
            await self._make_vm(number, store, advisor)

    async def finish(self) -> None:
        """End every process and close every socket."""
        for vm in self.vms.values():
            await vm.send(signal.SIGKILL)
        for task in self.tasks:
            task.cancel()
        for way in self.ways():
            way.stop()
        for runner in self.runners:
            await runner.cleanup()
        self.claim.close()

    def ways(self) -> list[Proxy]:
        """Return every proxy."""
        return [*self.store_ways.values(), *self.worker_ways.values()]

    def callers_url(self, vm: str) -> str:
        """Return where callers reach a VM."""
        return f'http://{self.hosts[vm]}:8149'

    def reaches_store(self, worker_id: str) -> bool:
        """Tell whether what a worker writes arrives at the store."""
        return not any(way.refusing for way in self.store_ways.values())

    def give_address(self, name: str, handler: Handler, used: str) -> str:
        """Name the address of a worker's proxy."""
        self.handlers[name] = handler
        return used or f'{self.network}.2.{self.made}:8080'

    async def _serve_worker(self, worker_id: str) -> None:
        address = self.addresses[worker_id]
        behind = address.replace(':8080', ':8081')
        self.runners.append(await serve(self.handlers[worker_id], behind))
        way = Proxy(address, behind)
        await way.start()
        self.worker_ways[worker_id] = way

    async def _make_vm(self, number: int, store: str, advisor: str) -> None:
        name = f'vm-{number}'
        host = f'{self.network}.1.{number + 1}'
        way = Proxy(f'{self.network}.3.{number + 1}:9000', store)
        await way.start()
        fields = {
            'name': name,
            'host': host,
            'advisor': advisor,
            'store': way.address,
            'lease_ms': self.shape.lease_ms,
        }
        (self.folder / f'{name}.toml').write_text(SETTINGS.format(**fields))
        self.hosts[name] = host
        self.store_ways[name] = way
        log = self.folder / f'{name}.log'
        self.vms[name] = EntryProcess(name, self.folder, log)
        await self.vms[name].start()

    async def _store_call(self, request: Request) -> Reply:
        reply = await self.net.carry_out(STORE_NAME, request)
        if reply is None:
            # Its answer is lost: the channel stays open without one.
            await asyncio.sleep(60)
            return Reply(503)
        return reply


def _claim_network() -> socket.socket:
    """Claim a part of the loopback network while the socket is open."""
    for number in NETWORKS:
        claim = socket.socket()
        try:
            claim.bind((f'127.{number}.0.1', CLAIM_PORT))
        except OSError:
            # Another soak runs there; the next part is tried.
            claim.close()
            continue
        return claim
    raise OSError('every part of the loopback network is in use')


def _wall_ms() -> int:
    return int(time.time() * MS_PER_SECOND)


def job_body(steps: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the body of a submission."""
    return {'spec': 'x', 'steps': steps}
