"""Run a cell in one process, submit three jobs and print their answers."""

import json
import logging
import shutil
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Final, NamedTuple

from lycheerelay._cli import main as run_command
from lycheerelay._cli import start_node
from lycheerelay._codec import Json
from lycheerelay._http import HttpCaller
from lycheerelay._jobs import JobSpec, Kind
from lycheerelay._members import name_of
from lycheerelay._node import Node
from lycheerelay._resources import Resources
from lycheerelay._settings import NodeSettings
from lycheerelay._web import WebServer

from ._cell import Cell, PoolShape

DOMAINS: Final = ('a', 'b', 'c')
SHAPES: Final = (
    PoolShape('spice', 3, Resources(16_000, 65_536, 0, 8, 64)),
    PoolShape('field', 2, Resources(128_000, 524_288, 8, 8, 64)),
)
TIMEOUT_S: Final = 45
POLL_INTERVAL_S: Final = 0.1
HTTP_ACCEPTED: Final = 202
READ_WAIT_MS: Final = 5000
SERVICE_RUN_MS: Final = 600_000
BATCH_RUN_MS: Final = 300

SAMPLE_JOBS: Final = (
    JobSpec(
        'a.quickstart-service',
        'design',
        'spice-desk',
        Kind.SERVICE,
        tasks=2,
        cores_milli=2000,
        payload=json.dumps({'run_ms': SERVICE_RUN_MS}),
    ),
    JobSpec(
        'b.quickstart-batch',
        'design',
        'corner-sweep',
        Kind.BATCH,
        tasks=3,
        cores_milli=4000,
        payload=json.dumps(
            {'run_ms': BATCH_RUN_MS, 'answer': 'corners met'},
        ),
    ),
    JobSpec(
        'c.quickstart-gang',
        'layout',
        'field-solve',
        Kind.GANG,
        tasks=4,
        cores_milli=16_000,
        accelerators=2,
        payload=json.dumps({'run_ms': BATCH_RUN_MS, 'answer': 'solved'}),
    ),
)


class EntryVm(NamedTuple):
    """One entry VM of the embedded cell and its HTTP server."""

    node: Node
    server: WebServer


