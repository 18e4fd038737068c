"""Start a small cell for a case, call it, and record what is seen.

The entry VMs are processes of `deploy/serve.py`; the store, the workers and the
advisor are the stand-ins of this repository, on loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp

from lycheerelay_standins.platform import CellShape, EmulatedNetwork
from lycheerelay_standins.platform._audit import SubmittedJob
from lycheerelay_standins.platform._environment import ROUTE_HOST
from lycheerelay_standins.platform._soak_cell import SoakCell

HELD = 0
BROKEN = 1
NOT_RUN = 2
# Time limit of a requester, which it sends with each request.
TIME_LIMIT_MS = 3000
RETRIES = 4
RETRY_PAUSE_S = 0.3
RESTART_DELAY_S = 1.0
READY_TIMEOUT_S = 20
# Bound of the pages: time from the end of the traffic until jobs are asked for.
FINISH_S = 14
OK = 200
QUEUE = 'batch'

Step = dict[str, Any]


class CaseCell:
    """One cell of a case, its requesters and the record of both."""

    def __init__(self, shape: CellShape, folder: Path) -> None:
        """Keep the logs of the processes in `folder`."""
        self.cell = SoakCell(shape, folder, EmulatedNetwork(random.Random(1)))
        self.begun_s = time.monotonic()
        self.lines: list[str] = []
        self.accepted: list[str] = []

    @property
    def vms(self) -> list[str]:
        """Return the names of the entry VMs."""
        return sorted(self.cell.vms)

    def note(self, text: str) -> None:
        """Add a line to the record."""
        line = f'{time.monotonic() - self.begun_s:8.2f} s  {text}'
        self.lines.append(line)
        print(line, flush=True)

    async def await_ready(self) -> bool:
        """Wait until every VM reports itself ready; return whether all do."""
        for host in self.cell.hosts.values():
            until_s = time.monotonic() + READY_TIMEOUT_S
            url = f'http://{host}:8141/v1/readiness'
            while (await self.call('GET', url))[0] != OK:
                if time.monotonic() > until_s:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def call(
        self, method: str, url: str, body: object = None
    ) -> tuple[int, dict[str, Any]]:
        """Return the status of one call, 0 without an answer, and its body."""
        timeout = aiohttp.ClientTimeout(total=TIME_LIMIT_MS / 1000)
        headers = {
            'Host': ROUTE_HOST,
            'X-Deadline-Milliseconds': str(TIME_LIMIT_MS),
        }
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.request(
                    method, url, json=body, headers=headers, timeout=timeout
                ) as reply,
            ):
                raw = await reply.read()
                return reply.status, json.loads(raw) if raw else {}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, {}

    def job_url(self, vm: str, name: str) -> str:
        """Return the URL of a job at one VM."""
        return f'{self.cell.callers_url(vm)}/{QUEUE}/{name}'

    async def submit(
        self,
        name: str,
        steps: list[Step],
        work_ms: int,
        *,
        schedule: dict[str, int] | None = None,
        quiet: bool = False,
    ) -> bool:
        """Hand a job in, again after no answer; return whether it is accepted."""
        body = {'spec': 'x', 'steps': steps, **(schedule or {})}
        job = SubmittedJob(body, 'cpu', 3, work_ms=work_ms)
        self.cell.audit.jobs[name] = job
        for attempt in range(1 + RETRIES):
            vm = self.vms[(len(self.accepted) + attempt) % len(self.vms)]
            status, _ = await self.call('POST', self.job_url(vm, name), body)
            if not quiet:
                self.note(f'POST {name} at {vm}: {status or "no answer"}')
            if status == OK:
                job.accepted = True
                self.accepted.append(name)
                return True
            await asyncio.sleep(RETRY_PAUSE_S)
        return False

    async def await_completed(
        self, names: list[str], asking_s: float
    ) -> list[str]:
        """Ask for jobs until all are completed; return those that never are."""
        until_s = time.monotonic() + asking_s
        while names:
            states = await asyncio.gather(*map(self.state, names))
            names = [
                name
                for name, state in zip(names, states, strict=True)
                if state != 'completed'
            ]
            if time.monotonic() > until_s:
                break
            await asyncio.sleep(1)
        return names

    async def state(self, name: str) -> str:
        """Ask each VM for the state of a job; return the first one given."""
        replies = await asyncio.gather(
            *(self.call('GET', self.job_url(vm, name)) for vm in self.vms)
        )
        answers = []
        for vm, (status, fields) in zip(self.vms, replies, strict=True):
            answers.append(f'{vm} {status or "no answer"}')
            if status == OK and fields.get('state'):
                self.note(f'GET {name} at {vm}: {fields["state"]}')
                return str(fields['state'])
        self.note(f'GET {name}: {", ".join(answers)}')
        return ''

    def owner(self) -> str:
        """Return the VM that took over last, by its own log."""
        found: list[tuple[int, str]] = []
        for name, vm in self.cell.vms.items():
            for line in vm.log.read_text().splitlines():
                if '"message":"takeover_begun"' in line:
                    fence = line.partition('"fence":')[2]
                    found.append((int(fence.rstrip('}')), name))
        return max(found)[1] if found else ''

    async def kill(self, vm: str) -> None:
        """Kill a process; the platform starts it again after a short delay."""
        await self.cell.vms[vm].send(signal.SIGKILL)
        self.note(f'SIGKILL {vm}')
        await asyncio.sleep(RESTART_DELAY_S)
        await self.cell.vms[vm].start()
        self.note(f'started {vm}')

    def runs(self, name: str) -> list[str]:
        """Return what the workers ran of a job."""
        return [
            f'{task} run {run.number} on {run.worker}: {run.outcome or "at work"}'
            for task, runs in self.cell.audit.runs.items()
            if task.startswith(f'{name}.')
            for run in runs
        ]


Scenario = Callable[[CaseCell, bool], Awaitable[int]]


async def _play(scenario: Scenario, shape: CellShape, trouble: bool) -> int:
    play = asyncio.current_task()
    if play is not None:
        # The processes end with the script.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, play.cancel)
    with tempfile.TemporaryDirectory() as folder:
        case = CaseCell(shape, Path(folder))
        verdict = NOT_RUN
        try:
            await case.cell.begin()
            if await case.await_ready():
                verdict = await scenario(case, trouble)
            else:
                case.note('an entry VM did not become ready')
        except (OSError, LookupError, ValueError) as error:
            verdict = NOT_RUN
            case.note(f'the case could not run: {error!r}')
        finally:
            with contextlib.suppress(ProcessLookupError):
                await case.cell.finish()
        case.note(('HELD', 'BROKEN', 'NOT RUN')[verdict])
        folder_of_case = Path(sys.argv[0]).parent
        record = '\n'.join([*case.lines, ''])
        (folder_of_case / 'record.txt').write_text(record)
        return verdict


def main(scenario: Scenario, shape: CellShape) -> int:
    """Play a case and return its exit code; without trouble if TROUBLE=0."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        return asyncio.run(_play(scenario, shape, trouble))
    except (asyncio.CancelledError, Exception):
        traceback.print_exc()
        return NOT_RUN
