"""Run entry VMs and the platform as processes that accept faults."""

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
POOL_SHAPES = ('desk:6:16:65536:0', 'field:3:128:524288:8')
CONFIG_TEXT = """
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


class TcpRelay:
    """Relay TCP connections to a target until it is cut."""

    def __init__(self, target):
        host, _, port = target.rpartition(':')
        self.target = (host, int(port))
        self.cuts = 0
        self.open_sockets = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server((HOST, 0), backlog=64)
        self.address = f'{HOST}:{self.listener.getsockname()[1]}'
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self):
        with contextlib.suppress(OSError):
            while True:
                client, _ = self.listener.accept()
                threading.Thread(
                    target=self.connect,
                    args=(client,),
                    daemon=True,
                ).start()

    def connect(self, client):
        with self.lock:
            self.open_sockets.add(client)
        if self.cuts:
            return
        with contextlib.suppress(OSError):
            upstream = socket.create_connection(self.target, 2)
            upstream.settimeout(None)
            with self.lock:
                self.open_sockets.add(upstream)
            back = threading.Thread(
                target=self.copy_data,
                args=(upstream, client),
                daemon=True,
            )
            back.start()
            self.copy_data(client, upstream)

    def copy_data(self, source, target):
        with contextlib.suppress(OSError):
            while True:
                data = source.recv(65536)
                while self.cuts:
                    time.sleep(0.05)
                if not data:
                    break
                target.sendall(data)
        for closing in (source, target):
            with self.lock:
                self.open_sockets.discard(closing)
            with contextlib.suppress(OSError):
                closing.shutdown(socket.SHUT_RDWR)
            closing.close()

    def cut(self):
        """Drop all traffic without closing connections, like a network cut."""
        self.cuts += 1

    def restore(self):
        self.cuts -= 1
        if self.cuts:
            return
        with self.lock:
            open_sockets, self.open_sockets = self.open_sockets, set()
        for closing in open_sockets:
            with contextlib.suppress(OSError):
                closing.shutdown(socket.SHUT_RDWR)

    def stop(self):
        self.listener.close()
        self.cuts = 1
        self.restore()


class Vm:
    """Run one entry VM; a replacement keeps its name and address."""

    def __init__(self, name, domain, port, platform, folder):
        self.name = name
        self.domain = domain
        self.address = f'{HOST}:{port}'
        self.log = TcpRelay(platform['log'])
        self.vms = TcpRelay(platform['vms'])
        self.path = folder / f'{name}.ini'
        self.error_log = folder / f'{name}.log'
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
        with self.error_log.open('a') as error_log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'lycheerelay', 'serve', self.path],
                stdout=subprocess.DEVNULL,
                stderr=error_log,
                env={**os.environ, 'PYTHONFAULTHANDLER': '1'},
            )

    def kill(self):
        self.process.kill()
        self.process.wait()

    def pause(self):
        self.is_paused = True
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        self.process.send_signal(signal.SIGCONT)
        self.is_paused = False


class FaultCell:
    """Run the platform and seven entry VMs in three failure domains."""

    def __init__(self, folder):
        self.caller = HttpCaller()
        self.folder = folder
        command = [sys.executable, '-m', 'lycheerelay_standins']
        command += ['--max-seconds', '590', 'cell', '--domains', 'a,b,c']
        for pool in POOL_SHAPES:
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
        (self.config / '10-all.ini').write_text(CONFIG_TEXT)

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
        raise TimeoutError('entry VMs did not become ready within 30 s')

    def publish(self, number):
        """Publish a changed version of the configuration folder."""
        text = f'{CONFIG_TEXT}max_waiting_tasks = {100_000 + number}\n'
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
        """Return the JSON answer of a VM; None unless the status is 200."""
        url = f'http://{vm.address}{path}'
        reply = self.caller.call('GET', url, timeout_ms=timeout_ms)
        if reply.is_err() or reply.ok_value.status != 200:
            return None
        return reply.ok_value.body

    def owners(self, vm):
        """Return the owner of each pool as known to one VM."""
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
        """Return all entries on the log of a domain with their offsets."""
        url = f'http://{self.platform["log"]}/v1/streams/jobs.{domain}'
        entries, offset = [], 0
        while True:
            path = f'{url}?from={offset}'
            page = self.caller.call('GET', path, timeout_ms=9000).unwrap().body
            for entry in page['entries']:
                offset = entry['offset'] + 1
                entries.append((entry['offset'], entry['value']))
            if offset >= page['end']:
                return entries

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
    """Return free ports below the range of ephemeral ports.

    No outgoing connection can take such a port while its VM is down.
    """
    ports = []
    first = LOW_PORT + os.getpid() * 37 % PORT_SPAN
    for port in range(first, first + PORT_SPAN):
        with contextlib.suppress(OSError):
            socket.create_server((HOST, port)).close()
            with socket.socket(type=socket.SOCK_DGRAM) as probe:
                probe.bind((HOST, port))
            ports.append(port)
        if len(ports) == count:
            break
    return ports


def make_scratch_folder():
    import tempfile

    return Path(tempfile.mkdtemp(prefix='faults-'))
