"""Send mixed jobs through the whole request path and check every answer.

Three entry VMs in three failure domains, the log, the VM list and the workers
of each domain run as separate processes. The last line of output is one JSON
object.
"""

import argparse
import json
import random
import sys
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import Final, NamedTuple

from bench_cell import ROOT, BenchCell, CellLayout, usage_of

from lycheerelay._http import HttpCaller

DOMAINS: Final = ('a', 'b', 'c')
POOLS: Final = ('spice:7:16:65536:0:5', 'field:3:128:524288:8:3')
NEVER_FITS: Final = 300
TIMEOUT_S: Final = 120
READ_WAIT_MS: Final = 5000


class Outcome(NamedTuple):
    """Hold the answers that the caller of one job got."""

    job_id: str
    submitted_ms: int
    status: int
    body: dict
    view: dict | None


def make_jobs(count: int, seed: int) -> list[dict]:
    """Return request bodies of mixed jobs."""
    rng = random.Random(seed)
    return [make_job(rng, number) for number in range(count)]


def make_job(rng: random.Random, number: int) -> dict:
    """Return the body of one job; its expected answer contains its id."""
    job_id = f'{rng.choice(DOMAINS)}.job{number}'
    job = {
        'job_id': job_id,
        'team': rng.choice(('design', 'layout', 'test-lab')),
        'kind': 'batch',
        'tasks': 1,
        'idempotent': rng.random() < 0.8,
        'expected_run_ms': 100,
        'payload': json.dumps(
            {'run_ms': rng.randint(20, 200), 'answer': f'answer of {job_id}'},
        ),
    }
    shape = rng.random()
    if shape < 0.60:
        job |= {
            'workload': 'corner-sweep',
            'tasks': rng.randint(1, 4),
            'cores_milli': rng.choice((1000, 2000, 4000)),
            'memory_mb': rng.choice((512, 4096)),
        }
    elif shape < 0.80:
        job |= {
            'workload': 'extraction',
            'cores_milli': 8000,
            'memory_mb': 16_384,
            'accelerators': rng.choice((1, 2)),
        }
    elif shape < 0.95:
        job |= {
            'workload': 'field-solve',
            'kind': 'gang',
            'tasks': rng.randint(2, 5),
            'cores_milli': 16_000,
            'memory_mb': 32_768,
            'accelerators': 1,
        }
    else:
        job |= {'workload': 'corner-sweep', 'cores_milli': 64_000}
    return job


class JobStream:
    """Submit jobs and read each until it is complete."""

    def __init__(self, cell: BenchCell, until: float) -> None:
        """Prepare the URL of each domain; `until` is a monotonic time."""
        self.bases = {
            entry.domain: f'http://{entry.address}/v1/jobs'
            for entry in cell.entries
        }
        self.until = until
        self.thread_local = threading.local()

    def run(self, job: dict) -> Outcome:
        """Submit one job and read it until it is complete."""
        base = self.bases[job['job_id'].split('.')[0]]
        submitted_ms = time.time_ns() // 1_000_000
        status, body = self.submit(base, job)
        view = self.read(base, job['job_id']) if status == 202 else None
        return Outcome(job['job_id'], submitted_ms, status, body, view)

    def submit(self, base: str, job: dict) -> tuple[int, dict]:
        """Submit with the same id until the answer is definite."""
        status, body = 0, {}
        while time.monotonic() < self.until:
            reply = self.caller().call('POST', base, job, 5000)
            if reply.is_ok():
                status, body = reply.ok_value.status, reply.ok_value.body
                if status < 500 and status != 429:
                    return status, body
            time.sleep(0.2)
        return status, body

    def read(self, base: str, job_id: str) -> dict | None:
        """Long-poll until the job is complete; None if time runs out."""
        url = f'{base}/{job_id}?wait_ms={READ_WAIT_MS}'
        while time.monotonic() < self.until:
            reply = self.caller().call('GET', url, None, READ_WAIT_MS + 3000)
            if reply.is_ok() and reply.ok_value.status == 200:
                if reply.ok_value.body['complete']:
                    return reply.ok_value.body
            else:
                time.sleep(0.2)
        return None

    def caller(self) -> HttpCaller:
        """Return the HTTP caller of this thread."""
        if not hasattr(self.thread_local, 'caller'):
            self.thread_local.caller = HttpCaller()
        return self.thread_local.caller


def run_stream(
    stream: JobStream,
    jobs: list[dict],
    rate: float,
    threads: int,
) -> list[Outcome]:
    """Run jobs on a thread pool at the given rate per second."""
    started = time.monotonic()
    futures = []
    with ThreadPoolExecutor(threads) as pool:
        for number, job in enumerate(jobs):
            pause = started + number / rate - time.monotonic()
            if pause > 0:
                time.sleep(pause)
            futures.append(pool.submit(stream.run, job))
        return [future.result() for future in futures]


