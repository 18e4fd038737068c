"""Measure traffic, detection and false suspicions of membership over UDP.

Each node is a process. A phase without faults measures the traffic; then nodes
are killed or paused one at a time.
"""

import argparse
import json
import os
import random
import signal
import statistics
import subprocess
import sys
import threading
import time

from fault_cell import free_ports

from lycheerelay._clock import SystemClock
from lycheerelay._membership_service import MembershipService
from lycheerelay._settings import NodeSettings

DOMAINS = 5
HOST = '127.0.0.1'
WARMUP_S = 6
FAULT_S = 6
RECOVERY_S = 4


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--nodes', type=int, nargs='+', default=[8, 16, 40])
    parser.add_argument('--quiet-s', type=float, default=30)
    parser.add_argument('--faults', type=int, default=6)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--run-node', help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.run_node:
        run_node(json.loads(arguments.run_node))
        return
    results = [measure(count, arguments) for count in arguments.nodes]
    print(json.dumps({'seed': arguments.seed, 'sizes': results}))


def run_node(options):
    settings = NodeSettings(
        options['name'],
        options['domain'],
        'r',
        options['address'],
        '',
        '',
        tuple(options['peers']),
    )
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    service = MembershipService(settings, SystemClock())
    service.publish('c', '12')
    service.start(options['address'])
    last_alive = None
    while not stopped.wait(0.02) and os.getppid() == options['parent']:
        alive = service.alive_in_domain()
        if alive != last_alive:
            last_alive = alive
            write_line({'at': time.monotonic(), 'alive': alive})
        if poll_request():
            table = service.state.table
            write_line(
                {
                    'at': time.monotonic(),
                    'sent_bytes': service.sent_bytes,
                    'received_bytes': service.received_bytes,
                    'sent': service.sent_messages,
                    'received': service.received_messages,
                    'cpu_s': time.clock_gettime(
                        time.pthread_getcpuclockid(service.thread.ident),
                    ),
                    'suspicions': table.suspicions,
                    'deaths': table.deaths,
                    'others': sum(
                        len(service.alive_in(f'd{number}'))
                        for number in range(DOMAINS)
                    ),
                },
            )
    service.stop()


REQUESTS = []


def poll_request():
    if not REQUESTS:
        REQUESTS.append(threading.Semaphore(0))
        threading.Thread(target=read_requests, daemon=True).start()
    return REQUESTS[0].acquire(blocking=False)


def read_requests():
    for _ in sys.stdin:
        REQUESTS[0].release()


def write_line(line):
    print(json.dumps(line), flush=True)


class NodeProcess:
    """Run one node as a process and collect its output."""

    def __init__(self, options):
        self.options = options
        self.name = options['name']
        self.domain = options['domain']
        self.views = []
        self.counters = []
        self.start()

    def start(self):
        command = [sys.executable, __file__, '--run-node']
        self.process = subprocess.Popen(
            [*command, json.dumps(self.options)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        threading.Thread(
            target=self.read_output,
            args=(self.process,),
            daemon=True,
        ).start()

    def read_output(self, process):
        for line in process.stdout:
            parsed = json.loads(line)
            messages = self.views if 'alive' in parsed else self.counters
            messages.append(parsed)

    def request_counters(self):
        before = len(self.counters)
        self.process.stdin.write('\n')
        self.process.stdin.flush()
        until = time.monotonic() + 5
        while len(self.counters) == before and time.monotonic() < until:
            time.sleep(0.01)
        return self.counters[-1]

    def lost_at(self, name, after):
        for view in tuple(self.views):
            if view['at'] >= after and name not in view['alive']:
                return view['at']
        return None

    def stop(self):
        self.process.kill()
        self.process.wait()


def measure(count, arguments):
    rng = random.Random(arguments.seed)
    processes = start_nodes(count)
    try:
        time.sleep(WARMUP_S)
        before = [process.request_counters() for process in processes]
        time.sleep(arguments.quiet_s)
        after = [process.request_counters() for process in processes]
        traffic = summarize_traffic(before, after)
        traffic['knows_of_others'] = min(one['others'] for one in after)
        killed = inject_faults(
            processes, rng, arguments.faults, kill_and_replace
        )
        paused = inject_faults(
            processes, rng, arguments.faults, pause_and_resume
        )
    finally:
        for process in processes:
            process.stop()
    return {
        'nodes': count,
        **traffic,
        'killed_detect_ms': summarize(killed),
        'paused_detect_ms': summarize(paused),
        'undetected': killed.count(None) + paused.count(None),
    }


def start_nodes(count):
    nodes = [
        (f'n{index}', f'd{index % DOMAINS}', port)
        for index, port in enumerate(free_ports(count))
    ]
    return [
        NodeProcess(
            {
                'name': name,
                'domain': domain,
                'address': f'{HOST}:{port}',
                'parent': os.getpid(),
                'peers': [
                    f'{peer}@{peer_domain}={HOST}:{peer_port}'
                    for peer, peer_domain, peer_port in nodes
                    if peer != name
                ],
            },
        )
        for name, domain, port in nodes
    ]


def summarize_traffic(before, after):
    rows = []
    for first, last in zip(before, after, strict=True):
        span_s = last['at'] - first['at']
        rows.append(
            {
                key: (last[key] - first[key]) / span_s
                for key in (
                    'sent_bytes',
                    'received_bytes',
                    'sent',
                    'received',
                    'cpu_s',
                )
            },
        )
    return {
        'sent_bytes_per_s_max': round(max(row['sent_bytes'] for row in rows)),
        'received_bytes_per_s_max': round(
            max(row['received_bytes'] for row in rows),
        ),
        'both_bytes_per_s_max': round(
            max(row['sent_bytes'] + row['received_bytes'] for row in rows),
        ),
        'sent_messages_per_s_max': round(max(row['sent'] for row in rows), 1),
        'cpu_percent_max': round(max(row['cpu_s'] for row in rows) * 100, 2),
        'false_suspicions': sum(
            last['suspicions'] - first['suspicions']
            for first, last in zip(before, after, strict=True)
        ),
        'false_deaths': sum(
            last['deaths'] - first['deaths']
            for first, last in zip(before, after, strict=True)
        ),
    }


def inject_faults(processes, rng, faults, fault):
    candidates = [
        process
        for process in processes
        if sum(process.domain == other.domain for other in processes) > 1
    ]
    detected = []
    for _ in range(faults):
        target = rng.choice(candidates)
        peers = [
            process
            for process in processes
            if process.domain == target.domain and process is not target
        ]
        fault_at = fault(target)
        for peer in peers:
            at = peer.lost_at(target.name, fault_at)
            detected.append(at and round((at - fault_at) * 1000))
        time.sleep(RECOVERY_S)
    return detected


def kill_and_replace(target):
    fault_at = time.monotonic()
    target.stop()
    time.sleep(FAULT_S)
    target.start()
    return fault_at


def pause_and_resume(target):
    fault_at = time.monotonic()
    target.process.send_signal(signal.SIGSTOP)
    time.sleep(FAULT_S)
    target.process.send_signal(signal.SIGCONT)
    return fault_at


def summarize(detected):
    delays_ms = sorted(entry for entry in detected if entry is not None)
    if not delays_ms:
        return {}
    return {
        'count': len(delays_ms),
        'p50': statistics.median(delays_ms),
        'max': delays_ms[-1],
    }


if __name__ == '__main__':
    main()
