"""Replay a surge of one tenant, and check the shares, rates and orders."""

import random
from bisect import bisect_right
from collections.abc import Iterator
from functools import cache, partial

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheerelay._resources import Resources
from lycheerelay.rehearsal import RunPlan, Simulation
from lycheerelay.workflow import (
    CellState,
    JobInfo,
    Policies,
    RunKey,
    StepInfo,
    StepKey,
    StepSpec,
    WorkerKey,
    WorkerListing,
    WorkflowSpec,
    dispatch,
    objective_ms,
    submit,
)
from lycheerelay.workflow._tenant_shares import tenant_usages
from lycheerelay.workflow.policies import ORDERS
from lycheerelay.workflow.tenants import TenantLedger, TenantPolicy

POOL = 'pool'
WORKERS = 16
CAPACITY = Resources(16_000, 64_000)
TENANTS = 20
SURGING = 't1'
SURGE = (4000, 10_000, 6)
LENGTH_MS = 14_000
JOBS_PER_S = 26
WINDOW_MS = 5000
# The bound of the design page for a change of service.
MAX_CHANGE = 0.03
# Share of the jobs, largest width, cores and time of a task, objective, gang.
KINDS = (
    (0.85, 8, 2500, 600, 250, False),
    (0.08, 6, 2000, 3000, 3000, False),
    (0.07, 8, 4000, 1000, 1000, True),
)


class Model:
    """Run every task for its expected time on any worker."""

    def __init__(self, cell: CellState) -> None:
        """Read the expected times from the jobs of a cell."""
        self.cell = cell

    def plan(self, run: RunKey, worker_id: str, saved_ms: int) -> RunPlan:
        """Return a run that takes the expected time."""
        steps = self.cell.jobs[run.task.job_id].spec.steps
        return RunPlan(steps[run.task.step].expected_ms)

    def may_run(self, step: StepKey, worker_id: str) -> bool:
        """Allow any worker."""
        return True


def usual_rates() -> dict[str, float]:
    """Return the jobs per second of each tenant."""
    sizes = {f't{number}': number**-0.7 for number in range(1, TENANTS + 1)}
    total = sum(sizes.values())
    return {name: JOBS_PER_S * size / total for name, size in sizes.items()}


def ledger_of(weights: dict[str, float]) -> TenantLedger:
    """Return the accounts of some tenants."""
    ledger = TenantLedger(window_ms=WINDOW_MS)
    policies = [TenantPolicy(name, each) for name, each in weights.items()]
    ledger.configure(1, policies)
    return ledger


def simulation_of(
    ledger: TenantLedger, policies: Policies, workers: int = WORKERS
) -> Simulation:
    """Return a simulated cell of empty workers."""
    cell = CellState(1, 0, tenants=ledger, policies=policies)
    simulation = Simulation(cell, Model(cell))
    for number in range(workers):
        key = WorkerKey(f'w{number}')
        no_labels: frozenset[str] = frozenset()
        listing = WorkerListing(
            key, 'a', POOL, '', '', no_labels, CAPACITY, False
        )
        simulation.add_worker(listing)
    return simulation


def job_of(
    name: str,
    tenant: str,
    accepted_ms: int,
    width: int = 1,
    cores_milli: int = 1000,
    expected_ms: int = 1000,
    objective: int = 250,
    gang: bool = False,
) -> WorkflowSpec:
    """Return a job of one step."""
    demand = Resources(cores_milli, 1000)
    step = StepSpec(width, demand, expected_ms, gang=gang)
    return WorkflowSpec(
        name,
        'queue',
        POOL,
        '',
        (step,),
        3,
        2.0,
        objective,
        accepted_ms,
        tenant=tenant,
    )


