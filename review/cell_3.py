"""A small deployment on the loopback network, for the scripts of this review.

The entry VMs are processes that are started with the command of the deploy file.
The store is the stand-in of the project; workers and callers are here.
"""

import asyncio
import contextlib
import json
import os
import shlex
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

import aiohttp

from lycheerelay.serving import NO_ANSWER, Reply
from lycheerelay_standins.platform._network import Request
from lycheerelay_standins.platform._proxy import serve
from lycheerelay_standins.platform._store import StoreStandIn

ROOT = Path(__file__).resolve().parent.parent
HOST = 'cell.example'
HEARTBEAT_S = 1.5
# A registration is removed after three heartbeat intervals of silence.
EXPIRY_S = 3 * HEARTBEAT_S
MAX_HOLD_MS = 6000
STOP_S = 0.1
STARTUP_S = 0.3
MAX_LISTED_ENDS = 500
NETWORKS = range(20, 220)
CLAIM_PORT = 8998
READY_TIMEOUT_S = 30
STOP_TIMEOUT_S = 8

SETTINGS = """
nodeName = "front-{number}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{host}"
zone = "zone-a"
region = "region-a"
internalPortRange = [7380,7395]
seeds = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatIntervalMs = 1500
orders = "call"
placementAdvisor = "{network}.0.3:9000"
[zones]
zone-a = "region-a"
[listen]
front = "{host}:8149"
ready = "{host}:8141"
control = "{host}:8144"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
maxHoldMs = 6000
stopTimeoutMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
[platform]
address = "{network}.0.1:9000"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 12
recordBytes = 262144
requestBytes = 2097152
keep_s = 300
partitionMb = 200
minTtlMs = 1000
"""


def now_ms() -> int:
    """Return the Unix time in ms."""
    return int(time.time() * 1000)


class Record:
    """Lines about what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        """Replace the record of an earlier run."""
        self.file = path.open('w')
        self.begun_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start in s."""
        passed_s = time.monotonic() - self.begun_s
        self.file.write(f'{passed_s:8.3f} {text}\n')
        self.file.flush()


class Run:
    """One run on a worker."""

    def __init__(self, task: str, number: int, work_ms: float) -> None:
        """Begin to work now; work without an end has `work_ms` 0."""
        self.task = task
        self.number = number
        self.work_ms = work_ms
        self.begun_s = time.monotonic()
        self.timer: asyncio.TimerHandle | None = None
        self.is_stopping = False

    @property
    def percent(self) -> int:
        """Return the progress; a task that lasts has 100 after its startup."""
        passed_ms = (time.monotonic() - self.begun_s) * 1000
        total_ms = self.work_ms or STARTUP_S * 1000
        return min(int(100 * passed_ms / total_ms), 100)


