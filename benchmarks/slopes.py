"""Measure how the state and the cost of each role grow with size.

The last line of output is one JSON object. `--write` writes the tables of
docs/CAPACITY.md from the result.
"""

import argparse
import json
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

from bench_cell import ROOT, BenchCell, CellLayout, usage_of
from capacity_page import write_page
from journal import measure_commit, measure_drain
from slope_core import CoreSimulation, fill_pool, measure_retained, tick_us
from slope_fit import Slope, fit

from lycheerelay._clock import SystemClock
from lycheerelay._codec import dumps
from lycheerelay._events import Recorded
from lycheerelay._folder import build_policy
from lycheerelay._folder_files import FolderFile
from lycheerelay._http import HttpCaller
from lycheerelay._membership_service import MembershipService
from lycheerelay._policy import Policy, TeamPolicy
from lycheerelay._record_codec import Batch, decode_batches, encode_batches
from lycheerelay._renewal_interval import interval_for
from lycheerelay._settings import NodeSettings
from lycheerelay._vm_client import VmListClient
from lycheerelay._web import WebServer
from lycheerelay_standins.standins import LogStandIn

Points = list[tuple[float, float]]
Measurement = Callable[[], dict[str, Slope]]
MEASUREMENTS: Final[list[Measurement]] = []
MEASURE_S: Final = 6
TASK_TTL_MS: Final = 60_000


def measurement(measure: Measurement) -> Measurement:
    """Register a measurement; its name is a value of `--only`."""
    MEASUREMENTS.append(measure)
    return measure


@measurement
def placer_by_running() -> dict[str, Slope]:
    """Measure a pool of 196 workers by running tasks."""
    memory: Points = []
    ticks: Points = []
    for jobs in (400, 800, 1600, 2400):
        simulation, size = measure_retained(
            lambda jobs=jobs: fill_pool(196, jobs)
        )
        memory.append((simulation.count_running(), size / 1024))
        ticks.append((simulation.count_running(), tick_us(simulation)))
    return {
        'home_memory_by_running': fit(
            'home',
            'running tasks',
            'KiB',
            memory,
        ),
        'placer_tick_by_running': fit('placer', 'running tasks', 'us', ticks),
    }


@measurement
def placer_by_queue() -> dict[str, Slope]:
    """Measure a full pool by queued jobs."""
    memory: Points = []
    ticks: Points = []
    for jobs in (500, 1000, 2000, 4000):
        simulation, size = measure_retained(
            lambda jobs=jobs: fill_pool(4, jobs)
        )
        memory.append((len(simulation.state.waiting), size / 1024))
        ticks.append((len(simulation.state.waiting), tick_us(simulation)))
    return {
        'home_memory_by_queue': fit('home', 'queued jobs', 'KiB', memory),
        'placer_tick_by_queue': fit('placer', 'queued jobs', 'us', ticks),
    }


@measurement
def placer_by_workers() -> dict[str, Slope]:
    """Measure the scheduling of one job by workers of the pool."""
    starts: Points = []
    memory: Points = []
    for workers in (25, 50, 100, 200):
        simulation, size = measure_retained(
            lambda workers=workers: CoreSimulation(workers)
        )
        memory.append((workers, size / 1024))
        simulation.spent_s = 0
        simulation.submit(200)
        running = simulation.tick_until_stable()
        starts.append((workers, 1e6 * simulation.spent_s / running))
    return {
        'placer_job_by_workers': fit('placer', 'workers', 'us a job', starts),
        'placer_memory_by_workers': fit('placer', 'workers', 'KiB', memory),
    }


