"""Test that what a tenant runs stays within its quota on every path.

The core runs in virtual time; the quota is checked against what the simulated
workers hold, not against the accounts.
"""

import asyncio
import dataclasses
import hashlib
import heapq
import importlib
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from lycheerelay._codes import Code
from lycheerelay._resources import Resources
from lycheerelay.platform._ingress import _outcome_response
from lycheerelay.rehearsal import RunPlan, Simulation
from lycheerelay.serving import RequestStatus
from lycheerelay.serving._workflow_api import _job_reply
from lycheerelay.workflow import (
    AdvicePolicy,
    Answer,
    AskAdvice,
    CellState,
    JobPhase,
    LogEvent,
    Policies,
    RunKey,
    RunOutcome,
    RunTable,
    StartRun,
    StepKey,
    StepSpec,
    WorkerKey,
    WorkerListing,
    WorkflowSpec,
    apply_run_table,
    cancel,
    dispatch,
    encode_progress,
    handle_start_answer,
    list_worker,
    predict_waits,
    restore_progress,
    run_periodic_checks,
    submit,
)
from lycheerelay.workflow.stalls import report_stalled_steps
from lycheerelay.workflow.tenants import TenantPolicy, find_quota_excess
from lycheerelay_standins.platform import CellShape, PlatformCell, Shape
from platform_days import job, play, step

TASK = Resources(1000, 100)
ADVICE = AdvicePolicy(50, 1, 2000)
CORES = 16_000
RUN_MS = 1000


class Model:
    """Run tasks for their expected time, and compare each start with the quota.

    `outcomes` holds plans that differ, by job and run number.
    """

    def __init__(self, cell: CellState) -> None:
        self.cell = cell
        self.simulation = Simulation(cell, self)
        self.outcomes: dict[tuple[str, int], RunPlan] = {}
        self.peaks: dict[str, Resources] = {}
        self.excesses: list[tuple[RunKey, Resources]] = []

    def run_until(self, until_ms: int) -> None:
        """Run events up to a time, unlike `Simulation.run`, which drains them."""
        simulation = self.simulation
        simulation.at(
            simulation.now_ms, simulation._tick, until_ms, lambda: False
        )
        while simulation.events and simulation.events[0].time_ms <= until_ms:
            event = heapq.heappop(simulation.events)
            simulation.now_ms = event.time_ms
            event.action(*event.arguments)

    def held(self, tenant: str) -> Resources:
        """Return what the workers hold for a tenant."""
        total = Resources()
        for worker in self.simulation.workers.values():
            for run in worker.runs:
                spec = self.cell.jobs[run.task.job_id].spec
                if spec.tenant == tenant:
                    demand = spec.steps[run.task.step].charged_demand
                    total = total.plus(demand)
        return total

    def plan(self, run: RunKey, worker_id: str, saved_ms: int) -> RunPlan:
        spec = self.cell.jobs[run.task.job_id].spec
        started = spec.steps[run.task.step]
        used = self.held(spec.tenant).plus(started.charged_demand)
        if spec.tenant:
            quota = self.cell.tenants.accounts[spec.tenant].policy.quota
            if any(
                0 < limit < use for limit, use in zip(quota, used, strict=True)
            ):
                self.excesses.append((run, used))
        peak = self.peaks.get(spec.tenant, Resources())
        self.peaks[spec.tenant] = Resources(*map(max, peak, used))
        if started.lasts:
            return RunPlan(RUN_MS, hangs_from_ms=RUN_MS)
        usual = RunPlan(max(started.expected_ms - saved_ms, 1))
        return self.outcomes.get((run.task.job_id, run.number), usual)

    def may_run(self, step: StepKey, worker_id: str) -> bool:
        return True


def listing(name: str, cores_milli: int = CORES) -> WorkerListing:
    capacity = Resources(cores_milli, 64_000, 4)
    return WorkerListing(
        WorkerKey(name), name, 'p', '', '', frozenset(), capacity, False
    )