def jobs_of(
    source: str, tenant: str, per_s: float, begin_ms: int, end_ms: int
) -> Iterator[WorkflowSpec]:
    """Yield the jobs of a tenant; equal sources draw equal jobs."""
    rng = random.Random(source)
    time_ms: float = begin_ms
    while (time_ms := time_ms + rng.expovariate(per_s) * 1000) < end_ms:
        kind = rng.choices(KINDS, [each[0] for each in KINDS])[0]
        _, width, cores_milli, expected_ms, objective, gang = kind
        yield job_of(
            f'{source}-{time_ms:.6f}',
            tenant,
            int(time_ms),
            rng.randint(1, width),
            int(cores_milli * rng.uniform(0.6, 1.4)),
            int(expected_ms * rng.uniform(0.6, 1.4)),
            objective,
            gang,
        )


@cache
def replay_others(
    seed: int, order: str, surge: bool
) -> tuple[float, list[int]]:
    """Return the share in time and the sorted waits of the other tenants."""
    rates = usual_rates()
    weights = {name: 1.25 * rate for name, rate in rates.items()}
    simulation = simulation_of(ledger_of(weights), Policies(tenant_order=order))
    jobs = [
        job
        for name, rate in rates.items()
        for job in jobs_of(f'{seed}-{name}', name, rate, 0, LENGTH_MS)
    ]
    if surge:
        begin_ms, end_ms, factor = SURGE
        rate = rates[SURGING] * (factor - 1)
        jobs += jobs_of(f'{seed}-surge', SURGING, rate, begin_ms, end_ms)
    for job in jobs:
        simulation.at(job.accepted_ms, simulation.submit, job)
    simulation.run(60_000, partial(_is_over, simulation))
    others = _jobs_of_others(simulation)
    in_time = sum(
        0 <= job.finalized_ms - job.spec.accepted_ms <= objective_ms(job.spec)
        for job in others
    )
    waits = sorted(
        simulation.first_start_ms[job.spec.job_id] - job.spec.accepted_ms
        for job in others
    )
    return in_time / len(others), waits


def _jobs_of_others(simulation: Simulation) -> list[JobInfo]:
    jobs = simulation.cell.jobs.values()
    return [job for job in jobs if job.spec.tenant != SURGING]


def _is_over(simulation: Simulation) -> bool:
    return simulation.now_ms > LENGTH_MS and all(
        job.is_final for job in _jobs_of_others(simulation)
    )


def largest_difference(before: list[int], after: list[int]) -> float:
    """Return by how much the shares that start within any time differ."""
    return max(
        bisect_right(before, wait_ms) / len(before)
        - bisect_right(after, wait_ms) / len(after)
        for wait_ms in {*before, *after}
    )


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_a_surge_leaves_the_service_of_others_as_it_was(seed: int) -> None:
    """A tenant with six times its usual jobs makes those of others late."""
    before, _ = replay_others(seed, 'fair', surge=False)
    after, _ = replay_others(seed, 'fair', surge=True)
    assert before - after <= MAX_CHANGE


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_a_surge_leaves_the_waits_of_others_as_they_were(seed: int) -> None:
    """A tenant with six times its usual jobs makes those of others wait.

    The share of their jobs that starts within any time may fall by 0.03.
    """
    _, before = replay_others(seed, 'fair', surge=False)
    _, after = replay_others(seed, 'fair', surge=True)
    assert largest_difference(before, after) <= MAX_CHANGE


def waiting_steps(cell: CellState) -> list[StepInfo]:
    """Return the steps that the owner orders."""
    return [step for step in cell.open_steps.values() if step.waiting]


def starts_of(policies: Policies, tenant: str) -> list[object]:
    """Return the runs of a short load in their order."""
    simulation = simulation_of(TenantLedger(), policies, workers=2)
    for job in jobs_of('source', tenant, 30, 0, 2000):
        simulation.at(job.accepted_ms, simulation.submit, job)
    simulation.run(4000, lambda: False)
    return list(simulation.history)


def test_the_order_without_tenants_is_unchanged() -> None:
    """The order of tenants applies to a cell that has none."""
    runs = starts_of(Policies(tenant_order='arrival'), tenant='')
    assert runs == starts_of(Policies(tenant_order='fair'), tenant='')
    assert runs != starts_of(Policies(order='arrival'), tenant='')


