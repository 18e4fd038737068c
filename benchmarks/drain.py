"""Replace entry VMs under load and count failed requests.

Three entry VM processes serve one failure domain; stand-ins run in this
process. Each entry VM in turn is stopped by SIGTERM and started again on its
address, while callers submit jobs and wait for their answers without retries.
A balancer directs them to entry VMs that were ready at its last check; with
`--direct` they call all entry VMs, ready or not.
"""

import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

from result import Err

from lycheerelay._clock import SystemClock
from lycheerelay._events import WorkerSpec
from lycheerelay._http import HttpCaller
from lycheerelay._resources import Resources
from lycheerelay._web import WebServer
from lycheerelay.cli import main as run_cli
from lycheerelay_standins.standins import (
    LogStandIn,
    VmListStandIn,
    WorkerStandIn,
)

ROOT = Path(__file__).resolve().parent.parent
SEED = 7
ENTRY_COUNT = 3
ROUNDS = 2
CALLER_COUNT = 8
PAUSE_BEFORE_STOP_S = 3
WORKER_COUNT = 6
CAPACITY = Resources(16_000, 65_536, 0, 8, 64)
READY_TIMEOUT_S = 20
READINESS_INTERVAL_S = 0.2


class PlatformStandIns:
    """Run the stand-ins of the platform."""

    def __init__(self):
        self.clock = SystemClock()
        self.servers = []
        self.workers = []
        vms = VmListStandIn()
        self.log_address = self.serve(LogStandIn())
        self.vms_address = self.serve(vms)
        for number in range(WORKER_COUNT):
            name = f'w{number}'
            worker = WorkerStandIn(CAPACITY, f'boot-{name}', self.clock)
            address = self.serve(worker)
            self.workers.append(worker)
            vms.list_worker(
                WorkerSpec(name, 'spice', 'a', 'r1', address, CAPACITY),
            )

    def serve(self, part):
        server = WebServer('127.0.0.1', 0, part.routes())
        server.start()
        self.servers.append(server)
        return server.address

    def starts(self):
        return sum(
            (Counter(worker.starts) for worker in self.workers),
            Counter(),
        )

    def stop(self):
        for worker in self.workers:
            with worker.changed:
                worker.table.publish_change()
        for server in self.servers:
            server.stop()


class EntryProcess:
    """Run one entry VM as a process."""

    def __init__(self, name, platform, peers, address, folder):
        self.address = address
        self.settings = folder / f'{name}.ini'
        self.error_log = (folder / f'{name}.log').open('w')
        lines = (
            '[node]',
            f'name = {name}',
            'domain = a',
            'region = tt-central',
            f'listen = {address}',
            f'log_address = {platform.log_address}',
            f'vm_list_address = {platform.vms_address}',
            f'peers = {peers}',
        )
        self.settings.write_text('\n'.join(lines))
        self.process = None

    def start(self):
        command = [sys.executable, '-m', 'lycheerelay', 'serve']
        self.process = subprocess.Popen(
            [*command, str(self.settings)],
            env={**os.environ, 'PYTHONPATH': str(ROOT / 'src')},
            stdout=subprocess.DEVNULL,
            stderr=self.error_log,
        )

    def terminate(self):
        started = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        status = self.process.wait(30)
        return status, time.monotonic() - started

    def wait_until_ready(self):
        caller, until = HttpCaller(), time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            if is_ready(caller, self.address):
                return
            time.sleep(0.05)
        sys.exit(f'{self.address} did not become ready')


class Balancer:
    """Check the readiness of each entry VM, as the platform does."""

    def __init__(self, addresses, direct):
        self.addresses = addresses
        self.ready = list(addresses)
        self.direct = direct
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        caller = HttpCaller()
        while not self.stopping.wait(READINESS_INTERVAL_S):
            ready = [
                address
                for address in self.addresses
                if is_ready(caller, address)
            ]
            self.ready = ready or self.addresses

    def start(self):
        if not self.direct:
            self.thread.start()

    def stop(self):
        self.stopping.set()
        if not self.direct:
            self.thread.join()


def is_ready(caller, address):
    reply = caller.call('GET', f'http://{address}/readyz', timeout_ms=500)
    return not isinstance(reply, Err) and reply.ok_value.status == 200


