"""Measure the control overhead of a running entry VM.

The entry VMs, the log, the VM list and the workers of one failure domain run
as processes. CPU time is split by thread; bytes and messages are split by
purpose. The last line of output is one JSON object.
"""

import argparse
import json
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Final, NamedTuple

from bench_cell import ROOT, BenchCell, CellLayout, Entry, usage_of

from lycheerelay._http import HttpCaller

BUDGET: Final = {'cpu_percent': 1.2, 'rss_mb': 256, 'bytes_per_s': 4096}
CONTROL_PURPOSES: Final = ('renewal', 'vm_list', 'log_read', 'config', 'other')
CONTROL_THREADS: Final = ('config', 'link', 'membership', 'tail', 'vms')
CALLER_THREADS: Final = ('CP Server', 'http', 'MainThread')
WARMUP_S: Final = 6
JOB_RUN_MS: Final = 2000
MEMBERSHIP_BYTE_COUNTERS: Final = ('sent_bytes', 'received_bytes')
SUBMITTER_COUNT: Final = 4


class Case(NamedTuple):
    """Describe the size of a failure domain and its load."""

    name: str
    entries: int
    pools: tuple[str, ...]
    jobs_per_s: float
    tasks_per_job: int
    groups: int = 0


TODAY_POOLS: Final = ('spice:7:16:65536:0:5:8', 'field:3:128:524288:8:3:8')
PLANNED_POOLS: Final = (
    'spice:147:16:65536:0:5:16',
    'field:49:128:524288:8:3:16',
)
RACK_GROUP_COUNT: Final = 16
RACK_GROUP_POOLS: Final = tuple(
    f'group{n}:12:16:65536:0:6:16' for n in range(RACK_GROUP_COUNT)
)
CASES: Final = (
    Case('today_idle', 3, TODAY_POOLS, 0, 0),
    Case('today_load', 3, TODAY_POOLS, 2, 2),
    Case('planned_idle', 8, PLANNED_POOLS, 0, 0),
    Case('planned_load', 8, PLANNED_POOLS, 16, 4),
    Case('split_idle', 8, RACK_GROUP_POOLS, 0, 0, RACK_GROUP_COUNT),
    Case('split_load', 8, RACK_GROUP_POOLS, 16, 4, RACK_GROUP_COUNT),
)


class Sample(NamedTuple):
    """Hold the counters of one entry VM at one point in time."""

    at_s: float
    cpu_s: float
    rss_mb: float
    dump: dict