@measurement
def placer_by_teams() -> dict[str, Slope]:
    """Measure a tick with 1,000 queued jobs by teams."""
    ticks: Points = []
    for count in (10, 25, 50, 100):
        teams = tuple(TeamPolicy(f't{number}') for number in range(count))
        simulation = CoreSimulation(4, Policy(version=1, teams=teams))
        for number in range(count):
            simulation.submit(1000 // count, team=f't{number}')
        simulation.tick_until_stable()
        ticks.append((count, tick_us(simulation)))
    return {'placer_tick_by_teams': fit('placer', 'teams', 'us', ticks)}


@measurement
def writer_by_records() -> dict[str, Slope]:
    """Measure encoding and decoding of log entries by records."""
    sizes: Points = []
    encoding: Points = []
    decoding: Points = []
    simulation = fill_pool(196, 800, keep_records=True)
    for count in (100, 200, 400, 800):
        records = tuple(simulation.records[:count])
        started = time.thread_time()
        entry = encode_batches((Batch('n1@1', 1, records),))
        text = dumps(entry)
        encoding.append((count, 1000 * (time.thread_time() - started)))
        sizes.append((count, len(text) / 1024))
        started = time.thread_time()
        decode_batches(json.loads(text)).unwrap()
        decoding.append((count, 1000 * (time.thread_time() - started)))
    return {
        'writer_bytes_by_records': fit('log writer', 'records', 'KiB', sizes),
        'writer_cpu_by_records': fit('log writer', 'records', 'ms', encoding),
        'reader_cpu_by_records': fit('home', 'records', 'ms', decoding),
    }


@measurement
def log_by_records() -> dict[str, Slope]:
    """Measure how long a new entry VM takes to apply the log."""
    points: Points = []
    for jobs in (200, 400, 800, 1600):
        simulation = fill_pool(196, jobs, keep_records=True)
        records = tuple(simulation.records)
        text = dumps(encode_batches((Batch('n1@1', 1, records),)))
        reader = CoreSimulation(196)
        started = time.thread_time()
        for batch in decode_batches(json.loads(text)).unwrap():
            for record in batch.records:
                reader.feed(Recorded(record))
        points.append((len(records), 1000 * (time.thread_time() - started)))
    return {'log_fold_by_records': fit('log', 'live log records', 'ms', points)}


@measurement
def journal_by_rate() -> dict[str, Slope]:
    """Measure group commit by appended records, and drain by backlog."""
    log = LogStandIn()
    server = WebServer('127.0.0.1', 0, log.routes())
    server.start()
    appends: Points = []
    drains: Points = []
    for rate in (20, 64, 192, 640):
        result = measure_commit(server.address, log, rate)
        appends.append((rate, result['appends_per_s']))
    for held in (5_000, 10_000, 20_000, 40_000):
        result = measure_drain(server.address, log, held)
        drains.append((held, result['appends']))
    server.stop()
    return {
        'writer_appends_by_rate': fit(
            'log writer',
            'records/s',
            'appends/s',
            appends,
        ),
        'writer_drain_by_backlog': fit(
            'log writer',
            'held records',
            'appends',
            drains,
        ),
    }


@measurement
def config_by_files() -> dict[str, Slope]:
    """Measure the configuration reader by files."""
    cpu: Points = []
    sizes: Points = []
    pool = '[pool p]\ncores_milli = 16000\nmemory_mb = 65536\n'
    for count in (25, 50, 100, 200):
        files = [FolderFile('00-pool.ini', pool)] + [
            FolderFile(
                f'{number:03d}.ini',
                f'[team t{number}]\nshare = 2\n'
                f'[batch b{number}]\npool = p\nmax_wait_ms = 60000\n',
            )
            for number in range(count)
        ]
        started = time.thread_time()
        build_policy(files, 1).unwrap()
        cpu.append((count, 1000 * (time.thread_time() - started)))
        sizes.append((count, len(dumps(files)) / 1024))
    return {
        'config_cpu_by_files': fit(
            'configuration reader',
            'configuration files',
            'ms',
            cpu,
        ),
        'config_bytes_by_files': fit(
            'configuration reader',
            'configuration files',
            'KiB',
            sizes,
        ),
    }


@measurement
def membership_by_entries() -> dict[str, Slope]:
    """Measure the membership of one entry VM by entry VMs, in one process."""
    traffic: Points = []
    cpu: Points = []
    for count in (4, 8, 16, 32):
        sent, spent = measure_membership(count)
        traffic.append((count, sent))
        cpu.append((count, spent))
    return {
        'membership_bytes_by_entries': fit(
            'front',
            'entry VMs',
            'B/s',
            traffic,
        ),
        'membership_cpu_by_entries': fit(
            'front',
            'entry VMs',
            '% of a core',
            cpu,
        ),
    }


def measure_membership(count: int) -> tuple[float, float]:
    """Return bytes per second and CPU percent of one of the entry VMs."""
    ports = [free_udp_port() for _ in range(count)]
    names = [f'e{number}' for number in range(count)]
    domains = [f'd{number % 5}' for number in range(count)]
    services = []
    for number, port in enumerate(ports):
        peers = tuple(
            f'{names[other]}@{domains[other]}=127.0.0.1:{ports[other]}'
            for other in range(count)
            if other != number
        )
        settings = NodeSettings(
            names[number],
            domains[number],
            'r',
            f'127.0.0.1:{port}',
            '',
            '',
            peers,
        )
        service = MembershipService(settings, SystemClock())
        service.start(f'127.0.0.1:{port}')
        services.append(service)
    time.sleep(2)
    before = sum(service.sent_bytes for service in services)
    cpu_before = time.process_time()
    time.sleep(MEASURE_S)
    cpu = time.process_time() - cpu_before
    sent = sum(service.sent_bytes for service in services) - before
    for service in services:
        service.stop()
    each = count * MEASURE_S
    return 2 * sent / each, 100 * cpu / each


def free_udp_port() -> int:
    """Return a UDP port that is currently free."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


@measurement
def links_by_workers() -> dict[str, Slope]:
    """Measure an idle entry VM process that owns a pool, by its workers."""
    traffic: Points = []
    cpu: Points = []
    memory: Points = []
    list_sizes: Points = []
    for workers in (4, 48, 96, 192):
        usage = measure_idle_entry(workers)
        traffic.append((usage['renewals'], usage['renewal_bytes']))
        cpu.append((workers, usage['cpu_percent']))
        memory.append((workers, usage['rss_mb']))
        list_sizes.append((workers, usage['list_kib']))
    return {
        'renewal_bytes_by_rate': fit('placer', 'renewals/s', 'B/s', traffic),
        'entry_cpu_by_workers': fit(
            'placer',
            'workers',
            '% of a core',
            cpu,
        ),
        'entry_rss_by_workers': fit('placer', 'workers', 'MiB', memory),
        'list_bytes_by_workers': fit('front', 'workers', 'KiB', list_sizes),
    }


def measure_idle_entry(workers: int) -> dict[str, float]:
    """Return the usage of one idle entry VM."""
    pools = (f'spice:{workers}:16:65536:0:5:16', 'field:1:128:524288:8:3')
    layout = CellLayout(('a',), 1, pools, ROOT / 'examples' / 'caroni', 120)
    cell = BenchCell(layout)
    try:
        entry = cell.entries[0]
        cell.wait_for(
            lambda: _are_workers_ready(cell, entry.address), 'workers'
        )
        wait_s = interval_for(workers, TASK_TTL_MS).wait_ms / 1000
        time.sleep(wait_s + MEASURE_S)
        window_s = wait_s * max(1, round(2 * MEASURE_S / wait_s))
        before = cell.get(entry.address, '/dump/usage')['traffic']
        used = usage_of(entry.process.pid)
        time.sleep(window_s)
        now = usage_of(entry.process.pid)
        after = cell.get(entry.address, '/dump/usage')['traffic']
        caller = HttpCaller()
        VmListClient(caller, cell.vms['vms']).read('a', -1).unwrap()
    finally:
        cell.stop()
    renewal = sum(
        after['renewal'][name] - before['renewal'][name]
        for name in ('sent_bytes', 'received_bytes')
    )
    return {
        'renewals': (after['renewal']['calls'] - before['renewal']['calls'])
        / window_s,
        'renewal_bytes': renewal / window_s,
        'cpu_percent': 100 * (now.cpu_s - used.cpu_s) / window_s,
        'rss_mb': now.rss_mb,
        'list_kib': caller.received_bytes / 1024,
    }


def _are_workers_ready(cell: BenchCell, address: str) -> bool:
    pools = cell.get(address, '/dump')['pools'].values()
    workers = [each for pool in pools for each in pool['workers'].values()]
    return bool(workers) and all(worker['ready'] for worker in workers)


def main() -> int:
    """Run the selected measurements and print or write their slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', action='append', help='name of a measurement')
    parser.add_argument('--write', type=Path, help='page to write tables into')
    options = parser.parse_args()
    slopes: dict[str, Slope] = {}
    for measure in MEASUREMENTS:
        if options.only and measure.__name__ not in options.only:
            continue
        started = time.monotonic()
        slopes |= measure()
        took_s = round(time.monotonic() - started, 1)
        print(measure.__name__, f'{took_s} s', file=sys.stderr, flush=True)
    if options.write:
        write_page(options.write, slopes)
    shown = {name: slope._asdict() for name, slope in slopes.items()}
    print(json.dumps({'slopes': shown}))
    return 0


if __name__ == '__main__':
    sys.exit(main())