def evaluate(
    jobs: list[dict], outcomes: list[Outcome], ledgers: list[dict]
) -> dict:
    """Check answers against the jobs and the ledgers of the workers."""
    starts = Counter()
    started_ms = {}
    for ledger in ledgers:
        for attempt, count in ledger['starts'].items():
            starts[attempt.rpartition(':')[0]] += count
        for attempt, at_ms in ledger['started_ms'].items():
            task = attempt.rpartition(':')[0]
            started_ms[task] = min(at_ms, started_ms.get(task, at_ms))
    accepted = [outcome for outcome in outcomes if outcome.status == 202]
    answered = [outcome for outcome in accepted if outcome.view]
    by_id = {job['job_id']: job for job in jobs}
    wrong = sum(is_wrong(by_id[o.job_id], o, starts) for o in outcomes)
    waits = sorted(
        started_ms[f'{outcome.job_id}:0'] - outcome.submitted_ms
        for outcome in accepted
        if f'{outcome.job_id}:0' in started_ms
    )
    span_s = (max(started_ms.values()) - min(started_ms.values())) / 1000
    return {
        'accepted': len(accepted),
        'refused': sum(o.body.get('code') == NEVER_FITS for o in outcomes),
        'answered': len(answered),
        'wrong': wrong,
        'doubled': sum(count > 1 for count in starts.values())
        + sum(len(ledger['two_live']) for ledger in ledgers),
        'lost': len(jobs)
        - len(answered)
        - sum(o.body.get('code') == NEVER_FITS for o in outcomes),
        'overbooked': sum(len(ledger['overbooked']) for ledger in ledgers),
        'wait_p50_ms': waits[len(waits) // 2],
        'wait_p99_ms': waits[len(waits) * 99 // 100],
        'starts': sum(starts.values()),
        'start_rate_per_s': round(sum(starts.values()) / span_s, 1),
    }


def is_wrong(job: dict, outcome: Outcome, starts: Counter) -> bool:
    """Return whether an answer is wrong for its job."""
    job_id = outcome.job_id
    if job.get('cores_milli', 0) > 16_000 and job['kind'] == 'batch':
        refused = outcome.body.get('code') == NEVER_FITS
        ran = starts[f'{job_id}:0'] > 0
        return ran or not (refused and outcome.body['not_run'])
    if outcome.view is None:
        return outcome.status != 202
    answer = json.loads(job['payload'])['answer']
    tasks = outcome.view['tasks']
    return (
        outcome.view['job_id'] != job_id
        or outcome.view['state'] != 'done'
        or [task['answer'] for task in tasks] != [answer] * job['tasks']
        or any(starts[f'{job_id}:{index}'] < 1 for index in range(job['tasks']))
    )


def main() -> int:
    """Run the benchmark and print its result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--jobs', type=int, default=1000)
    parser.add_argument(
        '--rate', type=float, default=60, help='jobs per second'
    )
    parser.add_argument('--threads', type=int, default=96)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    layout = CellLayout(DOMAINS, 1, POOLS, ROOT / 'examples' / 'caroni')
    cell = BenchCell(layout)
    try:
        result = measure(cell, options)
    finally:
        cell.stop()
    print(json.dumps(result))
    passed = not (result['wrong'] or result['doubled'] or result['lost'])
    return 0 if passed else 1


def measure(cell: BenchCell, options: argparse.Namespace) -> dict:
    """Run the jobs once every entry VM owns its pools."""
    cell.wait_for(lambda: all(map(owns_pools(cell), cell.entries)), 'placing')
    before = {e.name: usage_of(e.process.pid) for e in cell.entries}
    jobs = make_jobs(options.jobs, options.seed)
    stream = JobStream(cell, time.monotonic() + TIMEOUT_S)
    started = time.monotonic()
    outcomes = run_stream(stream, jobs, options.rate, options.threads)
    took_s = time.monotonic() - started
    ledgers = [
        cell.get(part['control'], '/ledger') for part in cell.workers.values()
    ]
    cpu_s = sum(
        usage_of(e.process.pid).cpu_s - before[e.name].cpu_s
        for e in cell.entries
    )
    counts = cell.get(cell.log['log'], '/counts')
    return evaluate(jobs, outcomes, ledgers) | {
        'seed': options.seed,
        'rate_per_s': options.rate,
        'took_s': round(took_s, 1),
        'entry_cpu_ms_per_job': round(1000 * cpu_s / options.jobs, 2),
        'log_appends': counts['appends'],
    }


def owns_pools(cell: BenchCell):
    """Return a predicate for entry VMs that own pools with workers."""

    def predicate(entry) -> bool:
        pools = cell.get(entry.address, '/dump')['pools']
        owned = [
            pool
            for pool, shown in pools.items()
            if shown['owner'].partition('@')[0] == entry.name
            and shown['workers']
        ]
        return len(owned) >= len(POOLS)

    return predicate


if __name__ == '__main__':
    sys.exit(main())