class QuickstartError(Exception):
    """A step of the quickstart failed or exceeded its timeout."""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the quickstart; return 0 if every answer is as expected."""
    logging.basicConfig(level=logging.WARNING)
    folder = Path((sys.argv[1:] if argv is None else argv)[0])
    try:
        with run_cell() as (cell, entries):
            return run_sample_jobs(cell, entries, folder)
    except QuickstartError as error:
        print(f'quickstart failed: {error}', file=sys.stderr)
        return 1


@contextmanager
def run_cell() -> Iterator[tuple[Cell, dict[str, EntryVm]]]:
    """Run the stand-ins and one entry VM for each failure domain."""
    cell = Cell(DOMAINS, SHAPES, threads=6)
    cell.start()
    entries = {domain: start_entry(cell, domain) for domain in DOMAINS}
    try:
        yield cell, entries
    finally:
        for entry in entries.values():
            entry.server.stop()
            entry.node.stop()
        cell.stop()


def start_entry(cell: Cell, domain: str) -> EntryVm:
    """Start the entry VM of one failure domain."""
    settings = NodeSettings(
        f'entry-{domain}',
        domain,
        'tt-central',
        '127.0.0.1:0',
        cell.log_server.address,
        cell.vms_server.address,
    )
    return EntryVm(*start_node(settings, needs_config=True))


def run_sample_jobs(
    cell: Cell, entries: dict[str, EntryVm], folder: Path
) -> int:
    """Publish the folder, submit the jobs and print their answers."""
    deadline_s = time.monotonic() + TIMEOUT_S
    addresses = {
        domain: entry.server.address for domain, entry in entries.items()
    }
    print(f'Publishing {folder.name}:')
    publish(cell, tuple(addresses.values()), folder)
    for spec in SAMPLE_JOBS:
        submit(addresses, spec, deadline_s)
        print(f'accepted {spec.job_id} ({spec.kind.value})')
    views = [
        wait_for_answer(addresses, spec, deadline_s) for spec in SAMPLE_JOBS
    ]
    print_answers(views)
    print_status(entries)
    return 0 if all(map(is_expected, SAMPLE_JOBS, views)) else 1


def publish(cell: Cell, addresses: Sequence[str], folder: Path) -> None:
    """Publish a copy of the folder, since publishing writes to the folder."""
    with tempfile.TemporaryDirectory() as scratch:
        copy = Path(scratch) / folder.name
        shutil.copytree(folder, copy)
        entries = [
            argument
            for address in addresses
            for argument in ('--entry', address)
        ]
        status = run_command(
            ['publish', str(copy), '--log', cell.log_server.address, *entries],
        )
    if status:
        raise QuickstartError(f'publish exited with status {status}')


def submit(addresses: dict[str, str], spec: JobSpec, deadline_s: float) -> None:
    """Submit a job, retrying with the same id until it is accepted."""
    caller = HttpCaller()
    base = job_url(addresses, spec)
    while time.monotonic() < deadline_s:
        reply = caller.call('POST', base, spec)
        if reply.is_ok() and reply.unwrap().status == HTTP_ACCEPTED:
            return
        time.sleep(POLL_INTERVAL_S)
    raise QuickstartError(f'{spec.job_id} was not accepted in time')


def wait_for_answer(
    addresses: dict[str, str],
    spec: JobSpec,
    deadline_s: float,
) -> Json:
    """Poll a job until every task has its answer, or runs if a service."""
    caller = HttpCaller()
    wait_ms = 0 if spec.kind is Kind.SERVICE else READ_WAIT_MS
    url = f'{job_url(addresses, spec)}/{spec.job_id}?wait_ms={wait_ms}'
    while time.monotonic() < deadline_s:
        reply = caller.call('GET', url, timeout_ms=2 * READ_WAIT_MS)
        view = reply.unwrap().body if reply.is_ok() else {}
        if is_expected(spec, view):
            return view
        time.sleep(POLL_INTERVAL_S)
    raise QuickstartError(
        f'{spec.job_id} did not reach its expected state in time'
    )


def job_url(addresses: dict[str, str], spec: JobSpec) -> str:
    """Return the URL of jobs at the entry VM of the job's domain."""
    domain, _, _ = spec.job_id.partition('.')
    return f'http://{addresses[domain]}/v1/jobs'


def is_expected(spec: JobSpec, view: Json) -> bool:
    """Return whether a job view shows the expected states or answers."""
    tasks = view.get('tasks', ())
    if len(tasks) != spec.tasks:
        return False
    if spec.kind is Kind.SERVICE:
        return all(task['state'] == 'running' for task in tasks)
    expected = json.loads(spec.payload)['answer']
    return all(task['answer'] == expected for task in tasks)


def print_answers(views: Sequence[Json]) -> None:
    """Print one line for each task."""
    print(f'\n{"JOB":<22}{"STATE":<10}{"CODE":<6}{"WORKER":<12}ANSWER')
    for view in views:
        for task in view['tasks']:
            print(
                f'{view["job_id"]:<22}{task["state"]:<10}{view["code"]:<6}'
                f'{task["worker"]:<12}{task["answer"] or "-"}',
            )


def print_status(entries: dict[str, EntryVm]) -> None:
    """Print one line for each pool of each failure domain."""
    print(f'\n{"DOMAIN":<8}{"POOL":<8}{"OWNER":<10}{"WORKERS":<9}FREE CORES')
    for domain, entry in sorted(entries.items()):
        for pool, state in sorted(entry.node.shards.items()):
            free = sum(
                worker.free.cores_milli for worker in state.workers.values()
            )
            owner = name_of(state.owner)
            print(
                f'{domain:<8}{pool:<8}{owner:<10}'
                f'{len(state.workers):<9}{free / 1000:g}',
            )


if __name__ == '__main__':
    sys.exit(main())