weight_lists = st.lists(st.floats(0.1, 50), min_size=2, max_size=8)


@given(weight_lists, st.integers(1, 40), st.randoms())
@settings(max_examples=60, deadline=None)
def test_a_tenant_with_a_share_left_is_served(
    weights: list[float], flood: int, rng: random.Random
) -> None:
    """A tenant that runs nothing starves behind the backlog of another."""
    names = [f't{number}' for number in range(len(weights))]
    ledger = ledger_of(dict(zip(names, weights, strict=True)))
    simulation = simulation_of(ledger, Policies(tenant_order='shares'), 1)
    cell = simulation.cell
    for number in range(flood):
        job = job_of(f'{number}', 't0', 0, width=16)
        submit(cell, job, number)
    others = names[1:]
    rng.shuffle(others)
    for name in others:
        submit(cell, job_of(name, name, 50), len(cell.jobs))
    usages = tenant_usages(list(ledger.accounts.values()), POOL, CAPACITY)
    assert sum(each.share for each in usages.values()) == pytest.approx(1)
    for account, usage in usages.items():
        part = account.policy.weight / sum(weights)
        assert usage.share == pytest.approx(part)
    ordered = ORDERS['shares'](cell, waiting_steps(cell), 100)
    served = [step.job.spec.tenant for step in ordered[: len(names)]]
    assert set(served) == set(names)
    dispatch(cell, 100)
    running = [account.used.cores_milli for account in ledger.accounts.values()]
    assert sum(running) == CAPACITY.cores_milli


def test_a_tenant_over_its_rate_keeps_to_its_share() -> None:
    """A surging tenant takes the pool with the jobs within its rate."""
    ledger = ledger_of({'a': 1, 'b': 1})
    cell = simulation_of(ledger, Policies(), workers=1).cell
    for number in range(6):
        submit(cell, job_of(f'a{number}', 'a', number, width=9), number)
    submit(cell, job_of('b', 'b', 50), 9)
    ordered = ORDERS['fair'](cell, waiting_steps(cell), 100)
    names = [step.job.spec.job_id for step in ordered]
    assert names == ['a0', 'b', 'a1', 'a2', 'a3', 'a4', 'a5']
    assert [job.is_over_rate for job in cell.jobs.values()] == [
        *[False] * 5,
        True,
        False,
    ]


def marks_of(accepted_ms: list[int], weight: float) -> list[bool]:
    """Return which jobs of a tenant are over its rate."""
    cell = CellState(1, 0, tenants=ledger_of({'a': weight}))
    for number, time_ms in enumerate(accepted_ms):
        job = job_of(f'{number}', 'a', time_ms)
        submit(cell, job, number)
        submit(cell, job, number + 1)
    return [job.is_over_rate for job in cell.jobs.values()]


@given(
    st.lists(st.integers(0, 20_000), min_size=1, max_size=60),
    st.floats(0.1, 8),
)
@settings(max_examples=100, deadline=None)
def test_rates_bound_the_jobs_of_a_tenant(
    times_ms: list[int], weight: float
) -> None:
    """A repeated id takes a token, or late clocks refill the bucket."""
    marks = marks_of(times_ms, weight)
    assert marks == marks_of(times_ms, weight)
    within = marks.count(False)
    burst = max(weight * WINDOW_MS / 1000, 1)
    span_s = (max(times_ms) - times_ms[0]) / 1000
    assert within <= burst + weight * max(span_s, 0) + 1e-6
    assert within >= min(len(times_ms), int(burst + 1e-9))


def test_jobs_at_the_rate_are_within_it() -> None:
    """A tenant that keeps to its rate is taken for one that surges."""
    assert not any(marks_of(list(range(0, 60_000, 250)), 4))
    assert not any(marks_of([0, 10_000, 20_000], 0.1))
    assert all(marks_of([0, 10_000], 0))
