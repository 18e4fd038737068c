"""Hold processes within their machine while clients break the rules of HTTP use.

Real processes on the loopback network. Nothing here depends on how fast they are.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final, NamedTuple, final

import aiohttp
import pytest

from lycheerelay_standins.platform import (
    CellShape,
    Crowd,
    EmulatedNetwork,
    MachineShape,
    Shape,
    chunked,
    job_of_many_steps,
    job_of_size,
)
from lycheerelay_standins.platform._environment import ROUTE_HOST
from lycheerelay_standins.platform._soak_cell import SoakCell

# The processes log to files.
pytestmark = pytest.mark.usefixtures('disable_logging')

# The smallest machines have 160 MB and 3,075 descriptors; less shows the same with
# a small crowd. Of the descriptors, 200 are kept for files.
MACHINE: Final = MachineShape(memory_mb=96, file_descriptors=400)
FILE_DESCRIPTORS: Final = 200
# The same memory with as many descriptors as the smallest machines have.
MANY_DESCRIPTORS: Final = MachineShape(memory_mb=96, file_descriptors=3075)
BYTES_PER_MB: Final = 1024 * 1024
LIMITS: Final = (
    ('maxHeaderBytes', 16384),
    ('maxBodyBytes', 262144),
    ('headerTimeoutMs', 3000),
    ('idleTimeoutMs', 15000),
)
CROWD_SIZE: Final = 150
# More connections than the machine has sockets.
MANY_CONNECTIONS: Final = 300
FEW_CONNECTIONS: Final = 20
# Body of a job that one record of the store can hold.
MAX_LARGE_JOB_BYTES: Final = 126_976
SAMPLE_INTERVAL_S: Final = 0.02
SETTLE_S: Final = 1
ANSWER_TIMEOUT_S: Final = 120
# Length of a log line.
MAX_LINE_BYTES: Final = 1024
OK: Final = 200
# Statuses that promise that a job was not accepted and never runs.
NEVER_RUNS: Final = frozenset((429, 503))
ORDINARY_JOB: Final = 'f' * 16


class Usage(NamedTuple):
    """What a process and the kernel hold for it, at one moment."""

    memory_bytes: int
    sockets: int


@final
class UsageWatch:
    """Sample the memory and the sockets of a process."""

    def __init__(self, process_id: int, host: str) -> None:
        """Watch a process that listens at an IPv4 address."""
        self.folder = Path('/proc') / str(process_id)
        # As in /proc/net/tcp.
        self.host = bytes(map(int, reversed(host.split('.')))).hex().upper()
        self.peak = Usage(0, 0)
        self.task = asyncio.create_task(self._run())

    async def stop(self) -> Usage:
        """Return the highest values of all samples."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self._sample()
        peak_bytes = max(self.peak.memory_bytes, self._resident('VmHWM'))
        return self.peak._replace(memory_bytes=peak_bytes)

    async def _run(self) -> None:
        while True:
            self._sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _sample(self) -> None:
        memory_bytes = self._resident('VmRSS') + self._unread_bytes()
        self.peak = Usage(
            max(self.peak.memory_bytes, memory_bytes),
            max(self.peak.sockets, self.count_sockets()),
        )

    def _resident(self, name: str) -> int:
        for line in (self.folder / 'status').read_text().splitlines():
            if line.startswith(f'{name}:'):
                return int(line.split()[1]) * 1024
        raise AssertionError('the process has ended')

    def count_sockets(self) -> int:
        """Return the number of open sockets of the process."""
        sockets = 0
        for path in (self.folder / 'fd').iterdir():
            try:
                sockets += str(path.readlink()).startswith('socket:')
            except OSError:
                continue
        return sockets

    def _unread_bytes(self) -> int:
        unread = 0
        for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
            fields = line.split()
            is_listening = fields[3] == '0A'
            if fields[1].startswith(self.host) and not is_listening:
                unread += int(fields[4].split(':')[1], 16)
        return unread


