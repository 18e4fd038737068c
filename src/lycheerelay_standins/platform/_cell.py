"""Build a whole cell of the platform in virtual time."""

import asyncio
import json
import random
from typing import Any, Final, final
from urllib.parse import urlencode

from lycheerelay.platform import Entry, PlatformSettings, decode_job
from lycheerelay.serving import (
    GROUP_TTL_MS,
    Reply,
    RequestResult,
    is_workflow_path,
)
from lycheerelay.workflow import FINAL_PHASES

from ._audit import JobTruth
from ._net import Handler, Net, NetCaller, Request
from ._surroundings import HOST, CellShape, Surroundings
from ._virtual_time import LoopClock

EPOCH_MS: Final = 1_700_000_000_000
STORE: Final = '10.9.0.1:80'
ADVISOR: Final = '10.9.0.2:80'
BYTES_IN_MBIT: Final = 125_000


@final
class PlatformCell(Surroundings):
    """Run entry VMs of the product against stand-ins, with faults."""

    def __init__(self, shape: CellShape) -> None:
        """Build the platform; needs a running virtual loop."""
        self.clock = LoopClock(EPOCH_MS)
        super().__init__(shape, self.clock.now_ms)
        self.rng = random.Random(shape.seed)
        self.net = Net(self.rng)
        self.entries: dict[str, Entry] = {}
        self.net.listen(STORE, 'store', self.store.handle)
        self.net.listen(ADVISOR, 'advisor', self.advise)

    def reaches_store(self, worker_id: str) -> bool:
        """Tell whether what a worker writes arrives at the store."""
        is_cut = self.net.is_cut(worker_id, STORE)
        return not is_cut and ('*', STORE) not in self.net.refusing

    def give_address(self, name: str, handler: Handler, used: str) -> str:
        """Let a worker answer, at a used address if one is given."""
        place = used or f'10.2.0.{self.made}:80'
        self.net.listen(place, name, handler)
        return place

    async def begin(self) -> None:
        """Write the configuration and start every process."""
        self.configure()
        for shape in self.shape.workers:
            self.add_worker(shape)
        for number in range(self.shape.vms):
            self.start_vm(f'vm-{number}')
        await asyncio.sleep(3)

    async def finish(self) -> None:
        """End every process."""
        for entry in self.entries.values():
            entry.halt()
        for task in self.tasks:
            task.cancel()
        await asyncio.sleep(0)

    def start_vm(self, name: str, link_mbps: float = 1000) -> Entry:
        """Start an entry VM, also again after a kill."""
        self.made += 1
        host = f'10.1.0.{self.made}'
        settings = PlatformSettings(
            vm=name,
            domain='a',
            host=host,
            callers_address=f'{host}:1',
            ready_address=f'{host}:2',
            internal_port=3,
            store_address=STORE,
            advisor_address=ADVISOR,
            lease_ms=self.shape.lease_ms,
            status_ms=120_000,
            stop_grace_ms=6000,
            group_ttl_ms=GROUP_TTL_MS,
            link_mbps=link_mbps,
        )
        self.net.bytes_per_s[name] = link_mbps * BYTES_IN_MBIT
        caller = NetCaller(self.net, name)
        entry = Entry(settings, caller, self.clock, str(self.made))
        self.entries[name] = entry
        self.net.listen(f'{host}:3', name, _internal(entry))
        entry.start()
        return entry

    def kill_vm(self, name: str) -> None:
        """End a process at once."""
        entry = self.entries.pop(name)
        entry.halt()
        address = f'{entry.settings.host}:{entry.settings.internal_port}'
        self.net.hosts.pop(address, None)

    def owner(self) -> str:
        """Return the VM that acts as the owner, if one does."""
        for name, entry in self.entries.items():
            if (
                entry.handler.owner is not None
                and entry.handler.owner.is_serving
            ):
                return name
        return ''

    async def submit(
        self,
        vm: str,
        body: dict[str, Any],
        queue: str = 'batch',
        work_ms: int = 500,
        job_id: str = '',
    ) -> tuple[str, RequestResult]:
        """Hand in a job at a VM."""
        entry = self.entries[vm]
        name = job_id or f'{self.rng.getrandbits(64):016x}'
        table = entry.config.table
        assert table is not None, 'the cell has no configuration yet'
        found = table.find(HOST, f'/{queue}/{name}')
        assert found is not None, f'no queue {queue}'
        raw = json.dumps(body).encode()
        policy = found.policy
        spec = decode_job(raw, name, policy, self.clock.now_ms()).unwrap()
        truth = self.audit.jobs.setdefault(
            name,
            JobTruth(body, policy.pool, policy.max_attempts, work_ms=work_ms),
        )
        outcome = await entry.handler.submit(spec, 3000)
        truth.accepted = truth.accepted or outcome.status.value == 'ok'
        truth.unsure |= outcome.status.value == 'unknown_outcome'
        return name, outcome

    def know(
        self,
        job_id: str,
        document: dict[str, Any],
        work_ms: int = 500,
    ) -> None:
        """Tell the auditor of a job that comes as a job document."""
        steps = [
            {
                'count': step['width'],
                'cpu': step.get('cores_milli', 0),
                'memMb': step.get('memory_mb', 0),
                'after': step.get('after', ()),
            }
            for step in document['steps']
        ]
        queue = self.shape.queues[0]
        body = {'spec': document.get('payload', ''), 'steps': steps}
        truth = JobTruth(body, queue.pool, queue.max_attempts, accepted=True)
        truth.work_ms = work_ms
        self.audit.jobs[job_id] = truth

    async def state(self, vm: str, job_id: str, queue: str = 'batch') -> str:
        """Ask a VM for a job's phase; errors as their verdict."""
        entry = self.entries[vm]
        outcome = await entry.handler.state(job_id, queue, 3000)
        if outcome.status.value != 'ok':
            return outcome.status.value
        self.audit.shown(job_id, outcome.content)
        return str(outcome.content)

    async def cancel(self, vm: str, job_id: str, queue: str = 'batch') -> str:
        """Cancel a job at a VM."""
        entry = self.entries[vm]
        outcome = await entry.handler.cancel(job_id, queue, 3000)
        truth = self.audit.jobs[job_id]
        truth.cancel_asked = True
        if outcome.status.value == 'ok' and truth.cancelled_ms < 0:
            truth.cancelled_ms = self.clock.now_ms()
        return outcome.status.value

    async def settle(
        self, job_ids: list[str], within_s: float
    ) -> dict[str, str]:
        """Wait until jobs are final; return the phases last seen."""
        ends_s = asyncio.get_running_loop().time() + within_s
        phases: dict[str, str] = {}
        while asyncio.get_running_loop().time() < ends_s:
            vm = self.rng.choice(sorted(self.entries))
            for job_id in job_ids:
                phases[job_id] = await self.state(vm, job_id)
            if all(phase in FINAL_PHASES for phase in phases.values()):
                break
            await asyncio.sleep(0.5)
        return phases


def _internal(entry: Entry) -> Any:
    async def handle(request: Request) -> Reply:
        if is_workflow_path(request.path):
            answer = await entry.workflows.answer(
                request.method,
                f'{request.path}?{urlencode(request.query)}',
                request.body,
            )
        else:
            answer = await entry.internal.answer(request.path, request.body)
        return Reply(answer.status, answer.raw)

    return handle
