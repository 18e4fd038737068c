"""Run stand-ins and entry VMs as processes for the benchmarks."""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Final, NamedTuple

from lycheerelay._http import HttpCaller

ROOT: Final = Path(__file__).parent.parent
CLOCK_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
START_TIMEOUT_S: Final = 30
STOP_TIMEOUT_S: Final = 15


class CellLayout(NamedTuple):
    """Describe the processes that a benchmark needs."""

    domains: tuple[str, ...]
    entries_per_domain: int
    pools: tuple[str, ...]
    folder: Path
    max_seconds: int = 300


class Usage(NamedTuple):
    """Hold the resources that a process has used so far."""

    cpu_s: float
    rss_mb: float
    threads: int


class Entry(NamedTuple):
    """Describe one running entry VM."""

    name: str
    domain: str
    address: str
    process: 'subprocess.Popen[str]'


def usage_of(pid: int) -> Usage:
    """Return CPU time, memory and threads of a process from /proc."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    status = Path(f'/proc/{pid}/status').read_text()
    lines = dict(line.split(':', 1) for line in status.splitlines() if line)
    rss_mb = int(lines['VmRSS'].split()[0]) / 1024
    return Usage(ticks / CLOCK_TICKS_PER_S, rss_mb, int(lines['Threads']))


class BenchCell:
    """Run one cell and own all of its processes."""

    def __init__(self, layout: CellLayout) -> None:
        """Start stand-ins and entry VMs, then publish the configuration."""
        self.layout = layout
        self.processes: list[subprocess.Popen[str]] = []
        self.entries: list[Entry] = []
        self.caller = HttpCaller()
        self.scratch = tempfile.TemporaryDirectory()
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
        try:
            self._start_stand_ins()
            self._start_entries()
            self._publish()
        except BaseException:
            self.stop()
            raise

    def stop(self) -> None:
        """Stop all processes of the cell."""
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.scratch.cleanup()

    def get(self, address: str, path: str) -> object:
        """Return the JSON answer of a process."""
        url = f'http://{address}{path}'
        return self.caller.call('GET', url, timeout_ms=10_000).unwrap().body

    def wait_for(
        self, condition, description: str, seconds: float = 60
    ) -> None:
        """Wait until a condition holds.

        Raises TimeoutError with `description` when the time runs out.
        """
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise TimeoutError(description)
            time.sleep(0.1)

    def spawn(self, *arguments: str) -> 'subprocess.Popen[str]':
        """Start a Python module as a process; its stderr goes to a file."""
        log = Path(self.scratch.name) / f'{len(self.processes)}.log'
        process = subprocess.Popen(
            [sys.executable, '-m', *arguments],
            stdout=subprocess.PIPE,
            stderr=log.open('w'),
            text=True,
            env=os.environ | {'PYTHONPATH': str(ROOT / 'src')},
        )
        self.processes.append(process)
        return process

    def _start_stand_in(self, *arguments: str) -> dict:
        limit = str(self.layout.max_seconds)
        process = self.spawn(
            'lycheerelay_standins',
            '--max-seconds',
            limit,
            *arguments,
        )
        return json.loads(process.stdout.readline()) | {'pid': process.pid}

    def _start_stand_ins(self) -> None:
        self.log = self._start_stand_in('log')
        self.vms = self._start_stand_in('vms')
        shapes = [
            part for pool in self.layout.pools for part in ('--pool', pool)
        ]
        self.workers = {
            domain: self._start_stand_in(
                'worker',
                '--domain',
                domain,
                '--vms',
                self.vms['vms'],
                *shapes,
            )
            for domain in self.layout.domains
        }

    def _start_entries(self) -> None:
        names = {
            f'{domain}{number}': domain
            for domain in self.layout.domains
            for number in range(1, self.layout.entries_per_domain + 1)
        }
        addresses = {name: f'127.0.0.1:{free_port()}' for name in names}
        for name, domain in names.items():
            peers = ','.join(
                f'{peer}={addresses[peer]}'
                for peer in names
                if peer != name and names[peer] == domain
            )
            self._start_entry(name, domain, addresses[name], peers)
        self.wait_for(
            lambda: all(map(self._is_healthy, self.entries)), 'entries'
        )

    def _start_entry(
        self,
        name: str,
        domain: str,
        address: str,
        peers: str,
    ) -> None:
        settings = Path(self.scratch.name) / f'{name}.ini'
        settings.write_text(
            f'[node]\nname = {name}\ndomain = {domain}\nregion = r1\n'
            f'listen = {address}\nlog_address = {self.log["log"]}\n'
            f'vm_list_address = {self.vms["vms"]}\npeers = {peers}\n',
        )
        process = self.spawn('lycheerelay', 'serve', str(settings))
        self.entries.append(Entry(name, domain, address, process))

    def _is_healthy(self, entry: Entry) -> bool:
        url = f'http://{entry.address}/healthz'
        return self.caller.call('GET', url, timeout_ms=500).is_ok()

    def _publish(self) -> None:
        folder = Path(self.scratch.name) / 'folder'
        shutil.copytree(self.layout.folder, folder)
        entries = [
            part
            for entry in self.entries
            for part in ('--entry', entry.address)
        ]
        subprocess.run(
            [
                sys.executable,
                '-m',
                'lycheerelay',
                'publish',
                str(folder),
                '--log',
                self.log['log'],
                *entries,
            ],
            check=True,
            stdout=subprocess.DEVNULL,
            timeout=START_TIMEOUT_S,
            env=os.environ | {'PYTHONPATH': str(ROOT / 'src')},
        )


def free_port() -> int:
    """Return a TCP port that is currently free."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]