@final
class OneMachine:
    """A cell with one VM on a small machine, and an ordinary caller."""

    def __init__(
        self,
        folder: Path,
        limits: MachineShape = MACHINE,
        caller_limits: tuple[tuple[str, int], ...] = LIMITS,
    ) -> None:
        """Start nothing yet; the process logs to the folder."""
        shape = CellShape(
            vms=1,
            workers=(Shape('cpu'),) * 2,
            keeps_ids=True,
            machine=limits,
            caller_limits=caller_limits,
        )
        self.cell = SoakCell(shape, folder, EmulatedNetwork(random.Random(1)))

    async def run(
        self, scenario: Callable[['OneMachine'], Awaitable[None]]
    ) -> None:
        """Run a scenario once the VM is ready; end the process."""
        await self.cell.begin()
        try:
            await self._await_ready()
            await scenario(self)
        finally:
            await self.cell.finish()

    @property
    def host(self) -> str:
        """Return the address of the VM."""
        return self.cell.hosts['vm-0']

    @property
    def process(self) -> asyncio.subprocess.Process:
        """Return the process of the VM."""
        process = self.cell.vms['vm-0'].process
        assert process is not None
        return process

    async def submit(
        self, job: str = ORDINARY_JOB, **options: Any
    ) -> tuple[int, bytes]:
        """Submit a job on a new connection; return the status and body."""
        options.setdefault('data', job_of_size(100))
        headers = {'Host': ROUTE_HOST, **options.pop('headers', {})}
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f'http://{self.host}:8149/batch/{job}',
                headers=headers,
                timeout=aiohttp.ClientTimeout(ANSWER_TIMEOUT_S),
                **options,
            ) as reply,
        ):
            return reply.status, await reply.read()

    async def _await_ready(self) -> None:
        url = f'http://{self.host}:8141/v1/readiness'
        async with (
            asyncio.timeout(ANSWER_TIMEOUT_S),
            aiohttp.ClientSession() as session,
        ):
            while True:
                try:
                    async with session.get(url) as reply:
                        if reply.status == OK:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.1)


def run_scenario(
    folder: Path,
    scenario: Callable[[OneMachine], Awaitable[None]],
    limits: MachineShape = MACHINE,
) -> None:
    """Run a scenario on one machine."""
    asyncio.run(OneMachine(folder, limits).run(scenario))


def hold_crowd(
    folder: Path,
    kind: str,
    size: int = CROWD_SIZE,
    port: int = 8149,
    limits: MachineShape = MACHINE,
) -> Crowd:
    """Let a crowd come and stay; check the process and an ordinary call.

    Return the crowd, which is closed.
    """
    crowds: list[Crowd] = []

    async def scenario(machine: OneMachine) -> None:
        crowd = Crowd(kind, f'{machine.host}:{port}', size)
        crowds.append(crowd)
        watch = UsageWatch(machine.process.pid, machine.host)
        await crowd.send()
        await asyncio.sleep(SETTLE_S)
        status, _ = await machine.submit()
        peak = await watch.stop()
        # Clients that were closed are counted while the others stay.
        await asyncio.sleep(0)
        crowd_closed = crowd.closed
        await crowd.close()
        crowd.closed = crowd_closed
        assert machine.process.returncode is None
        assert peak.memory_bytes <= limits.memory_mb * BYTES_PER_MB
        assert peak.sockets <= limits.file_descriptors - FILE_DESCRIPTORS
        assert status == OK

    run_scenario(folder, scenario, limits)
    return crowds[0]


def test_heads_that_lack_their_end_use_up_the_memory(tmp_path: Path) -> None:
    """A head over the limit is refused, however it is split into fields."""
    crowd = hold_crowd(tmp_path, 'long_heads')
    assert crowd.closed == CROWD_SIZE


def test_heads_of_many_short_fields_use_up_the_memory(tmp_path: Path) -> None:
    """A short field costs more than its bytes."""
    hold_crowd(tmp_path, 'heads_of_many_fields')


def test_heads_without_end_are_read_on(tmp_path: Path) -> None:
    """A single field without end ends its connection."""
    crowd = hold_crowd(tmp_path, 'endless_heads')
    assert crowd.closed == CROWD_SIZE


def test_empty_lines_without_end_are_read_on(tmp_path: Path) -> None:
    """Empty lines before a request count as its head."""
    crowd = hold_crowd(tmp_path, 'empty_lines', size=20)
    assert crowd.closed == 20


def test_whole_bodies_that_lack_a_byte_use_up_the_memory(
    tmp_path: Path,
) -> None:
    """Bodies that stop just short of their end give way."""
    hold_crowd(tmp_path, 'whole_bodies', MANY_CONNECTIONS)


def test_bodies_in_pieces_use_up_the_memory(tmp_path: Path) -> None:
    """The same bodies, piece by piece."""
    hold_crowd(tmp_path, 'bodies_in_pieces', MANY_CONNECTIONS)


