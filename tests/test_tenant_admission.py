"""Test which jobs are refused while the capacity is short, and what operators see."""

import asyncio
import heapq
import itertools
import json
import math
import random
import threading
from collections import Counter
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any

import pytest

from lycheerelay._clock import ManualClock
from lycheerelay._resources import Resources
from lycheerelay.cli import main
from lycheerelay.platform import decode_job
from lycheerelay.serving import _tenant_monitor as monitor_module
from lycheerelay.serving import dump_process
from lycheerelay.serving._metrics_registry import MetricsRegistry
from lycheerelay.serving._tenant_admission import (
    MAX_ROW_AGE_MS,
    Applicant,
    TenantRow,
    decode_applicant,
    encode_applicant,
    encode_rows,
    is_short,
    retry_after_s,
)
from lycheerelay.serving._tenant_dump import dump_tenants
from lycheerelay.serving._tenant_gate import TenantGate
from lycheerelay.serving._tenant_monitor import TenantMonitor
from lycheerelay.traces import Cause, LineCounts, build_timelines, read_lines
from lycheerelay.workflow import (
    CellState,
    StepSpec,
    WorkerKey,
    WorkerListing,
    WorkflowSpec,
    dispatch,
    list_worker,
    predict_waits,
)
from lycheerelay.workflow import submit as submit_job
from lycheerelay.workflow._tenant_rates import TokenBucket
from lycheerelay.workflow.tenants import (
    HoldCause,
    PoolBacklog,
    TenantLedger,
    TenantPolicy,
    over_rate_backlogs,
    view_tenants,
)
from lycheerelay_standins.platform import CellShape, PlatformCell, Shape, _cell
from platform_days import job, play, step

POOL = 'cpu'
SURGE = 'surge'
VMS = 43
WINDOW_MS = 5000
CALM = tuple(f'calm-{number:02}' for number in range(19))
# Jobs per second; a calm tenant sends exactly its rate.
RATES = {
    SURGE: 15.0,
    **{name: 1.0 + index % 4 for index, name in enumerate(CALM)},
}
SURGE_FACTOR = 8
HOP_MS = 5
APPEND_MS = 30


def spec_of(job_id: str, tenant: str) -> WorkflowSpec:
    """Return a job of one task."""
    only = StepSpec(1, Resources(1000, 100), 1000)
    return WorkflowSpec(
        job_id, 'q', POOL, 'x', (only,), 3, 1.0, 500, 0, tenant=tenant
    )


class Site:
    """The owner's monitor and the gates of all VMs, with delays between them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Let every tenant have jobs over the rate that wait in a short pool."""
        self.clock = ManualClock(10_000)
        cell = CellState(
            fence=1,
            previous_orders_expire_ms=0,
            tenants=TenantLedger(window_ms=WINDOW_MS),
        )
        cell.tenants.configure(
            1, [TenantPolicy(name, rate) for name, rate in RATES.items()]
        )
        for account in cell.tenants.accounts.values():
            account.bucket = TokenBucket(1, 10_000)
        self.backlog = PoolBacklog(
            POOL, dict.fromkeys(RATES, 9), 5000, 2000, True, 8000
        )
        monkeypatch.setattr(
            monitor_module,
            'over_rate_backlogs',
            lambda *_: {POOL: self.backlog},
        )
        context = Context(cell, self.clock)
        self.monitor = TenantMonitor(context)  # type: ignore[arg-type]
        self.gates = [TenantGate(self.clock) for _ in range(VMS)]
        self.cell = cell
        self.events: list[tuple[int, int, Any]] = []
        self.numbers = itertools.count()
        self.accepted: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.delays_s: list[int] = []

    def at(self, delay_ms: int, action: Any) -> None:
        """Run an action later."""
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self.events, (at_ms, next(self.numbers), action))

    def run(self, until_ms: int) -> None:
        """Run the actions in order of time."""
        while self.events and self.events[0][0] <= until_ms:
            at_ms, _, action = heapq.heappop(self.events)
            self.clock.advance(at_ms - self.clock.now_ms())
            action()

    def hello(self, gate: TenantGate) -> None:
        """Let a VM hear of the rows, and again each second."""
        sent_ms = self.clock.now_ms()

        def answered() -> None:
            answer = self.monitor.published()
            self.at(HOP_MS, lambda: gate.receive(answer, sent_ms))

        self.at(HOP_MS, answered)
        self.at(1000, lambda: self.hello(gate))

    def call(self, gate: TenantGate, spec: WorkflowSpec) -> None:
        """Submit a job at a VM."""
        sent_ms = self.clock.now_ms()
        spec = spec._replace(accepted_ms=sent_ms)
        if not gate.is_doubtful(spec):
            self.accept(spec)
            return

        def decided(answer: dict[str, Any]) -> None:
            delay_s = gate.refusal_s(spec, answer, sent_ms)
            if delay_s:
                self.refused[spec.tenant] += 1
                self.delays_s.append(delay_s)
            else:
                self.accept(spec)

        def answered() -> None:
            applicant = decode_applicant(encode_applicant(spec))
            answer = self.monitor.published(applicant)
            self.at(HOP_MS, lambda: decided(answer))

        self.at(HOP_MS, answered)

    def accept(self, spec: WorkflowSpec) -> None:
        """Append a job, which the owner reads afterwards."""
        self.accepted[spec.tenant] += 1

        def read() -> None:
            submit_job(self.cell, spec, 0)

        self.at(APPEND_MS, read)


