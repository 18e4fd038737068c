"""Show counters and gauges of one entry VM in the Prometheus text format."""

import resource
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple, final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from ._clock import MS_PER_SECOND
from ._journal import Journal
from ._metrics_core import Wait
from ._node import Node
from ._resources import Resources
from ._state import ShardState
from ._traffic import Traffic
from ._web import Request, Response, Route, WebServer, route

PREFIX: Final = 'lycheerelay'
WAIT_BUCKETS_S: Final = (
    0.005,
    0.01,
    0.05,
    0.1,
    0.5,
    1.0,
    5.1,
    30.0,
    120.0,
    600.0,
    3600.0,
)
PAGE_BYTES: Final = resource.getpagesize()
RESIDENT_FIELD: Final = 1

Labels = dict[str, str]


class Sample(NamedTuple):
    """Hold one value of one metric."""

    name: str
    labels: Labels
    amount: float


class Described(NamedTuple):
    """Describe a metric that is set at each scrape."""

    kind: Any
    doc: str


METRICS: Final = {
    'accepted_total': Described(Counter, 'Requests that were kept.'),
    'decisions_total': Described(Counter, 'Recorded starts of tasks.'),
    'retries_total': Described(Counter, 'Recorded starts after the first.'),
    'terms_taken_total': Described(Counter, 'Terms won by this node.'),
    'leases_lost_total': Described(Counter, 'Worker leases that ran out.'),
    'refused_total': Described(Counter, 'Refusals of the core by code.'),
    'settled_total': Described(Counter, 'Final results of jobs by code.'),
    'answers_total': Described(Counter, 'HTTP answers by result code.'),
    'log_appends_total': Described(Counter, 'Appends sent to the log.'),
    'log_down': Described(Gauge, '1 while no entry VM reaches the log.'),
    'log_outages_total': Described(Counter, 'Outages of the log noticed.'),
    'records_waiting': Described(Gauge, 'Records that took no effect yet.'),
    'records_held': Described(Gauge, 'Records that the log still lacks.'),
    'records_kept': Described(Gauge, '1 while new records can be kept.'),
    'control_messages_total': Described(Counter, 'Calls by purpose.'),
    'control_sent_bytes_total': Described(Counter, 'Bytes sent by purpose.'),
    'control_received_bytes_total': Described(
        Counter,
        'Bytes received by purpose.',
    ),
    'cpu_seconds_total': Described(Counter, 'Processor time used.'),
    'resident_bytes': Described(Gauge, 'Resident memory.'),
    'waiting_jobs': Described(Gauge, 'Jobs that wait, by pool.'),
    'jobs': Described(Gauge, 'Jobs that are known, by pool.'),
    'term': Described(Gauge, 'Highest recorded term, by pool.'),
    'owns': Described(Gauge, '1 where this node places, by pool.'),
    'workers_ready': Described(Gauge, 'Workers under a held lease, by pool.'),
    'packed_ratio': Described(
        Gauge,
        'Booked share of the ready workers, by pool and resource.',
    ),
    'config_version': Described(Gauge, 'Configuration version in force.'),
    'ready': Described(Gauge, '1 while the node takes jobs.'),
    'members_alive': Described(Gauge, 'Entry VMs of the domain that live.'),
    'suspicions_total': Described(Counter, 'Silences of entry VMs noticed.'),
    'members_lost_total': Described(Counter, 'Entry VMs taken for dead.'),
    'claims_total': Described(Counter, 'Claims of pools sent to the log.'),
    'sends_repeated_total': Described(Counter, 'Commands sent again.'),
    'sends_dropped_total': Described(Counter, 'Commands without a lease.'),
    'requests_in_flight': Described(Gauge, 'HTTP requests being answered.'),
}