def main() -> int:
    """Run the selected cases and print their results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--case', action='append')
    options = parser.parse_args()
    results = {}
    for case in CASES:
        if options.case and case.name not in options.case:
            continue
        results[case.name] = run_case(case, options.seconds)
        print(case.name, json.dumps(results[case.name]), flush=True)
    print(json.dumps({'budget': BUDGET, 'cases': results}))
    return 0


def run_case(case: Case, seconds: float) -> dict:
    """Run one cell and measure all entry VMs over the same interval."""
    with tempfile.TemporaryDirectory() as scratch:
        folder = ROOT / 'examples' / 'caroni'
        if case.groups:
            folder = write_groups(Path(scratch), case.groups)
        layout = CellLayout(('a',), case.entries, case.pools, folder)
        cell = BenchCell(layout)
    stopped = threading.Event()
    load: list[threading.Thread] = []
    try:
        cell.wait_for(lambda: owners_of(cell) is not None, 'owners')
        owners = owners_of(cell) or {}
        load = start_load(cell, case, stopped)
        time.sleep(WARMUP_S)
        before = [take_sample(cell, entry) for entry in cell.entries]
        time.sleep(seconds)
        after = [take_sample(cell, entry) for entry in cell.entries]
    finally:
        stopped.set()
        for thread in load:
            thread.join()
        cell.stop()
    nodes = [compare(*pair) for pair in zip(before, after, strict=True)]
    return summarize(cell.entries, nodes, owners)


def write_groups(scratch: Path, groups: int) -> Path:
    """Write a configuration folder with one pool for each rack group."""
    folder = scratch / 'groups'
    folder.mkdir()
    sections = (
        f'[pool group{number}]\ncores_milli = 16000\nmemory_mb = 65536\n'
        f'[batch work{number}]\npool = group{number}\nmax_wait_ms = 600000\n'
        for number in range(groups)
    )
    (folder / '10-groups.ini').write_text('\n'.join(sections))
    (folder / '20-teams.ini').write_text('[team design]\nshare = 1\n')
    return folder


def owners_of(cell: BenchCell) -> dict[str, str] | None:
    """Return the owner of each pool; None until all workers are ready."""
    pools = cell.get(cell.entries[0].address, '/dump')['pools']
    owners = {
        pool: shown['owner'].partition('@')[0] for pool, shown in pools.items()
    }
    for entry in cell.entries:
        shown = cell.get(entry.address, '/dump')['pools']
        for pool, owner in owners.items():
            workers = shown.get(pool, {}).get('workers', {}).values()
            if owner == entry.name:
                ready = all(worker['ready'] for worker in workers)
                if not (workers and ready):
                    return None
    return owners if len(owners) > 1 and all(owners.values()) else None


def start_load(
    cell: BenchCell,
    case: Case,
    stopped: threading.Event,
) -> list[threading.Thread]:
    """Start threads that submit jobs to the entry VMs at a steady rate."""
    if not case.jobs_per_s:
        return []
    threads = [
        threading.Thread(
            target=submit_steadily,
            args=(cell, case, number, stopped),
        )
        for number in range(SUBMITTER_COUNT)
    ]
    for thread in threads:
        thread.start()
    return threads


def submit_steadily(
    cell: BenchCell,
    case: Case,
    number: int,
    stopped: threading.Event,
) -> None:
    """Submit the share of one thread to the entry VMs in turn."""
    caller = HttpCaller()
    job_number = number
    while not stopped.wait(SUBMITTER_COUNT / case.jobs_per_s):
        entry = cell.entries[job_number % len(cell.entries)]
        job = {
            'job_id': f'a.load{job_number}',
            'team': 'design',
            'kind': 'batch',
            'workload': workload_of(case, job_number),
            'tasks': case.tasks_per_job,
            'cores_milli': 1000,
            'accelerators': 0,
            'memory_mb': 512,
            'payload': json.dumps({'run_ms': JOB_RUN_MS, 'answer': 'ok'}),
        }
        caller.call('POST', f'http://{entry.address}/v1/jobs', job, 5000)
        job_number += SUBMITTER_COUNT


def workload_of(case: Case, job_number: int) -> str:
    """Return a workload so that jobs spread over the pools of a case."""
    if case.groups:
        return f'work{job_number % case.groups}'
    return 'corner-sweep' if job_number % 4 else 'extraction'


def take_sample(cell: BenchCell, entry: Entry) -> Sample:
    """Read the counters of one entry VM."""
    dump = cell.get(entry.address, '/dump/usage')
    used = usage_of(entry.process.pid)
    return Sample(time.monotonic(), used.cpu_s, used.rss_mb, dump)


def compare(before: Sample, after: Sample) -> dict:
    """Return the rates between two samples."""
    seconds = after.at_s - before.at_s
    threads = {
        name: (spent - before.dump['thread_cpu_ms'].get(name, 0)) / seconds / 10
        for name, spent in after.dump['thread_cpu_ms'].items()
    }
    traffic = {
        purpose: rates(before.dump['traffic'].get(purpose), entry, seconds)
        for purpose, entry in after.dump['traffic'].items()
    }
    udp = {
        name: (after.dump['membership'][name] - before.dump['membership'][name])
        / seconds
        for name in MEMBERSHIP_BYTE_COUNTERS
        if name in after.dump['membership']
    }
    return {
        'cpu_percent': 100 * (after.cpu_s - before.cpu_s) / seconds,
        'rss_mb': after.rss_mb,
        'threads': threads,
        'traffic': traffic,
        'membership_bytes_per_s': sum(udp.values()),
        'appends_per_s': (
            after.dump['journal']['appends'] - before.dump['journal']['appends']
        )
        / seconds,
    }


def rates(before: dict | None, after: dict, seconds: float) -> dict:
    """Return calls and bytes per second of one purpose."""
    start = before or dict.fromkeys(after, 0)
    size = sum(
        after[name] - start[name] for name in ('sent_bytes', 'received_bytes')
    )
    calls = after['calls'] - start['calls']
    return {'calls_per_s': calls / seconds, 'bytes_per_s': size / seconds}


def summarize(
    entries: list[Entry],
    nodes: list[dict],
    owners: dict[str, str],
) -> dict:
    """Return the figures of the busiest owner and of one other entry VM."""
    by_name = {
        entry.name: round_figures(node)
        for entry, node in zip(entries, nodes, strict=True)
    }
    owned = {
        name: node for name, node in by_name.items() if name in owners.values()
    }
    busiest = max(owned, key=lambda name: owned[name]['control_bytes_per_s'])
    others = [node for name, node in by_name.items() if name not in owned]
    return {
        'entries': len(entries),
        'owners': owners,
        'busiest_owner': owned[busiest],
        'other': others[0] if others else None,
    }


def round_figures(node: dict) -> dict:
    """Return the rounded figures that the capacity page shows."""
    traffic = node['traffic']
    control_bytes = node['membership_bytes_per_s'] + sum(
        traffic[purpose]['bytes_per_s']
        for purpose in CONTROL_PURPOSES
        if purpose in traffic
    )
    threads = node['threads']
    control_cpu = sum(threads.get(name, 0) for name in CONTROL_THREADS)
    caller_cpu = sum(threads.get(name, 0) for name in CALLER_THREADS)
    return {
        'cpu_percent': round(node['cpu_percent'], 2),
        'control_cpu_percent': round(control_cpu, 2),
        'decision_cpu_percent': round(
            sum(threads.values()) - control_cpu - caller_cpu,
            2,
        ),
        'caller_cpu_percent': round(caller_cpu, 2),
        'rss_mb': round(node['rss_mb'], 1),
        'control_bytes_per_s': round(control_bytes),
        'control_calls_per_s': round(
            sum(
                traffic[purpose]['calls_per_s']
                for purpose in CONTROL_PURPOSES
                if purpose in traffic
            ),
            2,
        ),
        'bytes_per_s': {
            purpose: round(entry['bytes_per_s'])
            for purpose, entry in traffic.items()
        }
        | {'membership': round(node['membership_bytes_per_s'])},
        'thread_cpu_percent': {
            name: round(share, 2) for name, share in threads.items()
        },
        'appends_per_s': round(node['appends_per_s'], 2),
    }


if __name__ == '__main__':
    sys.exit(main())