class Worker:
    """A machine of a service, whose worker may crash and start again.

    A worker that is `unhealthy` answers each start with 503 and does nothing.
    """

    def __init__(
        self,
        cell: 'Cell',
        number: int,
        service: str,
        kind: str,
        capacity: dict[str, int],
    ) -> None:
        """Create a machine whose worker has not started."""
        self.cell = cell
        self.service = service
        self.labels = [kind, f'r1-{number // 5}']
        self.capacity = capacity
        self.address = f'{cell.network}.2.{number + 1}:8080'
        self.number = number
        self.boots = 0
        self.is_up = False
        self.state = 'ready'
        self.unhealthy = False
        self.heard_s = time.monotonic()
        self.sequence = 0
        self._reset()

    def _reset(self) -> None:
        self.worker_id = f'i-{self.number:02d}-{self.boots}'
        self.booted_s = time.monotonic()
        self.runs: dict[tuple[str, int], Run] = {}
        self.ended: list[list[Any]] = []
        self.last_end = 0
        self.fence = 0
        self.highest: dict[str, int] = {}
        self.lease_until = 0
        self.lease_timer: asyncio.TimerHandle | None = None
        self.change = asyncio.Event()

    def boot(self) -> None:
        """Start the worker under a new id; it registers at once."""
        self.boots += 1
        self.state = 'ready'
        self._reset()
        self.is_up = True
        self.cell.record.write(f'worker {self.worker_id} is up')
        self.cell.spawn(self._register(self.worker_id))

    def crash(self) -> None:
        """End the worker without a word; what it runs is gone."""
        self._end_all('lost with its worker')
        self.cell.record.write(f'worker {self.worker_id} crashes')

    def leave(self) -> None:
        """Exit after a planned shutdown; what runs here ends."""
        self._end_all('ended with its worker')
        self.cell.record.write(f'worker {self.worker_id} has left')
        self.cell.store.drop('keyed.servers', self.worker_id)

    def drain(self) -> None:
        """Report that the worker is about to leave."""
        self.state = 'draining'
        self.cell.record.write(f'worker {self.worker_id} drains')
        self._put()

    def _end_all(self, how: str) -> None:
        self.is_up = False
        for run in self.runs.values():
            if run.timer is not None:
                run.timer.cancel()
            self.cell.note_end(self, run, how)
        self.runs = {}
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        self.change.set()

    async def _register(self, worker_id: str) -> None:
        while self.is_up and self.worker_id == worker_id:
            self._put()
            await asyncio.sleep(HEARTBEAT_S)
        if self.state == 'ready':
            await asyncio.sleep(EXPIRY_S)
            self.cell.store.drop('keyed.servers', worker_id)

    def _put(self) -> None:
        self.sequence += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': 'zone-a',
            'version': '1',
            'slots': 8,
            'state': self.state,
            'coldRemainingMs': 0,
            'sequence': self.sequence,
            'capacity': self.capacity,
            'labels': self.labels,
        }
        if self.state == 'draining':
            entry['remainingMs'] = 2000
        self.cell.store.put('keyed.servers', self.worker_id, entry)

    def clock_ms(self) -> int:
        """Return the time of the worker's own steady clock."""
        return int((time.monotonic() - self.booted_s) * 1000) + 1000

    async def handle(self, request: Request) -> Reply:
        """Answer one call."""
        if not self.is_up:
            return Reply(NO_ANSWER)
        if request.path == '/health':
            return Reply(200)
        expected = request.headers.get('X-Expected-Instance', self.worker_id)
        if expected != self.worker_id:
            return Reply(421)
        body = json.loads(request.body)
        if body.get('fencingToken', 0) < self.fence:
            return self._answer(409, {'reason': 'fence'})
        self.fence = body.get('fencingToken', 0)
        worker_id = self.worker_id
        name = request.path.rsplit('/', 1)[1].replace('-', '_')
        answer: Reply = await getattr(self, f'_{name}')(body)
        is_same = self.is_up and self.worker_id == worker_id
        return answer if is_same else Reply(NO_ANSWER)

    def _answer(self, status: int, fields: dict[str, Any]) -> Reply:
        full = {'clockMs': self.clock_ms(), **fields}
        return Reply(status, json.dumps(full).encode())

    async def _run_start(self, body: dict[str, Any]) -> Reply:
        key = (body['task'], body['run'])
        if self.unhealthy:
            self.cell.record.write(
                f'start {key[0]} run {key[1]} at {self.worker_id}: 503'
            )
            return self._answer(503, {})
        self._extend(body['deadlineMs'])
        if key in self.runs:
            return self._answer(200, {})
        if self.highest.get(key[0], 0) >= key[1]:
            return self._answer(409, {'reason': 'old'})
        if body['deadlineMs'] <= self.clock_ms():
            return self._answer(409, {'reason': 'late'})
        run = Run(key[0], key[1], self.cell.work_ms.get(_job_of(key[0]), 0))
        self.runs[key] = run
        self.cell.note_start(self, run)
        if run.work_ms:
            self._end_later(run, run.work_ms / 1000, 'done')
        return self._answer(200, {})

    def _end_later(self, run: Run, delay_s: float, how: str) -> None:
        if run.timer is not None:
            run.timer.cancel()
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(delay_s, self._end, run, how)

    def _end(self, run: Run, how: str) -> None:
        if self.runs.get((run.task, run.number)) is not run:
            return
        self.runs.pop((run.task, run.number))
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, how, ''])
        self.cell.note_end(self, run, how)
        self.change.set()

    async def _run_stop(self, body: dict[str, Any]) -> Reply:
        task, number = body['task'], body['run']
        self.highest[task] = max(self.highest.get(task, 0), number)
        for run in list(self.runs.values()):
            is_meant = run.task == task and run.number <= number
            if is_meant and not run.is_stopping:
                run.is_stopping = True
                self._end_later(run, STOP_S, 'stopped')
        return self._answer(200, {})

    async def _pace(self, body: dict[str, Any]) -> Reply:
        return self._answer(200, {})

    async def _hold(self, body: dict[str, Any]) -> Reply:
        if body.get('deadlineMs'):
            self._extend(body['deadlineMs'])
        seen = body.get('lastSeen', 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        wait_ms = min(body.get('waitMs', 0), 2000)
        if wait_ms and not self.ended:
            self.change.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1000):
                    await self.change.wait()
        running = [
            [run.task, run.number, '', run.percent, 0]
            for run in self.runs.values()
        ]
        ended = self.ended[:MAX_LISTED_ENDS]
        return self._answer(200, {'running': running, 'ended': ended})

    def _extend(self, deadline_ms: int) -> None:
        until = min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)
        if until <= self.lease_until:
            return
        self.lease_until = until
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        delay_s = max(until - self.clock_ms(), 0) / 1000
        loop = asyncio.get_running_loop()
        self.lease_timer = loop.call_later(delay_s, self._lapse)

    def _lapse(self) -> None:
        for run in list(self.runs.values()):
            self._end(run, 'lapsed')


