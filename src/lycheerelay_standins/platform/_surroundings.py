"""Stand in for what surrounds the entry VMs: store, workers, advisor."""

import asyncio
import json
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from lycheerelay._clock import MS_PER_SECOND
from lycheerelay.serving import Reply

from ._audit import Audit
from ._net import Handler, Request
from ._store import StoreStandIn
from ._worker import Live, Shape, WorkerStandIn

HOST: Final = 'cell.example'
BEAT_MS: Final = 1500
SILENT_BEATS: Final = 3
GANG_MS: Final = 3000
# A call to the advisor takes so long, in s, and its tickets hold, in ms.
ADVICE_S: Final = 0.02
TICKET_MS: Final = 2000


class QueueShape(NamedTuple):
    """Describe one queue of a cell."""

    name: str
    pool: str
    max_attempts: int = 3
    advice: dict[str, float] | None = None


class CellShape(NamedTuple):
    """Describe a cell."""

    vms: int = 3
    workers: tuple[Shape, ...] = ()
    queues: tuple[QueueShape, ...] = (QueueShape('batch', 'cpu'),)
    lease_ms: int = 6000
    seed: int = 1


class Surroundings(ABC):
    """Hold one store, its workers and the advisor, and judge what they see."""

    def __init__(self, shape: CellShape, now_ms: Callable[[], int]) -> None:
        """Start with an empty store and no worker."""
        self.shape = shape
        self.now_ms = now_ms
        self.store = StoreStandIn(now_ms)
        self.audit = Audit()
        self.workers: dict[str, WorkerStandIn] = {}
        self.addresses: dict[str, str] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.made = 0
        self.tickets: dict[tuple[str, str], int] = {}
        self.version = 0
        self.gangs: dict[tuple[str, int], list[tuple[WorkerStandIn, Live]]] = {}

    @abstractmethod
    def reaches_store(self, worker_id: str) -> bool:
        """Tell whether what a worker writes arrives at the store."""

    @abstractmethod
    def give_address(self, name: str, handler: Handler, used: str) -> str:
        """Let a worker answer, at a used address if one is given."""

    def configure(self, **changes: Any) -> None:
        """Write a version of the configuration."""
        self.version += 1
        routes = [
            {
                'name': queue.name,
                'host': HOST,
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
            'limits': {'maxBodyBytes': 262144},
        }
        self.store.put('keyed.op', 'config', config)

    def add_worker(self, shape: Shape, address: str = '') -> WorkerStandIn:
        """Start a worker, at a used address if one is given."""
        self.made += 1
        worker_id = f'w-{self.made}'
        worker = WorkerStandIn(
            worker_id,
            shape,
            self.audit,
            self.now_ms,
            self.shape.lease_ms,
        )
        worker.gang_started = self._gang_started
        worker.gang_ended = self._gang_ended
        place = self.give_address(worker_id, worker.handle, address)
        self.workers[worker_id] = worker
        self.addresses[worker_id] = place
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self._beat(worker, place)))
        return worker

    def crash_worker(self, worker: WorkerStandIn) -> None:
        """Let a worker fall silent for good."""
        worker.die()
        self.workers.pop(worker.worker_id, None)

    async def advise(self, request: Request) -> Reply:
        body = json.loads(request.body)
        await asyncio.sleep(ADVICE_S)
        until_ms = self.now_ms() + TICKET_MS
        good = [name for name in body['workers'] if name in self.workers]
        for name in good:
            self.tickets[body['step'], name] = until_ms
        rows = [[name, f'{body["step"]}@{name}'] for name in good]
        answer = {'good': rows, 'validityMs': TICKET_MS}
        return Reply(200, json.dumps(answer).encode())

    async def _beat(self, worker: WorkerStandIn, address: str) -> None:
        sequence = 0
        silent = 0
        while True:
            if worker.is_up and self.reaches_store(worker.worker_id):
                silent = 0
                sequence += 1
                self._register(worker, address, sequence)
            else:
                silent += 1
                if silent == SILENT_BEATS:
                    self.store.drop('keyed.servers', worker.worker_id)
                if silent > SILENT_BEATS and not worker.is_up:
                    return
            await asyncio.sleep(BEAT_MS / MS_PER_SECOND)

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
                'state': 'ready',
                'capacity': {
                    'cpu': shape.cores_milli,
                    'memMb': shape.memory_mb,
                    'gpus': shape.accelerators,
                },
                'labels': ['a', shape.rack],
                'clockMs': worker.clock_ms(),
                'sequence': sequence,
            },
        )

    def _gang_started(
        self,
        worker: WorkerStandIn,
        live: Live,
        step: dict[str, Any],
    ) -> None:
        key = (live.truth.name.rsplit('.', 1)[0], live.truth.number)
        members = self.gangs.setdefault(key, [])
        members.append((worker, live))
        if len(members) == step['count']:
            for host, member in members:
                host.begin(member)
            return
        asyncio.get_running_loop().call_later(
            GANG_MS / MS_PER_SECOND,
            self._gang_waited,
            worker,
            live,
        )

    def _gang_waited(self, worker: WorkerStandIn, live: Live) -> None:
        if live.waiting:
            worker.end(live, 'alone')

    def _gang_ended(
        self,
        worker: WorkerStandIn,
        live: Live,
        how: str,
    ) -> None:
        key = (live.truth.name.rsplit('.', 1)[0], live.truth.number)
        if how == 'done' or not live.order:
            return
        for host, member in self.gangs.pop(key, ()):
            if member is not live:
                host.end(member, 'broken')
