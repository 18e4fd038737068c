"""Run a whole cell of the platform in virtual time."""

import asyncio
import json
import random
from collections.abc import Awaitable, Collection, Coroutine
from contextvars import Context
from typing import Any, Final, final
from urllib.parse import urlencode

from lycheerelay._clock import MS_PER_SECOND
from lycheerelay.platform import Entry, PlatformSettings, decode_job
from lycheerelay.serving import (
    GROUP_TTL_MS,
    Reply,
    RequestResult,
    StoreLimits,
    is_workflow_path,
)
from lycheerelay.workflow import FINAL_PHASES

from ._audit import SubmittedJob
from ._channels import ChannelPool
from ._environment import ROUTE_HOST, CellShape, Environment
from ._freezing import FreezableLoop, process_context, run_as
from ._network import EmulatedNetwork, Handler, NetCaller, Request
from ._virtual_time import LoopClock

EPOCH_MS: Final = 1_700_000_000_000
STORE_ADDRESS: Final = '10.9.0.1:80'
ADVISOR_ADDRESS: Final = '10.9.0.2:80'
BYTES_PER_MBIT: Final = 125_000


@final
class PlatformCell(Environment):
    """Run entry VMs against the stand-ins on the emulated network."""

    def __init__(self, shape: CellShape) -> None:
        """Create the cell; requires a running virtual loop."""
        self.clock = LoopClock(EPOCH_MS)
        super().__init__(shape, self.clock.now_ms)
        self.rng = random.Random(shape.seed)
        self.net = EmulatedNetwork(self.rng)
        self.entries: dict[str, Entry] = {}
        # Contexts of the VMs' processes, and the calls of callers in progress.
        self.contexts: dict[str, Context] = {}
        self.channels: dict[str, ChannelPool] = {}
        self.calls: dict[str, set[asyncio.Task[Any]]] = {}
        self.net.listen(STORE_ADDRESS, 'store', self.store.handle)
        self.net.listen(ADVISOR_ADDRESS, 'advisor', self.advise)

    def impaired_vms(self) -> Collection[str]:
        """Return the VMs that cannot use the store without hindrance."""
        refusing = {vm for vm, _ in self.net.refusing}
        refusing.update(self.net.failing_reads)
        return [
            name
            for name in self.entries
            if self.net.is_cut(name, STORE_ADDRESS)
            or not refusing.isdisjoint((name, '*'))
            or self.is_frozen(name)
        ]

    def can_reach_store(self, worker_id: str) -> bool:
        """Return whether the writes of a worker reach the store."""
        is_cut = self.net.is_cut(worker_id, STORE_ADDRESS)
        return not is_cut and ('*', STORE_ADDRESS) not in self.net.refusing

    def assign_address(
        self, name: str, handler: Handler, reused_address: str
    ) -> str:
        """Register a worker's handler at a new or a reused address."""
        address = reused_address or f'10.2.0.{self.created_count}:80'
        self.net.listen(address, name, handler)
        if self.shape.worker_channels:
            self.net.channels.limits[address] = self.shape.worker_channels
        return address

    async def begin(self) -> None:
        """Write the configuration, start the workers and the entry VMs."""
        self.configure()
        for shape in self.shape.workers:
            self.add_worker(shape)
        for number in range(self.shape.vms):
            self.start_vm(f'vm-{number}')
        if self.shape.tenants:
            loop = asyncio.get_running_loop()
            self.tasks.append(loop.create_task(self.watch_contact()))
        await asyncio.sleep(3)

    async def finish(self) -> None:
        """Stop every entry VM and worker."""
        for entry in self.entries.values():
            entry.halt()
        for task in self.tasks:
            task.cancel()
        await asyncio.sleep(0)

    def start_vm(self, name: str, link_mbps: float = 1000) -> Entry:
        """Start an entry VM, or restart it after a kill."""
        self.created_count += 1
        host = f'10.1.0.{self.created_count}'
        settings = PlatformSettings(
            vm=name,
            domain='a',
            host=host,
            callers_address=f'{host}:1',
            ready_address=f'{host}:2',
            internal_port=3,
            store_address=STORE_ADDRESS,
            advisor_address=ADVISOR_ADDRESS,
            lease_ms=self.shape.lease_ms,
            status_ms=self.shape.status_ms,
            stop_grace_ms=6000,
            group_ttl_ms=GROUP_TTL_MS,
            link_mbps=link_mbps,
            store_limits=StoreLimits(self.shape.record_bytes),
            **self._tenant_settings(),
        )
        self.net.bytes_per_s[name] = link_mbps * BYTES_PER_MBIT
        caller = NetCaller(self.net, name)
        self.channels[name] = caller.channels
        context = process_context(name)
        self.contexts[name] = context
        entry = context.run(
            Entry, settings, caller, self.clock, str(self.created_count)
        )
        self.entries[name] = entry
        self.impaired_ms[name] = self.now_ms()
        handler = _internal_handler(entry)
        if self.shape.tenants:
            handler = _in_process(context, handler)
        self.net.listen(f'{host}:3', name, handler)
        context.run(entry.start)
        return entry

    def _tenant_settings(self) -> dict[str, Any]:
        if not self.shape.tenants:
            return {'quota_window_ms': self.shape.quota_window_ms}
        bounds = self.shape.bounds
        return {
            'strict_revocation': True,
            'revocation_ms': bounds.revocation_ms,
            'quota_window_ms': bounds.quota_window_s * MS_PER_SECOND,
        }

    def freeze_vm(self, name: str) -> None:
        """Suspend a VM; its clock goes on, and calls to it wait."""
        self._freezable_loop().freeze(name)

    def thaw_vm(self, name: str) -> None:
        """Resume a VM, which then handles all that it finds, in any order."""
        self._freezable_loop().thaw(name, self.rng)

    def is_frozen(self, name: str) -> bool:
        """Return whether a VM is suspended."""
        loop = asyncio.get_running_loop()
        return isinstance(loop, FreezableLoop) and loop.is_frozen(name)

    def _freezable_loop(self) -> FreezableLoop:
        loop = asyncio.get_running_loop()
        if not isinstance(loop, FreezableLoop):
            raise TypeError('only a FreezableLoop can suspend a VM')
        return loop

    def call_in_vm(
        self, name: str, work: Coroutine[Any, Any, Any]
    ) -> asyncio.Task[Any]:
        """Run a caller's request as code of a VM, until the VM is killed."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(work, context=self.contexts[name].copy())
        calls = self.calls.setdefault(name, set())
        calls.add(task)
        task.add_done_callback(calls.discard)
        return task

    def cut_power(self, name: str) -> None:
        """Kill an entry VM whose channels to the workers stay open."""
        self.channels[name].has_power = False
        self.kill_vm(name)

    def kill_vm(self, name: str) -> None:
        """Kill an entry VM without a shutdown."""
        entry = self.entries.pop(name)
        self.channels.pop(name).close()
        for call in self.calls.pop(name, ()):
            call.cancel()
        entry.halt()
        if self.is_frozen(name):
            # Its callbacks find their tasks cancelled.
            self.thaw_vm(name)
        address = f'{entry.settings.host}:{entry.settings.internal_port}'
        self.net.handlers.pop(address, None)

    def owner(self) -> str:
        """Return the VM that serves as the owner, or an empty string."""
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
        deadly: Collection[str] = (),
        failing: Collection[str] = (),
    ) -> tuple[str, RequestResult]:
        """Submit a job at a VM and register it with the auditor.

        `deadly` names the tasks that crash their workers and `failing` those
        that fail wherever they run, as `STEP.MEMBER`.
        """
        entry = self.entries[vm]
        name = job_id or f'{self.rng.getrandbits(64):016x}'
        table = entry.config.table
        assert table is not None, 'the cell has no configuration yet'
        found = table.find(ROUTE_HOST, f'/{queue}/{name}')
        assert found is not None, f'queue {queue} is not configured'
        raw = json.dumps(body).encode()
        policy = found.policy
        spec = decode_job(raw, name, policy, self.clock.now_ms()).unwrap()
        submitted = self.audit.jobs.setdefault(
            name,
            SubmittedJob(
                body,
                policy.pool,
                policy.max_attempts,
                work_ms=work_ms,
                deadly=frozenset(deadly),
                failing=frozenset(failing),
                queue=queue,
            ),
        )
        outcome = await entry.handler.submit(spec, 3000)
        submitted.accepted = submitted.accepted or outcome.status.value == 'ok'
        submitted.outcome_unknown |= outcome.status.value == 'unknown_outcome'
        return name, outcome

    def register_document(
        self,
        job_id: str,
        document: dict[str, Any],
        work_ms: int = 500,
    ) -> None:
        """Register with the auditor a job submitted as a job document."""
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
        submitted = SubmittedJob(
            body, queue.pool, queue.max_attempts, accepted=True
        )
        submitted.work_ms = work_ms
        self.audit.jobs[job_id] = submitted

    async def state(self, vm: str, job_id: str, queue: str = 'batch') -> str:
        """Return a job's phase as a VM reports it, or the error status."""
        entry = self.entries[vm]
        outcome = await entry.handler.state(job_id, queue, 3000)
        if outcome.status.value != 'ok':
            return outcome.status.value
        self.audit.check_phase(job_id, outcome.content)
        return str(outcome.content)

    async def cancel(self, vm: str, job_id: str, queue: str = 'batch') -> str:
        """Cancel a job at a VM and return the request status.

        Callers take the status of an unknown job for an acknowledgement as well.
        """
        entry = self.entries[vm]
        outcome = await entry.handler.cancel(job_id, queue, 3000)
        submitted = self.audit.jobs[job_id]
        submitted.cancel_asked = True
        is_acknowledged = outcome.status.value in {'ok', 'no_such_job'}
        if is_acknowledged and submitted.cancelled_ms < 0:
            submitted.cancelled_ms = self.clock.now_ms()
        return outcome.status.value

    async def settle(
        self, job_ids: list[str], within_s: float
    ) -> dict[str, str]:
        """Wait until jobs are final; return the last phase of each."""
        deadline_s = asyncio.get_running_loop().time() + within_s
        phases: dict[str, str] = {}
        while asyncio.get_running_loop().time() < deadline_s:
            vm = self.rng.choice(sorted(self.entries))
            for job_id in job_ids:
                phases[job_id] = await self.state(vm, job_id)
            if all(phase in FINAL_PHASES for phase in phases.values()):
                break
            await asyncio.sleep(0.5)
        return phases


def _in_process(context: Context, handler: Handler) -> Handler:
    async def handle(request: Request) -> Reply:
        reply: Reply = await run_as(context, _await(handler(request)))
        return reply

    return handle


async def _await(work: Awaitable[Reply]) -> Reply:
    return await work


def _internal_handler(entry: Entry) -> Any:
    async def handle(request: Request) -> Reply:
        if is_workflow_path(request.path):
            answer = await entry.workflows.answer(
                request.method,
                f'{request.path}?{urlencode(request.query)}',
                request.body,
                request.headers,
            )
        else:
            answer = await entry.internal.answer(request.path, request.body)
        return Reply(answer.status, answer.raw)

    return handle