def _job_of(task: str) -> str:
    return task.partition('.')[0]


class Cell:
    """Entry VMs, the store and the workers of a small deployment."""

    def __init__(self, folder: Path, fronts: int = 3) -> None:
        """Create a cell that writes to `record.txt` in a folder."""
        self.record = Record(folder / 'record.txt')
        self.store = StoreStandIn(now_ms)
        self.session: aiohttp.ClientSession | None = None
        self.claim = _claim_network()
        self.network = self.claim.getsockname()[0].removesuffix('.0.1')
        self.hosts = [f'{self.network}.1.{n + 1}' for n in range(fronts)]
        self.workers: list[Worker] = []
        self.work_ms: dict[str, float] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.processes: list[asyncio.subprocess.Process] = []
        self.runners: list[Any] = []
        self.version = 0
        self.temporary = tempfile.TemporaryDirectory()

    def spawn(self, work: Any) -> None:
        """Run a coroutine until the cell is closed."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def add_worker(
        self, service: str, kind: str = 'a', **capacity: int
    ) -> Worker:
        """Add a machine whose worker is still to be started."""
        room = {'cpu': 16000, 'memMb': 65536, 'gpus': 0, **capacity}
        worker = Worker(self, len(self.workers), service, kind, room)
        self.workers.append(worker)
        return worker

    def configure(self, queues: dict[str, str], attempts: int = 3) -> None:
        """Write a version of the config that maps queues to services."""
        self.version += 1
        routes = [
            {
                'name': name,
                'host': HOST,
                'pathPrefix': f'/{name}/',
                'service': service,
                'maxAttempts': attempts,
                'stretch': 2.0,
                'targetLatencyMs': 1000,
                'priority': 0,
            }
            for name, service in queues.items()
        ]
        services = sorted({worker.service for worker in self.workers})
        config = {
            'version': self.version,
            'routes': routes,
            'services': [{'name': name} for name in services],
            'limits': {'maxBodyBytes': 262144},
        }
        self.store.put('keyed.op', 'config', config)
        self.record.write(f'config {self.version}: {json.dumps(queues)}')

    def note_start(self, worker: Worker, run: Run) -> None:
        """Record that a worker has begun a run."""
        self.starts.append(
            (time.monotonic(), run.task, run.number, worker.worker_id)
        )
        self.record.write(
            f'start {run.task} run {run.number} at {worker.worker_id}: 200'
        )

    def note_end(self, worker: Worker, run: Run, how: str) -> None:
        """Record the end of a run."""
        self.ends.append((time.monotonic(), run.task, run.number, how))
        self.record.write(
            f'end {run.task} run {run.number} at {worker.worker_id}: {how}'
        )

    def starts_of(self, job_id: str) -> list[tuple[float, str, int, str]]:
        """Return the runs of a job that workers have begun."""
        return [start for start in self.starts if _job_of(start[1]) == job_id]

    async def __aenter__(self) -> 'Cell':
        """Serve the stand-ins, start the workers and the entry VMs."""
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        store = f'{self.network}.0.1:9000'
        self.runners.append(await serve(self.store.handle, store))
        for worker in self.workers:
            self.runners.append(await serve(worker.handle, worker.address))
        self.session = aiohttp.ClientSession()
        for worker in self.workers:
            worker.boot()
        for number, _ in enumerate(self.hosts):
            await self.start_front(number)
        await self._wait_until_ready()

    async def start_front(self, number: int) -> None:
        """Start an entry VM with the command of the deploy file."""
        folder = Path(self.temporary.name)
        settings = folder / f'front-{number}.toml'
        text = SETTINGS.format(
            number=number, host=self.hosts[number], network=self.network
        )
        settings.write_text(text)
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        env = {
            'PATH': os.environ['PATH'],
            'HOME': self.temporary.name,
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'LYCHEERELAY_CONFIG': str(settings),
        }
        with (folder / f'front-{number}.log').open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                *command, env=env, cwd=ROOT, stdout=log, stderr=log
            )
        self.processes.append(process)
        self.record.write(f'front {number} starts')

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            for host in self.hosts:
                while True:
                    url = f'http://{host}:8141/v1/readiness'
                    with contextlib.suppress(aiohttp.ClientError):
                        async with self.session.get(url) as reply:
                            if reply.status == 200:
                                break
                    await asyncio.sleep(0.1)
        self.record.write('all fronts are ready')

    async def __aexit__(self, *details: object) -> None:
        """End all processes and close all sockets."""
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for log in Path(self.temporary.name).glob('*.log'):
                Path(keep, log.name).write_bytes(log.read_bytes())
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            await process.wait()
        for task in list(self.tasks):
            task.cancel()
        if self.session is not None:
            await self.session.close()
        for runner in self.runners:
            await runner.cleanup()
        self.claim.close()
        self.temporary.cleanup()

    async def call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        front: int = 0,
    ) -> tuple[int, dict[str, Any]]:
        """Call a front as a caller; status 0 stands for no response."""
        headers = {'Host': HOST, 'X-Deadline-Milliseconds': '3000'}
        url = f'http://{self.hosts[front % len(self.hosts)]}:8149{path}'
        status, fields = 0, {}
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self.session.request(
                method,
                url,
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=3),
            ) as reply:
                status = reply.status
                fields = json.loads(await reply.read() or b'{}')
        self.record.write(f'{method} {path}: {status} {json.dumps(fields)}')
        return status, fields

    async def submit(
        self, queue: str, job_id: str, step: dict[str, Any], work_ms: float
    ) -> None:
        """Hand in a job of one step; repeat until it is accepted."""
        self.work_ms[job_id] = work_ms
        body = {'spec': 'x', 'steps': [step]}
        for attempt in range(10):
            path = f'/{queue}/{job_id}'
            status, _ = await self.call('POST', path, body, attempt)
            if status == 200:
                return
            await asyncio.sleep(0.3)
        raise RuntimeError(f'job {job_id} was not accepted')

    async def state(self, queue: str, job_id: str, front: int = 0) -> str:
        """Return the state of a job, or the status of the answer."""
        status, fields = await self.call(
            'GET', f'/{queue}/{job_id}', None, front
        )
        return str(fields.get('state', status))


def _claim_network() -> socket.socket:
    for number in NETWORKS:
        claim = socket.socket()
        try:
            claim.bind((f'127.{number}.0.1', CLAIM_PORT))
        except OSError:
            # Another script uses this part of the network.
            claim.close()
            continue
        return claim
    raise OSError('every part of the loopback network is in use')


async def _run(case: Any) -> bool:
    """Run a case; a signal to end it closes the cell first."""
    task = asyncio.get_running_loop().create_task(case())
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return bool(await task)


def run_case(case: Any) -> int:
    """Run a case; return 1 if the rule was broken, 0 if not, else 2."""
    try:
        broken = asyncio.run(_run(case))
    except (Exception, asyncio.CancelledError) as error:
        print(f'the case could not run: {error!r}')
        return 2
    print('broken' if broken else 'held')
    return int(broken)