def cell_of(
    quota: Resources, workers: int = 4, gangs: str = 'planned'
) -> Model:
    """Return a cell in which `t` has a quota and `u` has none."""
    cell = CellState(1, 0, policies=Policies(gangs=gangs))
    cell.tenants.configure(
        1, [TenantPolicy('t', quota=quota), TenantPolicy('u')]
    )
    model = Model(cell)
    for number in range(workers):
        model.simulation.add_worker(listing(f'w{number}'))
    return model


def spec_of(name: str, *steps: StepSpec, **fields: Any) -> WorkflowSpec:
    base = WorkflowSpec(name, 'q', 'p', '', steps, 3, 2, 5000, 0, tenant='t')
    return base._replace(**fields)


def tasks(width: int, **fields: Any) -> StepSpec:
    return StepSpec(width, fields.pop('demand', TASK), RUN_MS, **fields)


def phases(model: Model) -> set[JobPhase]:
    return {job.phase for job in model.cell.jobs.values()}


def log_names(cell: CellState) -> list[str]:
    return [each.event for each in cell.outbox if isinstance(each, LogEvent)]


FILLER = StepSpec(
    6, Resources(0, 100), RUN_MS, fills=True, filler_cores_milli=1000
)
PATHS = {
    'tasks': (tasks(9),),
    'gangs': (tasks(2, gang=True), tasks(2, gang=True), tasks(1)),
    'filler': (FILLER,),
    'copies': (tasks(2, copies=True), tasks(4, copies=True)),
    'retries': (tasks(3), tasks(3, gang=False)),
    'trials': (tasks(4), tasks(2, gang=True)),
}


@pytest.mark.parametrize('gangs', ['planned', 'ticketed'])
@pytest.mark.parametrize('advice', [None, ADVICE])
@pytest.mark.parametrize('path', PATHS)
def test_each_path_uses_its_quota_and_no_more(
    path: str, advice: AdvicePolicy | None, gangs: str
) -> None:
    """A path without a check exceeds the quota of two tasks; none fails."""
    model = cell_of(Resources(2000), gangs=gangs)
    for number, spec in enumerate(PATHS[path]):
        name = f'j{number}'
        model.simulation.submit(spec_of(name, spec, advice=advice))
        if path == 'copies':
            model.outcomes[name, 1] = RunPlan(4 * RUN_MS)
        if path == 'retries':
            model.outcomes[name, 1] = RunPlan(RUN_MS, RunOutcome.FAILED)
        if path == 'trials':
            waiting = model.cell.jobs[name].occurrences[0][0]
            waiting.suspects.update(dict.fromkeys(range(spec.width)))
    model.simulation.run(60_000, lambda: phases(model) == {JobPhase.COMPLETED})
    assert phases(model) == {JobPhase.COMPLETED}
    assert model.excesses == []
    assert model.peaks['t'].cores_milli == 2000
    account = model.cell.tenants.accounts['t']
    assert account.used == Resources() and not account.runs


def test_a_copy_starts_only_if_the_quota_has_room_for_it() -> None:
    """A quota that blocks copies for good would lose them; none would exceed."""
    for cores, copied in ((1000, False), (2000, True)):
        model = cell_of(Resources(cores))
        model.outcomes['a', 1] = RunPlan(8 * RUN_MS)
        model.simulation.submit(spec_of('a', tasks(1, copies=True)))
        model.run_until(6000)
        assert (model.cell.jobs['a'].phase is JobPhase.COMPLETED) == copied