def test_large_chunks_use_up_the_memory(tmp_path: Path) -> None:
    """Chunked bodies that lack the last chunk give way."""
    hold_crowd(tmp_path, 'large_chunks', MANY_CONNECTIONS)


@pytest.mark.parametrize(
    'kind',
    [
        'whole_bodies',
        'bodies_in_pieces',
        'large_chunks',
        'small_chunks',
        'bodies_of_queries',
    ],
)
def test_bodies_use_up_the_memory_before_the_descriptors(
    kind: str, tmp_path: Path
) -> None:
    """Bodies give way for their bytes, also while there are descriptors."""
    hold_crowd(tmp_path, kind, MANY_CONNECTIONS, limits=MANY_DESCRIPTORS)


def test_small_chunks_use_up_the_memory(tmp_path: Path) -> None:
    """Chunks of one byte cost more than their bytes."""
    hold_crowd(tmp_path, 'small_chunks', MANY_CONNECTIONS)


def test_finished_bodies_use_up_the_memory(tmp_path: Path) -> None:
    """Whole jobs of legal size, all at once, are decoded a few at a time."""
    hold_crowd(tmp_path, 'finished_bodies')


def test_large_jobs_use_up_the_memory(tmp_path: Path) -> None:
    """Jobs that the store can hold are accepted as far as the memory goes."""
    hold_crowd(tmp_path, 'large_jobs', 40)


def test_accepted_large_jobs_use_up_the_memory(tmp_path: Path) -> None:
    """Large jobs of one client, one after the other, are refused in time."""

    async def scenario(machine: OneMachine) -> None:
        watch = UsageWatch(machine.process.pid, machine.host)
        body = job_of_many_steps(MAX_LARGE_JOB_BYTES)
        for number in range(15):
            await machine.submit(f'{number:016x}', data=body)
        status, _ = await machine.submit()
        peak = await watch.stop()
        assert peak.memory_bytes <= MACHINE.memory_mb * BYTES_PER_MB
        assert status == OK

    run_scenario(tmp_path, scenario)


def test_compressed_bodies_use_up_the_memory(tmp_path: Path) -> None:
    """A few compressed bytes count as what they are decoded to."""
    hold_crowd(tmp_path, 'compressed_bodies')


def test_bodies_of_queries_use_up_the_memory(tmp_path: Path) -> None:
    """A body of a request that needs none counts too."""
    hold_crowd(tmp_path, 'bodies_of_queries', MANY_CONNECTIONS)


def test_bodies_that_are_dropped_push_out_others(tmp_path: Path) -> None:
    """Bytes that nobody keeps are not counted as held."""
    hold_crowd(tmp_path, 'endless_bodies_of_queries', FEW_CONNECTIONS)
    log = (tmp_path / 'vm-0.log').read_text()
    assert '"cause":"memory"' not in log


def test_answers_that_nobody_reads_use_up_the_memory(tmp_path: Path) -> None:
    """Requests behind answers that nobody reads are not read either."""
    hold_crowd(tmp_path, 'unread_answers')


def test_silent_connections_use_up_the_descriptors(tmp_path: Path) -> None:
    """Connections without a request give way to new ones."""
    hold_crowd(tmp_path, 'silent', MANY_CONNECTIONS)


@pytest.mark.parametrize(
    'kind', ['whole_bodies', 'heads_of_many_fields', 'unread_answers']
)
def test_stalled_clients_stay_connected(kind: str, tmp_path: Path) -> None:
    """A time limit ends what stalls, also while there is room for it."""

    async def scenario(machine: OneMachine) -> None:
        watch = UsageWatch(machine.process.pid, machine.host)
        before = watch.count_sockets()
        crowd = Crowd(kind, f'{machine.host}:8149', FEW_CONNECTIONS)
        await crowd.send()
        await asyncio.sleep(SETTLE_S)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while watch.count_sockets() > before + FEW_CONNECTIONS // 2:
                await asyncio.sleep(SAMPLE_INTERVAL_S)
        status, _ = await machine.submit()
        await watch.stop()
        await crowd.close()
        assert status == OK

    times = (('headerTimeoutMs', 500), ('idleTimeoutMs', 500))
    asyncio.run(OneMachine(tmp_path, MACHINE, LIMITS[:2] + times).run(scenario))


@pytest.mark.parametrize('kind', ['malformed', 'whole_bodies', 'long_heads'])
def test_refused_clients_fill_the_log(kind: str, tmp_path: Path) -> None:
    """Each client leaves a short line, which the limit of the log applies to."""
    hold_crowd(tmp_path, kind)
    log = (tmp_path / 'vm-0.log').read_text()
    assert 'Traceback' not in log
    assert '"connection_closed"' in log
    longest = max(map(len, log.splitlines()))
    assert longest < MAX_LINE_BYTES