@final
class Metrics:
    """Serve the metrics of one node and its HTTP server."""

    def __init__(self, node: Node) -> None:
        """Describe every metric in a registry of its own."""
        self.node = node
        self.server: WebServer | None = None
        self.registry = Registry()
        self.lock = threading.Lock()
        self.collectors = {
            name: described.kind(
                f'{PREFIX}_{name}',
                described.doc,
                registry=self.registry,
            )
            for name, described in METRICS.items()
        }
        self.waits = Histogram(
            f'{PREFIX}_wait_seconds',
            'Time from acceptance to the first start of a task.',
            registry=self.registry,
            buckets=WAIT_BUCKETS_S,
        )

    def routes(self) -> tuple[Route, ...]:
        """Return the route of this part."""
        return (route('GET', '/metrics', self.show),)

    def show(self, request: Request) -> Response:
        """Show every metric."""
        return Response(200, None, text=self.render())

    def render(self) -> str:
        """Bring every metric up to date and return the text."""
        with self.lock:
            waits, samples = self.node.inspect(self._read_core)
            for wait in waits:
                labels = {'urgent': str(wait.urgent).lower()}
                self.waits.observe(labels, wait.wait_ms / MS_PER_SECOND)
            for sample in (*samples, *self._read_process()):
                collector = self.collectors[sample.name]
                collector.set(sample.labels, sample.amount)
            content, _ = render(self.registry, ())
        return content.decode()

    def _read_core(self) -> tuple[list[Wait], list[Sample]]:
        counters = self.node.counters
        samples = [
            Sample('accepted_total', {}, counters.accepted),
            Sample('decisions_total', {}, counters.decisions),
            Sample('retries_total', {}, counters.retries),
            Sample('terms_taken_total', {}, counters.terms_taken),
            Sample('leases_lost_total', {}, counters.leases_lost),
            *by_code('refused_total', counters.refused),
            *by_code('settled_total', counters.settled),
        ]
        for pool, state in sorted(self.node.shards.items()):
            samples.extend(read_pool(pool, state))
        return counters.take_waits(), samples

    def _read_process(self) -> Iterator[Sample]:
        node = self.node
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu_s = usage.ru_utime + usage.ru_stime
        yield Sample('cpu_seconds_total', {}, round(cpu_s, 3))
        yield Sample('resident_bytes', {}, resident_bytes())
        yield Sample('config_version', {}, node.policy.version)
        yield Sample('ready', {}, int(node.is_ready and not node.draining))
        yield from read_journal(node.parts.journal)
        yield from read_domain(node)
        for purpose, traffic in node.caller.traffic.shown().items():
            yield from read_traffic(purpose, traffic)
        if self.server is not None:
            in_flight = self.server.in_flight
            yield Sample('requests_in_flight', {}, in_flight)
            yield from by_code('answers_total', self.server.codes)


def by_code(name: str, counts: dict[int, int]) -> list[Sample]:
    """Return one sample for each result code."""
    return [
        Sample(name, {'code': str(code)}, count)
        for code, count in sorted(counts.items())
    ]


def read_journal(journal: Journal) -> Iterator[Sample]:
    """Return what is on its way to the log, and whether it is reached."""
    yield Sample('log_appends_total', {}, journal.appends)
    yield Sample('log_down', {}, int(journal.health.is_down))
    yield Sample('log_outages_total', {}, journal.health.outages)
    yield Sample('records_waiting', {}, len(journal.pending))
    yield Sample('records_held', {}, journal.outbox.records)
    yield Sample('records_kept', {}, int(journal.can_keep))


def read_domain(node: Node) -> Iterator[Sample]:
    """Return what coordination among entry VMs and workers counted."""
    counted = node.members.counted()
    alive = len(node.members.alive_in_domain())
    yield Sample('members_alive', {}, alive)
    yield Sample('suspicions_total', {}, counted.suspicions)
    yield Sample('members_lost_total', {}, counted.deaths)
    yield from read_traffic('membership', counted.traffic)
    yield Sample('claims_total', {}, node.ownership.claims)
    yield Sample('sends_repeated_total', {}, node.parts.sender.repeated)
    yield Sample('sends_dropped_total', {}, node.parts.sender.dropped)


def read_traffic(purpose: str, traffic: Traffic) -> Iterator[Sample]:
    """Return the counters of one purpose of calls."""
    labels = {'purpose': purpose}
    yield Sample('control_messages_total', labels, traffic.calls)
    yield Sample('control_sent_bytes_total', labels, traffic.sent_bytes)
    received = traffic.received_bytes
    yield Sample('control_received_bytes_total', labels, received)


def read_pool(pool: str, state: ShardState) -> Iterator[Sample]:
    """Return the gauges of one pool."""
    labels = {'pool': pool}
    yield Sample('waiting_jobs', labels, len(state.waiting))
    yield Sample('jobs', labels, len(state.jobs))
    yield Sample('term', labels, state.term)
    yield Sample('owns', labels, int(state.is_owner))
    held, free = Resources(), Resources()
    ready = [worker for worker in state.workers.values() if worker.ready]
    for worker in ready:
        held = held.plus(worker.spec.capacity)
        free = free.plus(worker.free)
    yield Sample('workers_ready', labels, len(ready))
    for name, capacity, left in zip(held._fields, held, free, strict=True):
        if capacity:
            ratio = round(1 - left / capacity, 4)
            yield Sample('packed_ratio', {**labels, 'resource': name}, ratio)


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    fields = Path('/proc/self/statm').read_text('ascii').split()
    return int(fields[RESIDENT_FIELD]) * PAGE_BYTES