def test_a_lowered_quota_stops_starts_and_kills_nothing() -> None:
    """Also for a tenant that is gone, until a later version restores it."""
    model = cell_of(Resources(8000))
    cell, simulation = model.cell, model.simulation
    simulation.submit(spec_of('s', tasks(6, lasts=True)))
    simulation.submit(spec_of('a', tasks(30)))
    cell.tenants.configure(2, [TenantPolicy('t', quota=Resources(1000))])
    cell.tenants.configure(1, [TenantPolicy('t', quota=Resources(9000))])
    other = spec_of('m', tasks(1, demand=Resources(0, 100)))
    simulation.submit(other)
    model.run_until(5000)
    assert len(simulation.history) == 2 and not cell.jobs['m'].started
    assert cell.tenants.accounts['t'].used.cores_milli == 6000
    cell.tenants.configure(3, [])
    simulation.submit(spec_of('z', tasks(1, demand=Resources())))
    assert not cell.jobs['z'].started
    held = cell.jobs['a'].occurrences[0][0]
    assert held.held_by_quota == 'tenant' and held.held_by_quota_ms >= 0
    cell.tenants.configure(4, [TenantPolicy('t', quota=Resources(7000))])
    model.run_until(10_000)
    assert model.peaks['t'].cores_milli == 8000
    assert {record.outcome for record in simulation.history} == {
        RunOutcome.DONE
    }
    assert 5 <= len(simulation.history) - 2 <= 8
    cell.tenants.configure(5, [], is_enforced=False)
    model.run_until(12_000)
    assert cell.jobs['a'].phase is JobPhase.COMPLETED


def start_and_take(cell: CellState, now_ms: int) -> list[StartRun]:
    dispatch(cell, now_ms)
    commands, cell.outbox = cell.outbox, []
    return [each for each in commands if isinstance(each, StartRun)]


def poll(cell: CellState, name: str, at_ms: int) -> None:
    """Apply an empty run table."""
    apply_run_table(
        cell, RunTable(WorkerKey(name), at_ms - 1, at_ms, (), ()), at_ms
    )


def test_unanswered_starts_and_stops_count_until_they_are_settled() -> None:
    """Otherwise others start beside runs that may still be there."""
    cell = cell_of(Resources(1000)).cell
    submit(cell, spec_of('a', tasks(1)), 1)
    submit(cell, spec_of('b', tasks(1)), 2)
    (start,) = start_and_take(cell, 0)
    run = cell.workers[start.worker].runs[start.run]
    run.order_sent, run.start_expires_ms = True, 3000
    handle_start_answer(cell, start.worker, start.run, Answer.NONE, 10)
    cancel(cell, 'a', 20)
    for now_ms in (30, 500, 1500):
        run_periodic_checks(cell, now_ms)
        poll(cell, start.worker.worker_id, now_ms)
        assert start_and_take(cell, now_ms) == []
    poll(cell, start.worker.worker_id, 3500)
    assert len(start_and_take(cell, 3500)) == 1


def successor(
    before: CellState,
    names: tuple[str, ...],
    quotas: Sequence[TenantPolicy] = (
        TenantPolicy('t', quota=Resources(4000)),
        TenantPolicy('u'),
    ),
    now_ms: int = 0,
) -> CellState:
    """Return the cell of a new owner, to which no worker has answered."""
    cell = CellState(2, now_ms + 8000)
    cell.tenants.configure(before.tenants.version, quotas)
    for name in names:
        list_worker(cell, listing(name), now_ms)
        cell.workers[WorkerKey(name)].enrolled = True
        cell.unsynced_workers[name] = None
    for job_info in before.jobs.values():
        restored = submit(cell, job_info.spec, job_info.offset)
        restore_progress(cell, restored, encode_progress(job_info))
    cell.loaded = True
    return cell


def test_starts_of_an_earlier_owner_count_until_their_workers_answer() -> None:
    """Those of jobs that run, are cancelled since or already final, and copies."""
    names = ('w0', 'w1')
    before = cell_of(Resources(5000), workers=2).cell
    for number, name in enumerate(('a', 'b', 'c', 'd')):
        submit(before, spec_of(name, tasks(1, copies=name == 'd')), number)
        (start,) = start_and_take(before, 0)
        handle_start_answer(before, start.worker, start.run, Answer.DONE, 0)
    run_periodic_checks(before, 2000)
    submit(before, spec_of('e', tasks(4)), 9)
    cancel(before, 'a', 1)
    cell = successor(before, names)
    cancel(cell, 'b', 1)
    account = cell.tenants.accounts['t']
    assert account.used.cores_milli == 5000
    list_worker(cell, listing('free'), 0)
    for worker in cell.workers.values():
        worker.enrolled = True
    cell.workers[WorkerKey('free')].synced = True
    assert start_and_take(cell, 10) == []
    used = {'w0': 0, 'w1': 0}
    for started in before.workers.values():
        used[started.worker_id] = len(started.runs)
    poll(cell, 'w0', 20)
    assert account.presumed.cores_milli == 1000 * used['w1']
    assert account.used == account.presumed
    run_periodic_checks(cell, 8001)
    assert account.used == Resources()


