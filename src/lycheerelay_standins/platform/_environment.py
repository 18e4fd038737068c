"""Environment of the entry VMs: store, workers and advisor."""

import asyncio
import json
import zlib
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Collection
from typing import Any, Final, NamedTuple

from lycheerelay._clock import MS_PER_SECOND
from lycheerelay.serving import Reply

from ._audit import Audit
from ._network import Handler, Request
from ._store import RECORD_BYTES, StoreStandIn
from ._tenants import TenantBook, TenantBounds, TenantShape
from ._worker import ActiveRun, Shape, WorkerStandIn

ROUTE_HOST: Final = 'cell.example'
HEARTBEAT_INTERVAL_MS: Final = 1500
MISSED_HEARTBEATS_LIMIT: Final = 3
GANG_START_TIMEOUT_MS: Final = 3000
ADVICE_LATENCY_S: Final = 0.02
TICKET_VALIDITY_MS: Final = 2000
# The advisor refuses a call of a VM that has more than these waiting.
MAX_WAITING_ADVICE_CALLS: Final = 32
# Clock readings at which a restarted worker may begin: behind or ahead of the one
# before.
RESTART_CLOCKS_MS: Final = (1, 50_000_000)


# Time from the crash of a worker by a task to the start of the next process.
CRASH_PAUSE_S: Final = 3
# Faults on the path between a VM and the store last longer than this interval.
CONTACT_CHECK_INTERVAL_S: Final = 0.05


class QueueShape(NamedTuple):
    """Settings of one queue of a cell."""

    name: str
    pool: str
    max_attempts: int = 3
    advice: dict[str, float] | None = None
    is_public: bool = False


class MachineShape(NamedTuple):
    """Memory and file descriptors of a machine that runs an entry VM."""

    memory_mb: int
    file_descriptors: int


class CellShape(NamedTuple):
    """Size and settings of a cell.

    `keeps_ids` says whether a worker that a task has crashed starts again under
    its id. Without tenants the configuration has neither tenants nor keys, and
    `quota_window_ms` applies to a configuration that a test publishes itself.
    A worker accepts `worker_channels` channels, any number with 0. With
    `allowed_share`, the advisor allows that share of the workers for each step, and
    serves one call of a VM at a time, which takes the times of its queue.
    Without `machine` the settings of a VM name no limits of memory and descriptors.
    `caller_limits` are the fields of the configuration's limits for callers.
    """

    vms: int = 3
    workers: tuple[Shape, ...] = ()
    queues: tuple[QueueShape, ...] = (QueueShape('batch', 'cpu'),)
    lease_ms: int = 6000
    status_ms: int = 120_000
    seed: int = 1
    keeps_ids: bool = False
    tenants: tuple[TenantShape, ...] = ()
    bounds: TenantBounds = TenantBounds()
    quota_window_ms: int = 0
    worker_channels: int = 0
    record_bytes: int = RECORD_BYTES
    allowed_share: float = 0
    machine: MachineShape | None = None
    caller_limits: tuple[tuple[str, int], ...] = ()


