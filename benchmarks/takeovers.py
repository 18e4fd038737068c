"""Measure a takeover of a cell that holds many jobs, with real processes.

    python benchmarks/takeovers.py past 1000 20000
    python benchmarks/takeovers.py waiting 1000 20000
    python benchmarks/takeovers.py expired 20000

`past` are completed jobs that callers may still ask for, `waiting` ones that no
worker has room for, `expired` ones that the owner has deleted before it is killed.
Each job has 16 tasks. The owner is killed and a job is handed in at another VM.
Prints one JSON object for each size: seconds from the kill to the first right
state of a job from before, and to the start of the job handed in, claims since
the kill, and the memory of the next owner.
"""

import asyncio
import json
import random
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, Final

import aiohttp

from lycheerelay_standins.platform import CellShape, EmulatedNetwork, Shape
from lycheerelay_standins.platform._soak_cell import SoakCell, job_body

JOBS: Final = 'keyed.jobs'
PROGRESS: Final = 'keyed.progress'
STEP: Final = {'count': 8, 'cpu': 1500, 'memMb': 5600, 'estimatedMs': 560}
# No worker has room for these.
WIDE_STEP: Final = {**STEP, 'cpu': 900_000}
LIMIT_S: Final = 60
OK: Final = 200
EXPIRY_S: Final = 215


class Takeover:
    """One measurement."""

    def __init__(self, kind: str, size: int, folder: Path) -> None:
        """Create the cell."""
        shape = CellShape(vms=3, workers=(Shape('cpu', 16000),) * 4)
        net = EmulatedNetwork(random.Random(1))
        self.kind = kind
        self.size = size
        self.cell = SoakCell(shape, folder, net)

    async def run(self) -> dict[str, Any]:
        """Fill the store, kill the owner and measure."""
        await self.cell.begin()
        try:
            async with aiohttp.ClientSession() as session:
                self.session = session
                await asyncio.sleep(5)
                return await self._measure()
        finally:
            await self.cell.finish()

    async def _measure(self) -> dict[str, Any]:
        name = await self._submit(STEP, 'vm-0', 1)
        await asyncio.sleep(3)
        assert (await self._call('GET', 'vm-0', name)) == 'completed'
        wide = await self._submit(WIDE_STEP, 'vm-0', 2)
        history = self._history(name if self.kind != 'waiting' else wide)
        killed_s = await self._replace_owner(history)
        if self.kind == 'expired':
            await asyncio.sleep(EXPIRY_S)
            name = wide
            killed_s = await self._replace_owner([])
        left = len(self.cell.store.partition(JOBS).newest)
        vm = next(vm for vm, each in self.cell.vms.items() if each.is_running)
        claims = self.cell.store.partition('keyed.lock').end
        state, start = await asyncio.gather(
            self._await_state(vm, name), self._await_start(vm)
        )
        owner = self._owner()
        status = Path(f'/proc/{owner.process.pid}/status').read_text()
        memory = {
            line.split(':')[0]: round(int(line.split()[1]) / 1024)
            for line in status.splitlines()
            if line.startswith(('VmHWM', 'VmRSS'))
        }
        return {
            'kind': self.kind,
            'jobs': self.size,
            'records': left,
            'first_state_s': round(state - killed_s, 2),
            'first_start_s': round(start - killed_s, 2),
            'claims': self.cell.store.partition('keyed.lock').end - claims,
            'rss_mb': memory['VmRSS'],
            'peak_mb': memory['VmHWM'],
            'loaded': self._loaded(owner.log),
        }

    def _history(self, name: str) -> list[tuple[str, str, bytes]]:
        raw = self.cell.store.partition(JOBS).newest[f'job/{name}'][1]
        fields = json.loads(raw)
        fields['steps'] = fields['steps'] + [
            {**fields['steps'][0], 'after': [0]}
        ]
        progress = b'{"phase":"completed","why":"every task is done"}'
        history = []
        for number in range(self.size):
            other = f'{0x10000 + number:016x}'
            record = json.dumps({**fields, 'job_id': other}).encode()
            history.append((JOBS, f'job/{other}', record))
            if self.kind != 'waiting':
                history.append((PROGRESS, other, progress))
        return history

    async def _replace_owner(
        self, history: list[tuple[str, str, bytes]]
    ) -> float:
        """Kill the owner, and let the store hold a history from then on."""
        owner = self._owner()
        killed_s = time.monotonic()
        await owner.send(signal.SIGKILL)
        for topic, key, record in history:
            self.cell.store.put(topic, key, record)
        if self.kind == 'expired':
            asyncio.get_running_loop().call_later(
                3.5, lambda: asyncio.ensure_future(owner.start())
            )
        return killed_s

    def _owner(self) -> Any:
        newest = self.cell.store.partition('keyed.lock').newest['owner'][1]
        host = newest.decode().partition(':')[0]
        return next(
            self.cell.vms[vm]
            for vm, each in self.cell.hosts.items()
            if each == host
        )

    def _loaded(self, log: Path) -> Any:
        lines = [
            json.loads(line)
            for line in log.read_text().splitlines()
            if '"takeover_loaded"' in line
        ]
        return (
            {
                key: lines[-1][key]
                for key in ('jobs', 'past_jobs', 'took_ms')
                if key in lines[-1]
            }
            if lines
            else None
        )

    async def _submit(self, step: dict[str, Any], vm: str, number: int) -> str:
        assert await self._post(step, vm, number) == str(OK)
        return f'{number:016x}'

    async def _post(self, step: dict[str, Any], vm: str, number: int) -> str:
        return await self._call('POST', vm, f'{number:016x}', job_body([step]))

    async def _await_state(self, vm: str, name: str) -> float:
        while await self._call('GET', vm, name) not in {'completed', 'queued'}:
            await asyncio.sleep(0.05)
        return time.monotonic()

    async def _await_start(self, vm: str) -> float:
        def starts() -> int:
            return sum(each.starts for each in self.cell.workers.values())

        before = starts()
        while await self._post(STEP, vm, 3) != str(OK):
            await asyncio.sleep(0.05)
        async with asyncio.timeout(LIMIT_S):
            while starts() == before:
                await asyncio.sleep(0.02)
        return time.monotonic()

    async def _call(
        self, method: str, vm: str, name: str, body: Any = None
    ) -> str:
        from lycheerelay_standins.platform._audit import SubmittedJob

        if body is not None:
            self.cell.audit.jobs.setdefault(
                name, SubmittedJob(body, 'cpu', 3, accepted=True, work_ms=500)
            )
        try:
            async with self.session.request(
                method,
                f'{self.cell.callers_url(vm)}/batch/{name}',
                json=body,
                headers={
                    'Host': 'cell.example',
                    'X-Deadline-Milliseconds': '3000',
                },
                timeout=aiohttp.ClientTimeout(total=3),
            ) as response:
                if method == 'GET' and response.status == OK:
                    return str(
                        (await response.json(content_type=None))['state']
                    )
                return str(response.status)
        except (aiohttp.ClientError, TimeoutError):
            return ''


def main() -> None:
    """Measure each size that is named."""
    kind, *sizes = sys.argv[1:]
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder:
            takeover = asyncio.run(measure(kind, int(size), Path(folder)))
        print(json.dumps(takeover), flush=True)


async def measure(kind: str, size: int, folder: Path) -> dict[str, Any]:
    """Measure one takeover."""
    return await Takeover(kind, size, folder).run()


if __name__ == '__main__':
    main()