def test_an_expired_order_of_an_earlier_owner_frees_its_quota() -> None:
    """A worker that never answers must not hold the quota for ever."""
    before = cell_of(Resources(4000), workers=1).cell
    submit(before, spec_of('a', tasks(4)), 0)
    start_and_take(before, 0)
    cell = successor(before, ('w0',))
    list_worker(cell, listing('free'), 0)
    worker = cell.workers[WorkerKey('free')]
    worker.enrolled = worker.synced = True
    submit(cell, spec_of('b', tasks(4)), 1)
    assert start_and_take(cell, 7900) == []
    worker.last_contact_ms = 8001
    run_periodic_checks(cell, 8001)
    assert len(start_and_take(cell, 8001)) == 4


@pytest.mark.parametrize('advice', [None, ADVICE])
def test_small_steps_do_not_starve_a_gang_of_their_tenant(
    advice: AdvicePolicy | None,
) -> None:
    """It starts when the runs before it have ended, not at the stream's end."""
    model = cell_of(Resources(4000), workers=8)
    simulation = model.simulation
    for number in range(160):
        one = tasks(1, gang=number % 2 == 0)
        small = spec_of(f's{number}', one, stretch=30, advice=advice)
        simulation.at(100 * number, lambda each=small: simulation.submit(each))
    gang = spec_of('g', tasks(4, gang=True), accepted_ms=3000, advice=advice)
    simulation.at(3000, lambda: simulation.submit(gang))
    quick = tasks(1)._replace(expected_ms=150)
    early = spec_of('q', quick, accepted_ms=3000, stretch=99, advice=advice)
    simulation.at(3250, lambda: simulation.submit(early))
    model.run_until(45_000)
    assert simulation.first_start_ms['g'] <= 3000 + 2 * RUN_MS
    assert simulation.first_start_ms['q'] < simulation.first_start_ms['g']
    assert model.excesses == []
    assert phases(model) == {JobPhase.COMPLETED}


def test_a_gang_that_cannot_start_holds_nothing_back() -> None:
    """It is above the quota, its value has expired, or services are in the way."""
    gang = tasks(4, gang=True)
    for quota, accepted_ms, is_service in (
        (3000, 0, False),
        (4000, -90_000, False),
        (4000, 0, True),
    ):
        model = cell_of(Resources(quota))
        first = tasks(1, lasts=is_service)
        model.simulation.submit(spec_of('l', first))
        model.simulation.submit(spec_of('g', gang, accepted_ms=accepted_ms))
        longer = tasks(2)._replace(expected_ms=5000)
        later = spec_of('s', longer, accepted_ms=accepted_ms + 10_000)
        model.simulation.submit(later)
        assert model.simulation.first_start_ms.keys() == {'l', 's'}


def test_a_step_waits_for_a_gang_briefly_below_half_of_the_quota() -> None:
    """No step may wait for 3 s while half of the quota and capacity are free."""
    model = cell_of(Resources(10_000))
    simulation = model.simulation
    long = StepSpec(3, TASK, 20_000)
    simulation.submit(spec_of('l', long))
    simulation.submit(spec_of('g', tasks(8, gang=True)))
    late = StepSpec(1, TASK, 30_000)
    simulation.submit(spec_of('s', late, accepted_ms=50_000))
    model.run_until(4000)
    assert 1000 < simulation.first_start_ms['s'] < 3000
    assert 'g' not in simulation.first_start_ms


