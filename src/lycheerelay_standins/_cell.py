"""Run the stand-ins of a whole platform in one process."""

from typing import NamedTuple, final

from lycheerelay._clock import Clock, SystemClock
from lycheerelay._codec import Json, to_json
from lycheerelay._events import WorkerSpec
from lycheerelay._resources import Resources
from lycheerelay._web import Request, Response, Route, WebServer, route

from ._faults import HTTP_BAD_REQUEST, InvalidSwitchError
from ._ledger import StartLedger
from ._log import LogStandIn
from ._vm_list import VmListStandIn
from ._worker import WorkerStandIn

HOST = '127.0.0.1'


class PoolShape(NamedTuple):
    """Number and capacity of the workers of a pool in each domain."""

    pool: str
    workers: int
    capacity: Resources
    workers_per_rack: int = 5


@final
class Workers:
    """Run workers in one process, each at its own address."""

    def __init__(
        self,
        clock: Clock | None = None,
        threads: int = 8,
        host: str = HOST,
    ) -> None:
        """Start without workers."""
        self.clock = clock or SystemClock()
        self.threads = threads
        self.host = host
        self.ledger = StartLedger()
        self.checkpoints: dict[str, int] = {}
        self.workers: dict[str, WorkerStandIn] = {}
        self.specs: dict[str, WorkerSpec] = {}
        self.servers: list[WebServer] = []

    def add_pool(self, domain: str, shape: PoolShape) -> list[WorkerSpec]:
        """Start the workers of one pool and return their specs."""
        return [
            self.add(domain, shape, number) for number in range(shape.workers)
        ]

    def add(self, domain: str, shape: PoolShape, number: int) -> WorkerSpec:
        """Start one worker and return its spec."""
        name = f'{domain}-{shape.pool}-{number}'
        worker = WorkerStandIn(
            shape.capacity,
            f'{name}/boot',
            self.clock,
            name,
            self.ledger,
            self.checkpoints,
        )
        server = WebServer(self.host, 0, worker.routes(), self.threads)
        server.start()
        spec = WorkerSpec(
            name,
            shape.pool,
            domain,
            f'{domain}-{shape.pool}-rack{number // shape.workers_per_rack}',
            server.address,
            shape.capacity,
        )
        self.workers[name] = worker
        self.specs[name] = spec
        self.servers.append(server)
        return spec

    def routes(self) -> tuple[Route, ...]:
        """Return the routes that control all workers at once."""
        return (
            route('POST', '/switch', self.switch),
            route('GET', '/ledger', self.show_ledger),
        )

    def switch(self, request: Request) -> Response:
        """Set switches of the workers in `workers`, or of all by default."""
        switches = dict(request.body)
        names = switches.pop('workers', list(self.workers))
        try:
            for name in names:
                self.workers[name].fault_switches.set(**switches)
        except (InvalidSwitchError, TypeError, KeyError) as error:
            return Response(HTTP_BAD_REQUEST, {'detail': repr(error)})
        return Response(200, {'workers': names})

    def show_ledger(self, request: Request) -> Response:
        """Return the ledger of starts of all workers."""
        return Response(200, self.ledger.as_json())

    def stop(self) -> None:
        """Stop every worker's server."""
        for server in self.servers:
            server.stop()


@final
class Cell:
    """Run a log, a VM list and workers of several failure domains."""

    def __init__(
        self,
        domains: tuple[str, ...],
        shapes: tuple[PoolShape, ...],
        threads: int = 8,
    ) -> None:
        """Start the workers, add them to the VM list, create the servers."""
        self.clock = SystemClock()
        self.log = LogStandIn(self.clock)
        self.vms = VmListStandIn(self.clock)
        self.workers = Workers(self.clock, threads)
        self.log_server = WebServer(HOST, 0, self.log.routes())
        self.vms_server = WebServer(HOST, 0, self.vms.routes())
        self.control_server = WebServer(HOST, 0, self.workers.routes(), 4)
        self.servers = (self.log_server, self.vms_server, self.control_server)
        for domain in domains:
            for shape in shapes:
                for spec in self.workers.add_pool(domain, shape):
                    self.vms.list_worker(spec)

    def start(self) -> None:
        """Start the log, VM list and control servers."""
        for server in self.servers:
            server.start()

    def stop(self) -> None:
        """Stop every server."""
        self.workers.stop()
        for server in self.servers:
            server.stop()

    def addresses(self) -> dict[str, Json]:
        """Return the addresses of the servers and the worker specs."""
        return {
            'log': self.log_server.address,
            'vms': self.vms_server.address,
            'control': self.control_server.address,
            'workers': [to_json(spec) for spec in self.workers.specs.values()],
        }
