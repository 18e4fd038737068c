"""Test which jobs are refused while the capacity is short, and what operators see."""

import heapq
import itertools
import random
from collections import Counter
from typing import Any

import pytest

from lycheerelay._clock import ManualClock
from lycheerelay._resources import Resources
from lycheerelay.serving import _tenant_monitor as monitor_module
from lycheerelay.serving._metrics_registry import MetricsRegistry
from lycheerelay.serving._tenant_admission import (
    MAX_HOLD_MS,
    MAX_ROW_AGE_MS,
    TenantRow,
    encode_rows,
    is_short,
    retry_after_s,
)
from lycheerelay.serving._tenant_gate import TenantGate
from lycheerelay.serving._tenant_monitor import TenantMonitor
from lycheerelay.workflow import CellState, StepSpec, WorkflowSpec
from lycheerelay.workflow.tenants import PoolBacklog, TenantPolicy

POOL = 'cpu'
SURGE = 'surge'
VMS = 43
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


class Bucket:
    """Count the tokens of one tenant, as the owner does when it reads jobs."""

    def __init__(self, rate: float) -> None:
        """Start with one token."""
        self.rate = rate
        self.tokens = 1.0
        self.at_ms = 0

    def tokens_at(self, now_ms: int) -> float:
        """Return the tokens at a time."""
        earned = self.rate * (now_ms - self.at_ms) / 1000
        return min(self.tokens + earned, 5 * self.rate)

    def take(self, now_ms: int) -> bool:
        """Take a token for a job; return whether it was within the rate."""
        self.tokens, self.at_ms = self.tokens_at(now_ms), now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Site:
    """The owner's monitor and the gates of all VMs, with delays between them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Let every tenant have jobs over the rate that wait in a short pool."""
        self.clock = ManualClock(10_000)
        cell = CellState(fence=1, previous_orders_expire_ms=0)
        cell.tenants.configure(
            1, [TenantPolicy(name, rate) for name, rate in RATES.items()]
        )
        self.buckets = {name: Bucket(rate) for name, rate in RATES.items()}
        self.backlog = PoolBacklog(
            POOL, dict.fromkeys(RATES, 9), 5000, 2000, True, 8000
        )
        monkeypatch.setattr(
            monitor_module,
            'over_rate_backlogs',
            lambda *_: {POOL: self.backlog},
        )
        monkeypatch.setattr(
            monitor_module,
            'tokens_left',
            lambda account, now_ms: self.buckets[account.policy.name].tokens_at(
                now_ms
            ),
        )
        for bucket in self.buckets.values():
            bucket.at_ms = 10_000
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
        if not gate.is_doubtful(spec):
            self.accept(spec)
            return

        def decided(answer: dict[str, Any]) -> None:
            delay_s, hold_ms = gate.decide(spec, answer, sent_ms)
            if delay_s:
                self.refused[spec.tenant] += 1
                self.delays_s.append(delay_s)
            else:
                self.at(hold_ms, lambda: self.accept(spec))

        def answered() -> None:
            answer = self.monitor.published(spec.job_id, spec.tenant)
            self.at(HOP_MS, lambda: decided(answer))

        self.at(HOP_MS, answered)

    def accept(self, spec: WorkflowSpec) -> None:
        """Append a job, which the owner reads afterwards."""
        self.accepted[spec.tenant] += 1

        def read() -> None:
            self.buckets[spec.tenant].take(self.clock.now_ms())
            self.cell.jobs[spec.job_id] = None  # type: ignore[assignment]

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
    # The token at the beginning, and those earned until the last decision.
    earned = RATES[SURGE] * (span_ms + warm_ms + HOP_MS + MAX_HOLD_MS) / 1000
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
    assert gate.decide(spec, answer, clock.now_ms()).retry_after_s
    assert gate.decide(spec, {'phase': None, 'waits': {}}, 10_000) == (0, 0)
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
        answer = site.monitor.published(job_id, tenant)
        spec = spec_of(job_id, tenant)
        return gate.decide(spec, answer, site.clock.now_ms()).retry_after_s

    assert not refusal_s('first')
    assert refusal_s('second')
    assert not refusal_s('first')
    # The token of a job that was not stored is free again after a second.
    site.clock.advance(1001)
    assert not refusal_s('second')


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
