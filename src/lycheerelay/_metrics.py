"""Export the metrics of one entry VM in the Prometheus text format."""

import resource
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple, final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from ._clock import MS_PER_SECOND
from ._journal import Journal
from ._metrics_core import StartWait
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
RESIDENT_PAGES_FIELD: Final = 1

Labels = dict[str, str]


class Sample(NamedTuple):
    """Hold the value of one metric with its labels."""

    name: str
    labels: Labels
    amount: float


class MetricInfo(NamedTuple):
    """Hold the type and help text of a metric that each scrape sets."""

    kind: Any
    doc: str


METRICS: Final = {
    'accepted_total': MetricInfo(Counter, 'Requests accepted and recorded.'),
    'decisions_total': MetricInfo(Counter, 'Task starts recorded.'),
    'retries_total': MetricInfo(
        Counter,
        'Task starts recorded after the first attempt.',
    ),
    'terms_taken_total': MetricInfo(Counter, 'Terms taken by this node.'),
    'leases_lost_total': MetricInfo(Counter, 'Worker leases that expired.'),
    'refused_total': MetricInfo(Counter, 'Refusals of the core, by code.'),
    'settled_total': MetricInfo(Counter, 'Final results of jobs, by code.'),
    'answers_total': MetricInfo(Counter, 'HTTP responses, by result code.'),
    'log_appends_total': MetricInfo(Counter, 'Appends sent to the log.'),
    'log_down': MetricInfo(Gauge, '1 while no entry VM can reach the log.'),
    'log_outages_total': MetricInfo(Counter, 'Log outages detected.'),
    'records_waiting': MetricInfo(Gauge, 'Records without effect yet.'),
    'records_held': MetricInfo(Gauge, 'Records not stored in the log yet.'),
    'records_kept': MetricInfo(
        Gauge,
        '1 while new records can be stored durably.',
    ),
    'control_messages_total': MetricInfo(Counter, 'Calls, by purpose.'),
    'control_sent_bytes_total': MetricInfo(
        Counter,
        'Bytes sent, by purpose.',
    ),
    'control_received_bytes_total': MetricInfo(
        Counter,
        'Bytes received, by purpose.',
    ),
    'cpu_seconds_total': MetricInfo(Counter, 'CPU time of the process.'),
    'resident_bytes': MetricInfo(Gauge, 'Resident memory of the process.'),
    'waiting_jobs': MetricInfo(Gauge, 'Waiting jobs, by pool.'),
    'jobs': MetricInfo(Gauge, 'Known jobs, by pool.'),
    'term': MetricInfo(Gauge, 'Highest recorded term, by pool.'),
    'owns': MetricInfo(Gauge, '1 if this node owns the pool, by pool.'),
    'workers_ready': MetricInfo(
        Gauge,
        'Workers with a held lease, by pool.',
    ),
    'packed_ratio': MetricInfo(
        Gauge,
        'Allocated share of the ready workers, by pool and resource.',
    ),
    'config_version': MetricInfo(Gauge, 'Configuration version in force.'),
    'ready': MetricInfo(Gauge, '1 while the node accepts jobs.'),
    'members_alive': MetricInfo(
        Gauge,
        'Live entry VMs of the failure domain.',
    ),
    'suspicions_total': MetricInfo(
        Counter,
        'Suspicions of unresponsive entry VMs.',
    ),
    'members_lost_total': MetricInfo(
        Counter,
        'Entry VMs removed as failed.',
    ),
    'claims_total': MetricInfo(Counter, 'Pool claims sent to the log.'),
    'sends_repeated_total': MetricInfo(
        Counter,
        'Commands to workers sent again.',
    ),
    'sends_dropped_total': MetricInfo(
        Counter,
        'Commands to workers dropped for lack of a lease.',
    ),
    'requests_in_flight': MetricInfo(Gauge, 'HTTP requests in progress.'),
}


