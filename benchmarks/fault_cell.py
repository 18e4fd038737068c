"""Run entry VMs and the platform as processes that can be hurt."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from lycheerelay._http import HttpCaller

HOST = '127.0.0.1'
LOW_PORT = 12_000
PORT_SPAN = 9000
LAYOUT = (('a', 3), ('b', 2), ('c', 2))
POOLS = ('desk:6:16:65536:0', 'field:3:128:524288:8')
FOLDER = """
[team t]
share = 1

[pool desk]
cores_milli = 16000
memory_mb = 65536

[pool field]
cores_milli = 128000
memory_mb = 524288
accelerators = 8

[batch sweep]
pool = desk

[batch extract]
pool = field

[gang solve]
pool = field

[limits]
task_ttl_ms = 20000
"""


class Relay:
    """Pass TCP connections on to a target until it is cut."""

    def __init__(self, target):
        host, _, port = target.rpartition(':')
        self.target = (host, int(port))
        self.cuts = 0
        self.held = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server((HOST, 0), backlog=64)
        self.address = f'{HOST}:{self.listener.getsockname()[1]}'
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                near, _ = self.listener.accept()
                threading.Thread(
                    target=self.join,
                    args=(near,),
                    daemon=True,
                ).start()

    def join(self, near):
        with self.lock:
            self.held.add(near)
        if self.cuts:
            return
        with contextlib.suppress(OSError):
            far = socket.create_connection(self.target, 2)
            far.settimeout(None)
            with self.lock:
                self.held.add(far)
            back = threading.Thread(
                target=self.pump,
                args=(far, near),
                daemon=True,
            )
            back.start()
            self.pump(near, far)

    def pump(self, source, target):
        with contextlib.suppress(OSError):
            while True:
                part = source.recv(65536)
                while self.cuts:
                    time.sleep(0.05)
                if not part:
                    break
                target.sendall(part)
        for entry in (source, target):
            with self.lock:
                self.held.discard(entry)
            with contextlib.suppress(OSError):
                entry.shutdown(socket.SHUT_RDWR)
            entry.close()

    def cut(self):
        """Swallow everything, as a cut network does."""
        self.cuts += 1

    def heal(self):
        self.cuts -= 1
        if self.cuts:
            return
        with self.lock:
            held, self.held = self.held, set()
        for entry in held:
            with contextlib.suppress(OSError):
                entry.shutdown(socket.SHUT_RDWR)

    def stop(self):
        self.listener.close()
        self.cuts = 1
        self.heal()


class Vm:
    """Run one entry VM; a replacement keeps name and address."""

    def __init__(self, name, domain, port, platform, folder):
        self.name = name
        self.domain = domain
        self.address = f'{HOST}:{port}'
        self.log = Relay(platform['log'])
        self.vms = Relay(platform['vms'])
        self.path = folder / f'{name}.ini'
        self.errors = folder / f'{name}.log'
        self.process = None
        self.is_paused = False
        self.busy = False

    def write_settings(self, peers):
        self.path.write_text(
            '\n'.join(
                (
                    '[node]',
                    f'name = {self.name}',
                    f'domain = {self.domain}',
                    'region = r',
                    f'listen = {self.address}',
                    f'log_address = {self.log.address}',
                    f'vm_list_address = {self.vms.address}',
                    f'peers = {", ".join(peers)}',
                ),
            ),
        )

    def start(self):
        with self.errors.open('a') as errors:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'lycheerelay', 'serve', self.path],
                stdout=subprocess.DEVNULL,
                stderr=errors,
                env={**os.environ, 'PYTHONFAULTHANDLER': '1'},
            )

    def kill(self):
        self.process.kill()
        self.process.wait()

    def pause(self):
        self.is_paused = True
        self.process.send_signal(signal.SIGSTOP)

    def wake(self):
        self.process.send_signal(signal.SIGCONT)
        self.is_paused = False


class FaultCell:
    """Run the platform and seven entry VMs in three failure domains."""

    def __init__(self, folder):
        self.caller = HttpCaller()
        self.folder = folder
        command = [sys.executable, '-m', 'lycheerelay_standins']
        command += ['--max-seconds', '590', 'cell', '--domains', 'a,b,c']
        for pool in POOLS:
            command += ['--pool', pool]
        self.platform_process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.platform = json.loads(self.platform_process.stdout.readline())
        self.workers = [entry['name'] for entry in self.platform['workers']]
        self.vms = self.make_vms()
        self.config = folder / 'config'
        self.config.mkdir()
        (self.config / '10-all.ini').write_text(FOLDER)

    def make_vms(self):
        names = [
            (f'{domain}{number}', domain)
            for domain, count in LAYOUT
            for number in range(1, count + 1)
        ]
        ports = free_ports(len(names))
        vms = [
            Vm(name, domain, port, self.platform, self.folder)
            for (name, domain), port in zip(names, ports, strict=True)
        ]
        for vm in vms:
            vm.write_settings(
                [
                    f'{peer.name}@{peer.domain}={peer.address}'
                    for peer in vms
                    if peer is not vm
                ],
            )
        return vms

    def start(self):
        for vm in self.vms:
            vm.start()
        self.publish(1)
        until = time.monotonic() + 30
        while time.monotonic() < until:
            if all(self.get(vm, '/readyz') for vm in self.vms):
                return
            time.sleep(0.1)
        raise TimeoutError('the entry VMs are not ready')

    def publish(self, number):
        """Publish one more version of the folder."""
        text = f'{FOLDER}max_waiting_tasks = {100_000 + number}\n'
        (self.config / '10-all.ini').write_text(text)
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'lycheerelay',
                'publish',
                self.config,
                '--log',
                self.platform['log'],
                '--timeout-ms',
                '5000',
            ],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            check=False,
        ).returncode

    def get(self, vm, path, timeout_ms=1000):
        """Read from a VM; None where it does not answer well."""
        url = f'http://{vm.address}{path}'
        reply = self.caller.call('GET', url, timeout_ms=timeout_ms)
        if reply.is_err() or reply.ok_value.status != 200:
            return None
        return reply.ok_value.body

    def owners(self, vm):
        """Return the owner of each pool as one VM sees it."""
        body = self.get(vm, '/internal/owners', 500)
        if body is None:
            return {}
        return {pool: part['owner'] for pool, part in body['pools'].items()}

    def switch_log(self, **switches):
        self.switch(self.platform['log'], switches)

    def switch_workers(self, names, **switches):
        self.switch(self.platform['control'], {'workers': names, **switches})

    def switch(self, address, switches):
        url = f'http://{address}/switch'
        self.caller.call('POST', url, switches, 2000).unwrap()

    def ledger(self):
        url = f'http://{self.platform["control"]}/ledger'
        return self.caller.call('GET', url, timeout_ms=10_000).unwrap().body

    def records(self, domain):
        """Return every record on the log of a domain, with its place."""
        url = f'http://{self.platform["log"]}/v1/streams/jobs.{domain}'
        found, offset = [], 0
        while True:
            path = f'{url}?from={offset}'
            page = self.caller.call('GET', path, timeout_ms=9000).unwrap().body
            for entry in page['entries']:
                offset = entry['offset'] + 1
                found.append((entry['offset'], entry['value']))
            if offset >= page['end']:
                return found

    def stop(self):
        for vm in self.vms:
            if vm.process is not None:
                vm.process.send_signal(signal.SIGCONT)
                vm.kill()
            vm.log.stop()
            vm.vms.stop()
        self.platform_process.kill()
        self.platform_process.wait()


def free_ports(count):
    """Find ports that no outgoing connection takes while a VM is away."""
    found = []
    first = LOW_PORT + os.getpid() * 37 % PORT_SPAN
    for port in range(first, first + PORT_SPAN):
        with contextlib.suppress(OSError):
            socket.create_server((HOST, port)).close()
            with socket.socket(type=socket.SOCK_DGRAM) as entry:
                entry.bind((HOST, port))
            found.append(port)
        if len(found) == count:
            break
    return found


def make_folder():
    import tempfile

    return Path(tempfile.mkdtemp(prefix='faults-'))