class Context:
    """The parts of an owner's context that the monitor uses."""

    def __init__(self, cell: CellState, clock: ManualClock) -> None:
        """Start without metrics."""
        self.cell = cell
        self.clock = clock
        self.metrics = MetricsRegistry()

    @property
    def now_ms(self) -> int:
        """Return the time of the clock."""
        return self.clock.now_ms()


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_only_the_surging_tenant_is_refused_over_43_vms(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """A limit per VM would accept 43 times the rate or refuse calm tenants.

    The calm tenants have rows as well, and send exactly at their rates at any VM.
    """
    rng = random.Random(seed)
    site = Site(monkeypatch)
    site.monitor.tick(3, site.clock.now_ms())
    for gate in site.gates:
        site.at(rng.randrange(1000), lambda gate=gate: site.hello(gate))
    warm_ms, span_ms = 1000 + 2 * HOP_MS, 10_000
    for tenant, rate in RATES.items():
        factor = SURGE_FACTOR if tenant == SURGE else 1
        begin_ms = warm_ms if tenant == SURGE else rng.randrange(1000)
        for number in range(int(span_ms / 1000 * rate * factor)):
            spec = spec_of(f'{tenant}-{number}', tenant)
            gate = rng.choice(site.gates)
            at_ms = begin_ms + int(number * 1000 / (rate * factor))
            site.at(at_ms, lambda gate=gate, spec=spec: site.call(gate, spec))
    for tick in range(100):
        site.at(
            tick * 100,
            lambda tick=tick: site.monitor.tick(tick, site.clock.now_ms()),
        )
    site.run(10_000 + warm_ms + span_ms + 1000)
    assert set(site.refused) == {SURGE}
    over_rate = {
        job.spec.tenant for job in site.cell.jobs.values() if job.is_over_rate
    }
    assert over_rate <= {SURGE}
    # The token at the beginning, and those earned until the last call.
    earned = RATES[SURGE] * (span_ms + warm_ms) / 1000
    assert RATES[SURGE] * span_ms / 1000 <= site.accepted[SURGE] <= 1 + earned
    assert len(set(site.delays_s)) >= 4


def test_old_rows_and_an_owner_without_tenants_refuse_nothing() -> None:
    """A VM that lost the owner must not refuse by what held before."""
    clock = ManualClock(10_000)
    gate = TenantGate(clock)
    row = TenantRow(SURGE, POOL, 9, 8000, -1.0, 15.0)
    answer = {'tenants': encode_rows([row], 100)}
    spec = spec_of('a', SURGE)
    gate.receive(answer, clock.now_ms())
    assert gate.is_doubtful(spec)
    assert not gate.is_doubtful(spec_of('a', CALM[0]))
    assert gate.refusal_s(spec, answer, clock.now_ms())
    assert not gate.refusal_s(spec, {'phase': None, 'waits': {}}, 10_000)
    clock.advance(MAX_ROW_AGE_MS - 100)
    assert gate.is_doubtful(spec)
    clock.advance(1)
    assert not gate.is_doubtful(spec)
    gate.receive({'tenants': {'rows': [['x']]}}, clock.now_ms())
    assert not gate.is_doubtful(spec)


def test_concurrent_submissions_do_not_share_a_token(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Calls at several VMs within one append must not all get the last token.

    A repeated call about the same job keeps its token.
    """
    site = Site(monkeypatch)
    site.monitor.tick(3, site.clock.now_ms())
    gate, tenant = site.gates[0], CALM[0]

    def refusal_s(job_id: str) -> int:
        now_ms = site.clock.now_ms()
        answer = site.monitor.published(Applicant(job_id, tenant, now_ms))
        return gate.refusal_s(spec_of(job_id, tenant), answer, now_ms)

    assert not refusal_s('first')
    assert refusal_s('second')
    assert not refusal_s('first')
    # The token of a job that was not stored is free again after a second.
    site.clock.advance(1001)
    assert not refusal_s('second')


def test_jobs_that_ask_out_of_order_are_within_the_rate_all_the_same(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A job within the rate was refused if one accepted later had asked first.

    The calls of VMs at different distances reach the owner in another order.
    """
    site = Site(monkeypatch)
    site.monitor.tick(3, site.clock.now_ms())
    tenant = next(name for name in CALM if RATES[name] == 4)
    begin_ms = site.clock.now_ms()
    site.clock.advance(250)
    specs = [
        spec_of(f'at-{at_ms}', tenant)._replace(accepted_ms=begin_ms + at_ms)
        for at_ms in (250, 0, 250)
    ]
    delays_s = []
    for number, spec in enumerate(specs):
        spec = spec._replace(job_id=f'{number}')
        applicant = decode_applicant(encode_applicant(spec))
        answer = site.monitor.published(applicant)
        delays_s.append(site.gates[0].refusal_s(spec, answer, begin_ms + 250))
    assert delays_s[:2] == [0, 0]
    assert delays_s[2] > 0
    for spec in specs:
        submit_job(site.cell, spec, 0)
    assert not any(job.is_over_rate for job in site.cell.jobs.values())


def test_a_pool_does_not_become_short_and_recover_in_turn() -> None:
    """A wait that swings around one threshold must not change the state."""
    slack_ms = 8000
    states = []
    short = False
    for waited_ms in (3000, 3999, 4000, 3900, 2100, 4000, 1999, 3900, 2000):
        short = is_short(short, waited_ms, slack_ms)
        states.append(short)
    assert states == [False, False, True, True, True, True, False, False, False]
    # Short waits are no shortage, however tight the objective is.
    assert not is_short(False, 999, 0)


def test_waits_told_to_callers_are_spread_over_whole_seconds() -> None:
    """Refused callers must not all return in the same second."""
    row = TenantRow(SURGE, POOL, 9, 8000, 0.0, 15.0)
    counts = Counter(retry_after_s(row, f'{n:016x}', 0) for n in range(400))
    assert set(counts) <= set(range(8, 13))
    assert max(counts.values()) < 400 / 3
    soon = row._replace(served_in_ms=0)
    assert {retry_after_s(soon, f'{n}', 500) for n in range(50)} == {1, 2}


ID = '5c0e7a21d94b36f8'


def _line(at_ms: int, message: str, **fields: object) -> str:
    time = f'2026-01-01T00:00:00.{at_ms:03}Z'
    return json.dumps({'time': time, 'message': message, **fields})


def test_trace_tells_key_quota_and_share_apart() -> None:
    """The time of a job that its tenant holds back must not count as capacity."""
    mine, other = {'tenant': 't', 'pool': POOL}, {'tenant': 'u', 'pool': POOL}
    submit = {'what': 'submit', 'job': ID, 'queue': 'q'}
    texts = (
        _line(10, 'caller_refused', job=ID, what='q', cause='unknown_key'),
        _line(30, 'request', verdict='over_rate', took_ms=5, **submit),
        _line(90, 'request', verdict='ok', took_ms=9, **submit),
        _line(95, 'quota_reached', resource='cores_milli', step='x', **mine),
        _line(100, 'job_opened', job=ID, widths=[1], **mine),
        _line(300, 'share_reached', **mine),
        _line(310, 'quota_available', tenant='u'),
        _line(350, 'quota_available', tenant='t'),
        _line(400, 'share_left', tenant='t', pool='another'),
        _line(450, 'share_left', **mine),
        _line(460, 'quota_reached', resource='memory_mb', step='y', **other),
        _line(500, 'runs_started', step=f'{ID}.0.0', members=[0], numbers=[1]),
        _line(510, 'quota_reached', resource='cores_milli', **mine),
        _line(520, 'job_settled', job=ID, phase='completed'),
    )
    lines = [each.unwrap() for each in read_lines(texts, LineCounts())]
    timelines = build_timelines(lines)
    assert set(timelines) == {ID}
    assert timelines[ID].spent_ms() == {
        Cause.KEY: 20,
        Cause.SHARE: 60 + 100,
        Cause.OWNER: 10,
        Cause.QUOTA: 250,
        Cause.CAPACITY: 50,
        Cause.START_RECORD: 20,
    }


def test_tenants_beyond_the_largest_share_a_label() -> None:
    """Many tenants must not create many series, nor a counter decrease."""
    metrics = MetricsRegistry()
    for number in range(90):
        metrics.count_job('tenant_jobs', f't{number}', verdict='ok')
        metrics.observe_job('tenant_wait', f't{number}', 700)
    assert 'tenant_jobs_total{tenant="other",verdict="ok"} 60' in (
        metrics.render()
    )
    # With each other tenant counted twice, the fifth makes it a larger one.
    for _ in range(5):
        metrics.count_job('tenant_jobs', 'late"r', verdict='ok')
    text = metrics.render()
    assert 'tenant_jobs_total{tenant="late\\"r",verdict="ok"} 1' in text
    assert 'tenant_jobs_total{tenant="other",verdict="ok"} 64' in text
    assert text.count('tenant_jobs_total{') == 31
    assert 'tenant_wait_ms_bucket{tenant="other",le="1000"} 60' in text
    metrics.gauge_tenants('tenant_cores', {f't{n}': n for n in range(40)})
    assert 'tenant_cores{tenant="other"} 45' in metrics.render()
    metrics.gauge_tenants('tenant_cores', {})
    assert 'tenant_cores' not in metrics.render()


def _cell_with_backlog(*jobs: WorkflowSpec) -> CellState:
    """Return a cell with one worker that runs one of the jobs at a time."""
    cell = CellState(
        fence=1,
        previous_orders_expire_ms=0,
        tenants=TenantLedger(window_ms=WINDOW_MS),
    )
    cell.loaded = True
    cell.tenants.configure(
        1, [TenantPolicy(SURGE, 1, Resources(2000)), TenantPolicy(CALM[0])]
    )
    cell.tenants.find(SURGE).bucket = TokenBucket(0, 0)
    listing = WorkerListing(
        WorkerKey('w'),
        'w:80',
        POOL,
        'a',
        'r',
        frozenset(),
        Resources(1000, 4000),
        draining=False,
    )
    list_worker(cell, listing, 0)
    worker = cell.workers[listing.worker]
    worker.enrolled = worker.synced = True
    for number, spec in enumerate(jobs):
        submit_job(cell, spec, number)
    dispatch(cell, 0)
    return cell


def test_only_work_that_lacks_capacity_makes_a_pool_short() -> None:
    """Jobs held by their quota, or that never fit, must not cause refusals."""
    calm = [spec_of(f'calm-{number}', CALM[0]) for number in range(2)]
    surge = [spec_of(f'surge-{number}', SURGE) for number in range(5)]
    cell = _cell_with_backlog(*calm, *surge)
    backlog = over_rate_backlogs(cell, 700)[POOL]
    assert backlog[:5] == (POOL, {SURGE: 5}, 700, 500, True)
    # What runs is 300 ms from its end, and six tasks of a second wait.
    assert backlog.drain_ms == 6300
    # The forecast for other jobs has only what runs and waits within the rate.
    assert [point.wait_ms for point in predict_waits(cell, 0)[POOL]] == [1000]

    worker = cell.workers[WorkerKey('w')]
    worker.free = Resources(1000, 4000)
    assert not over_rate_backlogs(cell, 700)[POOL].lacks_room
    worker.free = Resources()
    cell.tenants.find(SURGE).used = Resources(1500)
    dispatch(cell, 700)
    held = over_rate_backlogs(cell, 700)[POOL]
    assert (held.jobs, held.waited_ms) == ({SURGE: 5}, 0)

    wide = StepSpec(1, Resources(64_000), 1000)
    never = spec_of('never', SURGE)._replace(steps=(wide,))
    cell = _cell_with_backlog(calm[0], never)
    cell.tenants.find(SURGE).policy = TenantPolicy(SURGE)
    assert over_rate_backlogs(cell, 2000)[POOL].waited_ms == 0


def test_an_error_in_the_views_refuses_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A fault in the views must not end the terms of owner after owner."""
    site = Site(monkeypatch)
    site.monitor.tick(3, site.clock.now_ms())
    assert site.monitor.published()['tenants']['rows']

    def fail(*_: object) -> None:
        raise ValueError('a fault')

    monkeypatch.setattr(monitor_module, 'over_rate_backlogs', fail)
    site.monitor.tick(6, site.clock.now_ms())
    assert not site.monitor.published()['tenants']['rows']


def test_views_end_with_the_tenants(monkeypatch: pytest.MonkeyPatch) -> None:
    """Gauges and rows of operators must not show tenants that no longer count."""
    site = Site(monkeypatch)
    site.monitor.tick(30, site.clock.now_ms())
    metrics = site.monitor.context.metrics
    assert site.monitor.views
    assert 'tenant_cores{' in metrics.render()
    site.cell.tenants.configure(2, [], is_enforced=False)
    site.monitor.tick(31, site.clock.now_ms())
    assert not dump_tenants(site.monitor, site.clock.now_ms())
    assert 'tenant_cores{' not in metrics.render()
    assert not site.monitor.published()


def test_without_tenants_no_job_is_over_a_rate() -> None:
    """Jobs that an earlier version gave a tenant must keep their order."""
    ledger = TenantLedger(window_ms=WINDOW_MS)
    ledger.configure(1, [], is_enforced=False)
    account = ledger.find(SURGE)
    assert not any(ledger.is_over_rate(account, 0) for _ in range(20))
    assert ledger.tokens_left(account, 0) == math.inf


def test_a_tenant_that_is_restored_has_no_hold_of_its_removal() -> None:
    """The command failed on a hold whose subject is not a resource."""
    cell = _cell_with_backlog()
    policies = [account.policy for account in cell.tenants.accounts.values()]
    cell.tenants.configure(2, [])
    submit_job(cell, spec_of('a', SURGE), 0)
    dispatch(cell, 100)
    views = {view.name: view for view in view_tenants(cell, 100)}
    assert [hold.cause for hold in views[SURGE].holds] == [HoldCause.REMOVED]
    cell.tenants.configure(3, policies)
    views = {view.name: view for view in view_tenants(cell, 200)}
    assert [hold.cause for hold in views[SURGE].holds] == [HoldCause.CAPACITY]


class _Entry(BaseHTTPRequestHandler):
    """Answer like entry VMs, the second of which is the owner."""

    dumps: dict[str, Any] = {}

    def do_GET(self) -> None:
        """Send the dump of the VM whose address was called."""
        body = json.dumps(self.dumps[self.headers['Host']]).encode()
        self.send_response(200)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Suppress the log output of the server."""


@pytest.fixture
def addresses() -> Iterator[list[str]]:
    """Serve on two free ports and return the addresses."""
    servers = [HTTPServer(('127.0.0.1', 0), _Entry) for _ in range(2)]
    for server in servers:
        threading.Thread(target=server.serve_forever).start()
    yield [f'127.0.0.1:{server.server_port}' for server in servers]
    for server in servers:
        server.shutdown()
        server.server_close()


def test_a_cell_refuses_a_surge_and_tells_why(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    addresses: list[str],
) -> None:
    """Every VM refuses the surging tenant only, only while the pool is short.

    A VM that cannot reach the owner must refuse nothing.
    The command finds the owner and names the causes for which the tenant waits.
    """
    sender = [SURGE]
    monkeypatch.setattr(
        _cell,
        'decode_job',
        lambda *args: decode_job(*args).map(
            lambda spec: spec._replace(tenant=sender[0])
        ),
    )
    body = job(step(1, cpu=16000, estimatedMs=2000))
    seen: dict[str, Any] = {}

    async def submit(cell: PlatformCell, vm: str, job_id: str = '') -> Any:
        return await cell.submit(vm, body, work_ms=2000, job_id=job_id)

    async def scenario(cell: PlatformCell) -> None:
        owner = cell.entries[cell.owner()].handler.owner
        assert owner is not None
        ledger = owner.cell.tenants
        # Later than the versions of the stand-in, which have no tenants.
        ledger.configure(
            1000,
            [
                # The window of 20 s has one token of the first, four of the second.
                TenantPolicy(SURGE, 0.05, Resources(32_000)),
                TenantPolicy('calm', 0.2),
            ],
        )
        first, _ = await submit(cell, 'vm-0')
        names = [(await submit(cell, 'vm-0'))[0] for _ in range(4)]
        await asyncio.sleep(3)
        for vm in sorted(cell.entries):
            _, outcome = await submit(cell, vm)
            # The owner knows; another VM without rows accepts and asks for them.
            if vm == cell.owner():
                assert outcome.status.value == 'over_rate'
        await asyncio.sleep(1.2)
        for vm in sorted(cell.entries):
            _, outcome = await submit(cell, vm)
            assert outcome.status.value == 'over_rate'
            assert outcome.retry_after_s >= 2
            _, again = await submit(cell, vm, names[0])
            assert again.status.value == 'ok'
            sender[0] = 'calm'
            _, calm = await submit(cell, vm)
            assert calm.status.value == 'ok'
            sender[0] = SURGE
        apart = next(vm for vm in sorted(cell.entries) if vm != cell.owner())
        cell.net.cuts.add((apart, cell.owner()))
        _, outcome = await submit(cell, apart)
        assert outcome.status.value == 'ok'
        cell.net.cuts.clear()
        await asyncio.sleep(1.1)
        entry = cell.entries[cell.owner()]
        seen['owner'] = dump_process(entry.handler, entry.config, entry.elector)
        seen['metrics'] = entry.metrics.render()
        await asyncio.sleep(25)
        for vm in sorted(cell.entries):
            _, outcome = await submit(cell, vm)
            assert outcome.status.value == 'ok'
        assert await cell.settle([first], 1) == {first: 'completed'}

    shape = CellShape(workers=(Shape('cpu'),), quota_window_ms=20_000)
    play(scenario, shape)
    metrics = seen['metrics']
    assert 'tenant_jobs_total{tenant="surge",verdict="over_rate"} 2' in metrics
    assert 'tenant_wait_ms_count{tenant="surge"}' in metrics
    assert 'tenant_dominant_share{tenant="surge"} 1.0' in metrics
    assert 'tenant_cores{tenant="calm"} 0.0' in metrics

    other = {'cell': None, 'owner': f'{addresses[1]}#7', 'tenants': []}
    _Entry.dumps = {addresses[0]: other, addresses[1]: seen['owner']}
    entry_option = ['--entry', addresses[0]]
    assert main(['tenants', *entry_option]) == 0
    table = capsys.readouterr().out.splitlines()
    assert table[0].split()[:4] == ['TENANT', 'WEIGHT', 'RATE/S', 'CORES']
    surge_row = next(line for line in table if line.startswith(SURGE))
    assert surge_row.split()[1:7] == [
        '0.05',
        '0.05',
        '16',
        '32',
        '1.000',
        '0.200',
    ]
    assert surge_row.endswith('rate share')
    assert main(['tenants', SURGE, *entry_option]) == 0
    told = capsys.readouterr().out
    assert 'share: ' in told
    assert (
        'new jobs over 0.05 a second are refused with 429 in pool cpu' in told
    )
    assert main(['tenants', 'calm', *entry_option]) == 0
    assert 'capacity: 3 jobs wait since ' in capsys.readouterr().out
    assert main(['tenants', 'nobody', *entry_option]) == 3
    assert 'tenant nobody: not known' in capsys.readouterr().err
    _Entry.dumps[addresses[1]] = other
    assert main(['tenants', *entry_option]) != 0
    assert 'is no longer the owner' in capsys.readouterr().err