@final
class Metrics:
    """Export the metrics of one node and its HTTP server."""

    def __init__(self, node: Node) -> None:
        """Create all metrics in a separate registry."""
        self.node = node
        self.server: WebServer | None = None
        self.registry = Registry()
        self.lock = threading.Lock()
        self.collectors = {
            name: info.kind(
                f'{PREFIX}_{name}',
                info.doc,
                registry=self.registry,
            )
            for name, info in METRICS.items()
        }
        self.waits = Histogram(
            f'{PREFIX}_wait_seconds',
            'Time from acceptance to the first start of a task.',
            registry=self.registry,
            buckets=WAIT_BUCKETS_S,
        )

    def routes(self) -> tuple[Route, ...]:
        """Return the metrics route."""
        return (route('GET', '/metrics', self.show),)

    def show(self, request: Request) -> Response:
        """Return all metrics as text."""
        return Response(200, None, text=self.render())

    def render(self) -> str:
        """Update all metrics and return them as text."""
        with self.lock:
            waits, samples = self.node.inspect(self._core_samples)
            for wait in waits:
                labels = {'urgent': str(wait.urgent).lower()}
                self.waits.observe(labels, wait.wait_ms / MS_PER_SECOND)
            for sample in (*samples, *self._process_samples()):
                collector = self.collectors[sample.name]
                collector.set(sample.labels, sample.amount)
            content, _ = render(self.registry, ())
        return content.decode()

    def _core_samples(self) -> tuple[list[StartWait], list[Sample]]:
        counters = self.node.counters
        samples = [
            Sample('accepted_total', {}, counters.accepted),
            Sample('decisions_total', {}, counters.decisions),
            Sample('retries_total', {}, counters.retries),
            Sample('terms_taken_total', {}, counters.terms_taken),
            Sample('leases_lost_total', {}, counters.leases_lost),
            *samples_by_code('refused_total', counters.refused),
            *samples_by_code('settled_total', counters.settled),
        ]
        for pool, state in sorted(self.node.shards.items()):
            samples.extend(pool_samples(pool, state))
        return counters.take_waits(), samples

    def _process_samples(self) -> Iterator[Sample]:
        node = self.node
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu_s = usage.ru_utime + usage.ru_stime
        yield Sample('cpu_seconds_total', {}, round(cpu_s, 3))
        yield Sample('resident_bytes', {}, resident_bytes())
        yield Sample('config_version', {}, node.policy.version)
        yield Sample('ready', {}, int(node.is_ready and not node.draining))
        yield from journal_samples(node.parts.journal)
        yield from domain_samples(node)
        for purpose, traffic in node.caller.traffic.snapshot().items():
            yield from traffic_samples(purpose, traffic)
        if self.server is not None:
            in_flight = self.server.in_flight
            yield Sample('requests_in_flight', {}, in_flight)
            yield from samples_by_code('answers_total', self.server.codes)


def samples_by_code(name: str, counts: dict[int, int]) -> list[Sample]:
    """Return one sample per result code."""
    return [
        Sample(name, {'code': str(code)}, count)
        for code, count in sorted(counts.items())
    ]


def journal_samples(journal: Journal) -> Iterator[Sample]:
    """Return the records in flight to the log and the state of the log."""
    yield Sample('log_appends_total', {}, journal.appends)
    yield Sample('log_down', {}, int(journal.health.is_down))
    yield Sample('log_outages_total', {}, journal.health.outages)
    yield Sample('records_waiting', {}, len(journal.pending))
    yield Sample('records_held', {}, journal.outbox.records)
    yield Sample('records_kept', {}, int(journal.can_keep))


def domain_samples(node: Node) -> Iterator[Sample]:
    """Return the counters of membership, ownership and worker commands."""
    counts = node.members.counted()
    alive = len(node.members.alive_in_domain())
    yield Sample('members_alive', {}, alive)
    yield Sample('suspicions_total', {}, counts.suspicions)
    yield Sample('members_lost_total', {}, counts.deaths)
    yield from traffic_samples('membership', counts.traffic)
    yield Sample('claims_total', {}, node.ownership.claims)
    yield Sample('sends_repeated_total', {}, node.parts.sender.repeated)
    yield Sample('sends_dropped_total', {}, node.parts.sender.dropped)


def traffic_samples(purpose: str, traffic: Traffic) -> Iterator[Sample]:
    """Return the traffic counters of one purpose."""
    labels = {'purpose': purpose}
    yield Sample('control_messages_total', labels, traffic.calls)
    yield Sample('control_sent_bytes_total', labels, traffic.sent_bytes)
    received = traffic.received_bytes
    yield Sample('control_received_bytes_total', labels, received)


def pool_samples(pool: str, state: ShardState) -> Iterator[Sample]:
    """Return the job, ownership and capacity gauges of one pool."""
    labels = {'pool': pool}
    yield Sample('waiting_jobs', labels, len(state.waiting))
    yield Sample('jobs', labels, len(state.jobs))
    yield Sample('term', labels, state.term)
    yield Sample('owns', labels, int(state.is_owner))
    total, free = Resources(), Resources()
    ready = [worker for worker in state.workers.values() if worker.ready]
    for worker in ready:
        total = total.plus(worker.spec.capacity)
        free = free.plus(worker.free)
    yield Sample('workers_ready', labels, len(ready))
    for name, total_amount, free_amount in zip(
        total._fields, total, free, strict=True
    ):
        if total_amount:
            ratio = round(1 - free_amount / total_amount, 4)
            yield Sample('packed_ratio', {**labels, 'resource': name}, ratio)


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    fields = Path('/proc/self/statm').read_text('ascii').split()
    return int(fields[RESIDENT_PAGES_FIELD]) * PAGE_BYTES