@pytest.mark.parametrize('gangs', ['planned', 'ticketed'])
def test_held_steps_do_not_hold_up_others(gangs: str) -> None:
    """No reservation, plan, renewal, stall or forecast comes from them."""
    model = cell_of(Resources(1000), gangs=gangs)
    cell, simulation = model.cell, model.simulation
    wide = Resources(1000, 100, 2)
    for number in range(60):
        spec = tasks(3, gang=number % 2 == 0, demand=TASK)
        if number % 3 == 0:
            spec = tasks(3, demand=wide)
        urgent = spec_of(f't{number}', spec, advice=ADVICE, objective_ms=12_500)
        submit(cell, urgent, number)
    dispatch(cell, 0)
    calls = [each for each in cell.outbox if isinstance(each, AskAdvice)]
    assert 0 < len({call.step for call in calls}) <= 10
    model.run_until(5000)
    assert not any(cell.wanted_workers.values())
    assert predict_waits(cell, 5000) == {}
    assert report_stalled_steps(cell, 5000) == 0
    model.run_until(8500)
    assert report_stalled_steps(cell, 8500) == 0
    full = tasks(12, gang=True, demand=Resources(5000))._replace(
        expected_ms=60_000
    )
    after = tasks(1, demand=Resources(5000))
    for name, spec in (('u', full), ('v', after)):
        other = spec_of(name, spec, tenant='u', advice=ADVICE)
        simulation.submit(other._replace(accepted_ms=8500))
    model.run_until(12_500)
    assert 8500 <= simulation.first_start_ms['u'] < 9000
    tickets = cell.jobs['v'].occurrences[0][0].tickets.values()
    assert max(ticket.until_ms for ticket in tickets) > 12_500
    assert model.excesses == []


def test_reservations_of_a_tenant_stay_within_its_quota() -> None:
    """Capacity kept for steps that cannot all start would stay idle."""
    model = cell_of(Resources(0, 0, 3))
    whole = tasks(4, demand=Resources(1000, 100, 4))
    model.simulation.submit(spec_of('u', whole, tenant='u'))
    for name in ('a', 'b'):
        waiting = tasks(1, demand=Resources(1000, 100, 3))
        model.simulation.submit(spec_of(name, waiting))
    assert len(model.cell.wanted_workers['p']) == 1


def test_the_tasks_beyond_a_wave_prepare_nothing() -> None:
    """Their tickets would expire, and capacity kept for them would stay idle."""
    model = cell_of(Resources(0, 0, 3))
    calls: list[AskAdvice] = []
    ask = model.simulation._ask_advice

    def count(command: AskAdvice) -> None:
        calls.append(command)
        ask(command)

    model.simulation._ask_advice = count  # type: ignore[method-assign]
    wide = StepSpec(3, Resources(1000, 100, 3), 60_000)
    model.simulation.submit(spec_of('a', wide, advice=ADVICE))
    model.run_until(10_000)
    assert len(calls) == 1
    assert not any(model.cell.wanted_workers.values())
    assert model.cell.jobs['a'].occurrences[0][0].held_by_quota_ms >= 0


def test_a_forecast_keeps_counting_what_a_quota_lets_run() -> None:
    """Held tasks follow those that end, so their capacity stays in use."""
    model = cell_of(Resources(CORES), workers=1)
    model.simulation.submit(spec_of('a', tasks(48)))
    late = spec_of('b', tasks(1), tenant='u', stretch=9)
    submit(model.cell, late, 9)
    (points,) = predict_waits(model.cell, 0).values()
    assert [point.wait_ms for point in points] == [3 * RUN_MS]


def test_a_tenant_at_its_quota_is_logged_once() -> None:
    """Events per cycle would flood the log of a tenant at its quota."""
    model = cell_of(Resources(1000))
    cell = model.cell
    names: list[str] = []
    submit(cell, spec_of('a', tasks(5)), 1)
    for now_ms in range(0, 2000, 100):
        dispatch(cell, now_ms)
        names += log_names(cell)
        cell.outbox.clear()
    cancel(cell, 'a', 2000)
    for now_ms in range(2000, 4000, 100):
        dispatch(cell, now_ms)
        names += log_names(cell)
        cell.outbox.clear()
    assert names.count('quota_reached') == 1
    assert names.count('quota_available') == 1