class Load:
    """Submit jobs and read their answers; each request is sent once."""

    def __init__(self, balancer):
        self.balancer = balancer
        self.outcomes = Counter()
        self.wrong = 0
        self.accepted = set()
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(number,))
            for number in range(CALLER_COUNT)
        ]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, number):
        rng = random.Random(SEED + number)
        caller, count = HttpCaller(), 0
        while not self.stopping.is_set():
            count += 1
            self.run_job(caller, rng, f'a.c{number}-{count}')

    def run_job(self, caller, rng, job_id):
        body = {
            'job_id': job_id,
            'team': 'design',
            'workload': 'corner-sweep',
            'kind': 'batch',
            'payload': json.dumps({'run_ms': 30, 'answer': job_id}),
        }
        base = f'http://{rng.choice(self.balancer.ready)}/v1/jobs'
        reply = self.call(caller, 'POST', base, body)
        if reply is None or reply.status != 202:
            time.sleep(0.05)
            return
        with self.lock:
            self.accepted.add(job_id)
        base = f'http://{rng.choice(self.balancer.ready)}/v1/jobs'
        view = self.call(caller, 'GET', f'{base}/{job_id}?wait_ms=3000')
        if view is not None and view.body.get('complete'):
            answer = view.body['tasks'][0]['answer']
            self.wrong += answer != job_id

    def call(self, caller, method, url, body=None):
        reply = caller.call(method, url, body, 9000)
        with self.lock:
            if isinstance(reply, Err):
                self.outcomes[reply.err_value.reason] += 1
                return None
            self.outcomes[str(reply.ok_value.body.get('code'))] += 1
        return reply.ok_value


def free_addresses():
    servers = [WebServer('127.0.0.1', 0, ()) for _ in range(ENTRY_COUNT)]
    for server in servers:
        server.start()
    addresses = [server.address for server in servers]
    for server in servers:
        server.stop()
    return addresses


def start_entries(platform, folder):
    addresses = free_addresses()
    names = [f'e{number}' for number in range(ENTRY_COUNT)]
    for name, address in zip(names, addresses, strict=True):
        pairs = zip(names, addresses, strict=True)
        peers = (f'{peer}={where}' for peer, where in pairs if peer != name)
        entry = EntryProcess(name, platform, ', '.join(peers), address, folder)
        entry.start()
        yield entry


def replace_entries(entries):
    statuses, took_s = [], []
    for _ in range(ROUNDS):
        for entry in entries:
            time.sleep(PAUSE_BEFORE_STOP_S)
            status, spent_s = entry.terminate()
            statuses.append(status)
            took_s.append(spent_s)
            entry.start()
            entry.wait_until_ready()
    return statuses, took_s


def count_unanswered(entries, load):
    caller, open_jobs = HttpCaller(), 0
    for job_id in sorted(load.accepted):
        url = f'http://{entries[0].address}/v1/jobs/{job_id}?wait_ms=5000'
        reply = caller.call('GET', url, timeout_ms=9000)
        view = None if isinstance(reply, Err) else reply.ok_value.body
        if not view or not view.get('complete'):
            open_jobs += 1
        elif view['tasks'][0]['answer'] != job_id:
            load.wrong += 1
    return open_jobs


def main():
    platform = PlatformStandIns()
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        entries = list(start_entries(platform, folder))
        addresses = [entry.address for entry in entries]
        caroni = str(ROOT / 'examples' / 'caroni')
        copy = folder / 'caroni'
        copy.mkdir()
        for path in Path(caroni).glob('*.ini'):
            (copy / path.name).write_text(path.read_text())
        entry_options = [
            part for each in addresses for part in ('--entry', each)
        ]
        for _ in range(5):
            time.sleep(1)
            command = ['publish', str(copy), '--log', platform.log_address]
            if run_cli([*command, *entry_options]) == 0:
                break
        for entry in entries:
            entry.wait_until_ready()
        time.sleep(PAUSE_BEFORE_STOP_S)
        balancer = Balancer(addresses, '--direct' in sys.argv)
        balancer.start()
        load = Load(balancer)
        load.start()
        statuses, took_s = replace_entries(entries)
        load.stop()
        balancer.stop()
        lost = count_unanswered(entries, load)
        for entry in entries:
            entry.terminate()
    doubled = sum(count > 1 for count in platform.starts().values())
    platform.stop()
    answered = {
        name: count for name, count in load.outcomes.items() if name.isdigit()
    }
    failed = {
        name: count
        for name, count in load.outcomes.items()
        if name not in answered
    }
    report = {
        'replaced': len(statuses),
        'bad_exits': sum(status != 0 for status in statuses),
        'stop_max_s': round(max(took_s), 2),
        'accepted': len(load.accepted),
        'answers_by_code': dict(sorted(answered.items())),
        'failed_calls': dict(sorted(failed.items())),
        'lost': lost,
        'wrong': load.wrong,
        'doubled_attempts': doubled,
    }
    print(json.dumps(report))


if __name__ == '__main__':
    main()