class Environment(ABC):
    """Stand-ins around the entry VMs, with an auditor of the runs."""

    def __init__(self, shape: CellShape, now_ms: Callable[[], int]) -> None:
        """Create an empty store and no worker."""
        self.shape = shape
        self.now_ms = now_ms
        self.store = StoreStandIn(now_ms)
        self.store.record_bytes = shape.record_bytes
        self.audit = Audit()
        self.workers: dict[str, WorkerStandIn] = {}
        self.addresses: dict[str, str] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.created_count = 0
        self.tickets: dict[tuple[str, str], int] = {}
        self.advice_turns: dict[str, asyncio.Lock] = {}
        self.advice_calls: Counter[str] = Counter()
        self.version = 0
        self.gangs: dict[
            tuple[str, int], list[tuple[WorkerStandIn, ActiveRun]]
        ] = {}
        self.audit.tenants.bounds = shape.bounds
        self.tenants = TenantBook(shape.tenants, self.configure)
        # Last time at which the path of a VM to the store was impaired.
        self.impaired_ms: dict[str, int] = {}

    @abstractmethod
    def impaired_vms(self) -> Collection[str]:
        """Return the VMs that cannot use the store without hindrance."""

    @abstractmethod
    def can_reach_store(self, worker_id: str) -> bool:
        """Return whether the writes of a worker reach the store."""

    @abstractmethod
    def assign_address(
        self, name: str, handler: Handler, reused_address: str
    ) -> str:
        """Register a worker's handler at a new or a reused address."""

    def configure(self, **changes: Any) -> None:
        """Write the next version of the configuration.

        `changes` maps queue names to other pools.
        """
        self.version += 1
        routes = [
            {
                'name': queue.name,
                'host': ROUTE_HOST,
                'pathPrefix': f'/{queue.name}/',
                'service': changes.get(queue.name, queue.pool),
                'maxAttempts': queue.max_attempts,
                'stretch': 2.0,
                'targetLatencyMs': 1000,
                'placementAdvisor': queue.advice,
            }
            for queue in self.shape.queues
        ]
        pools = sorted({shape.pool for shape in self.shape.workers})
        config = {
            'version': self.version,
            'routes': routes,
            'services': [{'name': pool} for pool in pools],
            'limits': {
                'maxBodyBytes': 262144,
                **dict(self.shape.caller_limits),
            },
        }
        if self.shape.tenants:
            for route, queue in zip(routes, self.shape.queues, strict=True):
                route['public'] = queue.is_public
            config['tenants'] = self.tenants.config_fields()
        self.store.put('keyed.op', 'config', config)
        self.audit.tenants.confirm_version(
            self.version, self.now_ms(), self.tenants.shapes.values()
        )

    def is_in_contact(self, vm: str, since_ms: int) -> bool:
        """Return whether a VM could use the store since a time until now."""
        self._note_impairments()
        return self.impaired_ms.get(vm, 0) < since_ms

    async def watch_contact(self) -> None:
        """Note which VMs cannot use the store, until cancelled."""
        while True:
            self._note_impairments()
            await asyncio.sleep(CONTACT_CHECK_INTERVAL_S)

    def _note_impairments(self) -> None:
        for vm in self.impaired_vms():
            self.impaired_ms[vm] = self.now_ms()

    def add_worker(self, shape: Shape, address: str = '') -> WorkerStandIn:
        """Start a worker at a new address, or at the given one."""
        self.created_count += 1
        return self._start_worker(f'w-{self.created_count}', shape, address)

    def restart_worker(
        self, worker: WorkerStandIn, clock_ms: int = 1
    ) -> WorkerStandIn:
        """Start a crashed worker again under its id, at the same address.

        It knows nothing of before, and its clock starts at `clock_ms`.
        """
        worker_id = worker.worker_id
        address = self.addresses[worker_id]
        started = self._start_worker(worker_id, worker.shape, address)
        started.clock_offset_ms = clock_ms - started.clock_ms()
        return started

    def _start_worker(
        self, worker_id: str, shape: Shape, address: str
    ) -> WorkerStandIn:
        worker = WorkerStandIn(
            worker_id,
            shape,
            self.audit,
            self.now_ms,
            self.shape.lease_ms,
        )
        worker.on_gang_run_started = self._on_gang_run_started
        worker.on_run_ended = self._on_run_ended
        worker.on_deadly_run = self._on_deadly_run
        assigned = self.assign_address(worker_id, worker.handle, address)
        self.workers[worker_id] = worker
        self.addresses[worker_id] = assigned
        loop = asyncio.get_running_loop()
        self.tasks.append(
            loop.create_task(self._send_heartbeats(worker, assigned))
        )
        return worker

    def crash_worker(self, worker: WorkerStandIn) -> None:
        """Crash a worker, for good unless it is started again."""
        lost = list(worker.runs.values())
        worker.crash()
        self.workers.pop(worker.worker_id, None)
        for run in lost:
            self._on_run_ended(worker, run, 'crashed')

    def _on_deadly_run(self, worker: WorkerStandIn) -> None:
        if self.workers.get(worker.worker_id) is not worker:
            return
        self.crash_worker(worker)
        asyncio.get_running_loop().call_later(
            CRASH_PAUSE_S, self._replace_crashed, worker
        )

    def _replace_crashed(self, worker: WorkerStandIn) -> None:
        if self.shape.keeps_ids:
            self.restart_worker(worker)
        else:
            self.add_worker(worker.shape, self.addresses[worker.worker_id])

    async def advise(self, request: Request) -> Reply:
        """Return a ticket for each known worker of an advisor call."""
        body = json.loads(request.body)
        if not self.shape.allowed_share:
            await asyncio.sleep(ADVICE_LATENCY_S)
        elif self.advice_calls[request.origin] > MAX_WAITING_ADVICE_CALLS:
            return Reply(429)
        else:
            await self._decide_in_turn(
                request.origin, body['step'], len(body['workers'])
            )
        until_ms = self.now_ms() + TICKET_VALIDITY_MS
        known_workers = [
            name
            for name in body['workers']
            if name in self.workers and self.is_allowed(body['step'], name)
        ]
        for name in known_workers:
            self.tickets[body['step'], name] = until_ms
        rows = [[name, f'{body["step"]}@{name}'] for name in known_workers]
        answer = {'good': rows, 'validityMs': TICKET_VALIDITY_MS}
        return Reply(200, json.dumps(answer).encode())

    async def _decide_in_turn(
        self, origin: str, step: str, workers: int
    ) -> None:
        queue = self.audit.jobs[step.partition('.')[0]].queue
        advice = next(one for one in self.shape.queues if one.name == queue)
        times = advice.advice or {}
        decision_ms = times['decisionMs'] + times['periodMs'] * workers
        turn = self.advice_turns.setdefault(origin, asyncio.Lock())
        self.advice_calls[origin] += 1
        try:
            async with turn:
                await asyncio.sleep(decision_ms / MS_PER_SECOND)
        finally:
            self.advice_calls[origin] -= 1

    def is_allowed(self, step: str, worker_id: str) -> bool:
        """Return whether the advisor allows a worker for a step."""
        share = self.shape.allowed_share or 1
        drawn = zlib.crc32(f'{self.shape.seed} {step} {worker_id}'.encode())
        return drawn < share * 2**32

    async def _send_heartbeats(
        self, worker: WorkerStandIn, address: str
    ) -> None:
        sequence = 0
        missed = 0
        while not self._is_restarted(worker):
            if worker.is_up and self.can_reach_store(worker.worker_id):
                missed = 0
                sequence += 1
                self._register(worker, address, sequence)
            else:
                missed += 1
            if missed == MISSED_HEARTBEATS_LIMIT:
                self.store.drop('keyed.servers', worker.worker_id)
            if missed > MISSED_HEARTBEATS_LIMIT and not worker.is_up:
                return
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / MS_PER_SECOND)

    def _is_restarted(self, worker: WorkerStandIn) -> bool:
        current = self.workers.get(worker.worker_id, worker)
        return current is not worker

    def _register(
        self,
        worker: WorkerStandIn,
        address: str,
        sequence: int,
    ) -> None:
        shape = worker.shape
        self.store.put(
            'keyed.servers',
            worker.worker_id,
            {
                'service': shape.pool,
                'address': address,
                'zone': 'a',
                'state': 'draining' if worker.draining else 'ready',
                'capacity': {
                    'cpu': shape.cores_milli,
                    'memMb': shape.memory_mb,
                    'gpus': shape.accelerators,
                },
                'labels': ['a', shape.rack],
                'born': worker.born_ms,
                'clockMs': worker.clock_ms(),
                'sequence': sequence,
            },
        )

    def _on_gang_run_started(
        self,
        worker: WorkerStandIn,
        run: ActiveRun,
        step: dict[str, Any],
    ) -> None:
        key = (run.observed.name.rsplit('.', 1)[0], run.observed.number)
        members = self.gangs.setdefault(key, [])
        members.append((worker, run))
        if len(members) == step['count']:
            for host, member in members:
                host.start_work(member)
            return
        asyncio.get_running_loop().call_later(
            GANG_START_TIMEOUT_MS / MS_PER_SECOND,
            self._check_gang_timeout,
            worker,
            run,
        )

    def _check_gang_timeout(
        self, worker: WorkerStandIn, run: ActiveRun
    ) -> None:
        if run.awaits_gang:
            worker.end_run(run, 'alone')

    def _on_run_ended(
        self,
        worker: WorkerStandIn,
        run: ActiveRun,
        outcome: str,
    ) -> None:
        key = (run.observed.name.rsplit('.', 1)[0], run.observed.number)
        if outcome == 'done' or not run.request:
            return
        for host, member in self.gangs.pop(key, ()):
            if member is not run:
                host.end_run(member, 'broken')