TINY_QUOTAS = st.sampled_from([0, 1000, 2000, 5000, 9000, 20_000])
STEPS = st.builds(
    tasks,
    st.integers(1, 8),
    demand=st.sampled_from([0, 500, 1000, 3000]).map(
        lambda cores_milli: Resources(cores_milli, 100)
    ),
    gang=st.booleans(),
    copies=st.booleans(),
    checkpoints=st.booleans(),
    lasts=st.sampled_from([False, False, False, True]),
)
JOBS = st.tuples(
    st.just('job'), STEPS, st.sampled_from('ttu'), st.booleans(), st.integers(0)
)
CHANGES = st.one_of(
    JOBS,
    JOBS,
    st.tuples(st.just('quota'), TINY_QUOTAS),
    st.tuples(st.just('cancel'), st.integers(0, 30)),
    st.tuples(st.just('takeover'), st.integers(0, 3)),
)


def plan_badly(model: Model, name: str, seed: int) -> None:
    """Let the first run of a job fail, take long or hang."""
    plans = (
        RunPlan(RUN_MS, RunOutcome.FAILED),
        RunPlan(5 * RUN_MS),
        RunPlan(RUN_MS, hangs_from_ms=RUN_MS // 2),
    )
    if seed % 4 < len(plans):
        model.outcomes[name, 1] = plans[seed % 4]


def take_over(model: Model, silent: int) -> None:
    """Let a new owner restore the cell; one worker answers after 3 s."""
    simulation, before = model.simulation, model.cell
    now_ms = simulation.now_ms
    quotas = [each.policy for each in before.tenants.accounts.values()]
    cell = successor(before, tuple(simulation.workers), quotas, now_ms)
    model.cell = simulation.cell = cell
    polled = simulation._poll

    def poll(worker_id: str) -> None:
        is_silent = simulation.now_ms < now_ms + 3000
        if worker_id != f'w{silent}' or not is_silent:
            polled(worker_id)

    simulation._poll = poll  # type: ignore[method-assign]


@settings(derandomize=True, deadline=None, max_examples=100)
@example(
    [
        ('job', tasks(1), 't', False, 0),
        ('takeover', 0),
        ('cancel', 0),
        ('takeover', 0),
    ]
)
@example(
    [
        ('job', tasks(1, demand=Resources(0, 100)), 't', False, 0),
        ('job', tasks(1, demand=Resources(3000, 100)), 't', False, 0),
        ('quota', 2000),
        ('job', tasks(1, demand=Resources(0, 100)), 't', False, 0),
    ]
)
@given(st.lists(CHANGES, min_size=4, max_size=30))
def test_no_history_exceeds_the_quota_in_force(
    changes: list[tuple[Any, ...]],
) -> None:
    """Nor does a job fail or wait for ever once the quota allows it."""
    model = cell_of(Resources(5000))
    simulation = model.simulation

    def apply(number: int, change: tuple[Any, ...]) -> None:
        kind, *rest = change
        name = f'j{number}'
        if kind == 'quota':
            limit = Resources(rest[0], 2 * rest[0] // 10)
            policy = TenantPolicy('t', quota=limit)
            quotas = [policy, TenantPolicy('u')]
            model.cell.tenants.configure(number + 2, quotas)
        elif kind == 'cancel':
            simulation.cancel(f'j{rest[0]}')
        elif kind == 'takeover':
            take_over(model, rest[0])
        else:
            chosen, tenant, is_advised, seed = rest
            plan_badly(model, name, seed)
            advice = ADVICE if is_advised else None
            spec = spec_of(name, chosen, tenant=tenant, advice=advice)
            simulation.submit(spec._replace(accepted_ms=simulation.now_ms))

    def check() -> None:
        for name, account in model.cell.tenants.accounts.items():
            assert model.held(name).fits_in(account.used)
        for worker in model.cell.workers.values():
            worker.lease_until_ms = 0

    simulation.on_tick = check
    for number, change in enumerate(changes):
        simulation.at(300 * number, apply, number, change)
    model.run_until(10_000)
    tenants = model.cell.tenants
    tenants.configure(99, [TenantPolicy('t'), TenantPolicy('u')])
    for name, info in model.cell.jobs.items():
        if any(step.lasts for step in info.spec.steps):
            simulation.cancel(name)
    jobs = model.cell.jobs.values()
    simulation.run(90_000, lambda: all(job.is_final for job in jobs))
    model.run_until(simulation.now_ms + 2000)
    assert model.excesses == []
    assert phases(model) <= {JobPhase.COMPLETED, JobPhase.CANCELLED}
    for account in tenants.accounts.values():
        assert account.used == Resources() and not account.runs


def test_what_can_never_fit_is_found() -> None:
    """A wide step runs in waves; a gang and one task must fit at once."""
    quota = Resources(4000, 0, 2)
    assert find_quota_excess(spec_of('a', tasks(900)), quota) is None
    assert find_quota_excess(spec_of('a', tasks(4, gang=True)), quota) is None
    wide = spec_of('a', tasks(1), tasks(5, gang=True))
    excess = find_quota_excess(wide, quota)
    assert excess is not None
    for part in ('step 1', 'cores_milli 5000', '4000'):
        assert part in excess.text
    one = spec_of('a', tasks(1, demand=Resources(1, 1, 3)))
    assert find_quota_excess(one, quota) is not None
    filler = FILLER._replace(filler_cores_milli=4001)
    assert find_quota_excess(spec_of('a', filler), quota) is not None


def test_a_job_above_its_quota_is_refused_unless_accepted_before() -> None:
    """A refusal after the append would leave a job that waits for ever."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(4, gang=True)))
        owner = cell.entries[cell.owner()].handler.owner
        assert owner is not None and await owner.catch_up()
        spec = owner.cell.jobs[name].spec._replace(tenant='t')
        small = TenantPolicy('t', quota=Resources(3999))
        for entry in cell.entries.values():
            assert entry.config.table is not None
            entry.config.table = dataclasses.replace(
                entry.config.table,
                version=9,
                tenants=(small,),
                requires_keys=True,
            )
        await asyncio.sleep(0.5)
        assert owner.cell.tenants.accounts['t'].policy is small
        for entry in cell.entries.values():
            known = await entry.handler.submit(spec, 2000)
            assert known.status is RequestStatus.OK
            fresh = spec._replace(job_id='f' * 16)
            refused = await entry.handler.submit(fresh, 2000)
            assert refused.status is RequestStatus.OVER_QUOTA
            assert 'cores_milli 4000' in refused.content
            response = _outcome_response(refused, '')
            assert response.status == 429 and response.text
            assert refused.content in response.text
            reply = _job_reply('f' * 16, Code.ACCEPTED, refused)
            assert reply.status == 429 and b'"code":309' in reply.raw
        assert 'f' * 16 not in owner.cell.jobs

    play(scenario, CellShape(workers=(Shape('cpu'),) * 2))


BENCHMARKS = str(Path(__file__).parent.parent / 'benchmarks')
# SHA-256 of the run history of each load, recorded before there were tenants.
RECORDED = {
    ('wide-gangs-small', 'planned'): 'f3554a209bacce82',
    ('wide-gangs-small', 'ticketed'): 'dd465ba871502ab9',
    ('poison', 'planned'): '1c928a112490763e',
    ('hung', 'planned'): 'f948920bc2f65e57',
    ('burst-one', 'planned'): 'c64c49eac4997dc1',
}


@pytest.mark.parametrize(('name', 'gangs'), RECORDED)
def test_decisions_without_tenants_are_unchanged(
    name: str, gangs: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A check of quotas that acts without tenants changes a start."""
    monkeypatch.setattr(sys, 'path', [*sys.path, BENCHMARKS])
    replay = importlib.import_module('replay')
    made: list[Simulation] = []
    original: Callable[..., Simulation] = replay.Simulation

    def make(*args: Any, **options: Any) -> Simulation:
        made.append(original(*args, **options))
        return made[-1]

    monkeypatch.setattr(replay, 'Simulation', make)
    load = replay.read_load(name, None)
    load['length_s'] = min(load['length_s'], 40)
    load.setdefault('seed', 1)
    replay.simulate_load(load, Policies(gangs=gangs))
    digest = hashlib.sha256(repr(made[0].history).encode()).hexdigest()
    assert digest[:16] == RECORDED[name, gangs]