@pytest.mark.parametrize('port', [8141, 7380, 9464])
def test_bodies_at_the_other_listeners_use_up_the_memory(
    port: int, tmp_path: Path
) -> None:
    """Readiness, internal calls and metrics have the same bounds."""
    hold_crowd(tmp_path, 'whole_bodies', MANY_CONNECTIONS, port)


@pytest.mark.parametrize('port', [8141, 7380, 9464])
def test_silent_connections_at_the_other_listeners(
    port: int, tmp_path: Path
) -> None:
    """The other listeners leave descriptors to the callers."""
    hold_crowd(tmp_path, 'silent', MANY_CONNECTIONS, port)


def test_accepted_jobs_are_said_never_to_run(
    tmp_path: Path,
) -> None:
    """No client is told that its job never runs if it was accepted before."""

    async def scenario(machine: OneMachine) -> None:
        jobs = [f'{number:016x}' for number in range(CROWD_SIZE)]
        for job in jobs:
            status, _ = await machine.submit(job)
            assert status == OK
        for kind in ('finished_bodies', 'whole_bodies', 'long_heads'):
            crowd = Crowd(kind, f'{machine.host}:8149', CROWD_SIZE)
            await crowd.send()
            await asyncio.sleep(SETTLE_S)
            status, _ = await machine.submit()
            await crowd.close()
            assert status == OK
            assert not NEVER_RUNS & crowd.statuses.keys()

    run_scenario(tmp_path, scenario)


def test_a_stop_waits_for_clients_that_never_finish(tmp_path: Path) -> None:
    """A process with stalled connections ends by itself."""

    async def scenario(machine: OneMachine) -> None:
        crowds = [
            Crowd(kind, f'{machine.host}:8149', 20)
            for kind in ('whole_bodies', 'small_chunks', 'unread_answers')
        ]
        for crowd in crowds:
            await crowd.send()
        process = machine.process
        process.terminate()
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            await process.wait()
        for crowd in crowds:
            await crowd.close()
        assert process.returncode == 0

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    'fields',
    [
        {'x-long': 'a' * 12_000},
        {f'x-{number}': 'a' for number in range(1000)},
    ],
    ids=['one long field', 'many fields'],
)
def test_a_head_within_the_limit_is_refused(
    fields: dict[str, str], tmp_path: Path
) -> None:
    """A client inside the limits is served, however its head is split."""

    async def scenario(machine: OneMachine) -> None:
        status, _ = await machine.submit(headers=fields)
        assert status == OK

    run_scenario(tmp_path, scenario)


def test_a_head_over_the_limit_is_served(tmp_path: Path) -> None:
    """A complete head over the limit is refused, and no job starts."""

    async def scenario(machine: OneMachine) -> None:
        fields = {f'x-{number}': 'a' * 4000 for number in range(5)}
        status, _ = await machine.submit(headers=fields)
        assert status == 431

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize('deadline', ['9' * 5000, '9' * 20, '-1', 'soon', ''])
def test_a_deadline_that_is_no_time_is_an_error(
    deadline: str, tmp_path: Path
) -> None:
    """It counts as the longest or as the default one."""

    async def scenario(machine: OneMachine) -> None:
        fields = {'X-Deadline-Milliseconds': deadline}
        status, _ = await machine.submit(headers=fields)
        assert status == OK

    run_scenario(tmp_path, scenario)


def test_a_request_of_the_largest_size_is_refused(tmp_path: Path) -> None:
    """A single request inside the limits is served in calm."""

    async def scenario(machine: OneMachine) -> None:
        body = job_of_size(262144)
        answers = [await machine.submit('a' * 16, data=body)]

        async def in_small_chunks() -> Any:
            for begin in range(0, len(body), 4096):
                yield body[begin : begin + 4096]

        answers.append(await machine.submit('b' * 16, data=in_small_chunks()))
        reader, writer = await asyncio.open_connection(machine.host, 8149)
        writer.write(
            f'POST /batch/{"c" * 16} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        writer.write(chunked(body, 1) + b'0\r\n\r\n')
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            line = await reader.readline()
        writer.close()
        assert [status for status, _ in answers] == [OK, OK]
        assert line.split()[1] == b'200'

    run_scenario(tmp_path, scenario)
