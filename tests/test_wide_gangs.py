"""Replay loads of wide gangs on the workflow core in virtual time.

The advisor takes long, allows a third of the workers, and its tickets expire
after 2 s, as on a cell of 176 workers with wide batch jobs.
"""

import random

import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st

from lycheerelay._resources import Resources
from lycheerelay.rehearsal import RunPlan, Simulation
from lycheerelay.workflow import (
    AdvicePolicy,
    AskAdvice,
    CellState,
    JobPhase,
    LogEvent,
    Policies,
    RunKey,
    StepKey,
    StepSpec,
    WorkerKey,
    WorkerListing,
    WorkflowSpec,
    advice_failed,
)
from lycheerelay.workflow.stalls import report_stalled_steps

POOL = 'pool'
CAPACITY = Resources(64_000, 262_144)
ADVICE = AdvicePolicy(442, 6.37, 2000)
SHORT_ADVICE = AdvicePolicy(14, 0.2, 2000)
ADVICE_QUEUES = 30
ALLOWED_SHARE = 0.3


class Model:
    """Allow a share of the workers for each step; runs take their estimate."""

    def __init__(self, seed: int) -> None:
        """Draw from a seed."""
        self.rng = random.Random(seed)
        self.work_ms: dict[str, int] = {}
        self.allowed: dict[tuple[StepKey, str], bool] = {}

    def plan(self, run: RunKey, worker_id: str, saved_ms: int) -> RunPlan:
        """Return a run that takes the work of its job."""
        return RunPlan(self.work_ms[run.task.job_id])

    def may_run(self, step: StepKey, worker_id: str) -> bool:
        """Return whether the worker is allowed; the answer is constant."""
        key = (step, worker_id)
        if key not in self.allowed:
            self.allowed[key] = self.rng.random() < ALLOWED_SHARE
        return self.allowed[key]


def cell_of(workers: int, policies: Policies, seed: int = 1) -> Simulation:
    """Return a simulated cell of empty workers."""
    simulation = Simulation(
        CellState(1, 0, policies=policies),
        Model(seed),
        advice_queues=ADVICE_QUEUES,
    )
    for number in range(workers):
        name = f'w{number}'
        rack = f'r{number // 8}'
        labels = frozenset((rack,))
        simulation.add_worker(
            WorkerListing(
                WorkerKey(name), name, POOL, '', rack, labels, CAPACITY, False
            )
        )
    return simulation


def submit(
    simulation: Simulation,
    name: str,
    step: StepSpec,
    advice: AdvicePolicy = ADVICE,
    stretch: float = 2.2,
) -> None:
    """Submit a job of one step."""
    simulation.model.work_ms[name] = step.expected_ms  # type: ignore[attr-defined]
    simulation.submit(
        WorkflowSpec(
            job_id=name,
            queue='gangs' if step.gang else 'short',
            pool=POOL,
            payload='',
            steps=(step,),
            max_attempts=3,
            stretch=stretch,
            objective_ms=1000,
            accepted_ms=simulation.now_ms,
            advice=advice,
        )
    )


def add_short_jobs(simulation: Simulation, until_ms: int) -> None:
    """Keep about a third of the cell busy with short tasks."""
    workers = len(simulation.workers)
    step = StepSpec(3, Resources(10_000, 20_000), 1000)
    for number in range(until_ms * workers // 1500):
        at_ms = number * 1500 // workers
        simulation.at(
            at_ms, submit, simulation, f's{number}', step, SHORT_ADVICE, 1.5
        )


def gang_waits_ms(policies: Policies) -> list[int]:
    """Return the waits of gangs of 70 tasks, three of which fit on a worker."""
    simulation = cell_of(176, policies)
    add_short_jobs(simulation, 12_000)
    gang = StepSpec(70, Resources(20_000, 67_000), 4000, gang=True)
    names = [f'g{number}' for number in range(4)]
    for number, name in enumerate(names):
        simulation.at(1000 + 2000 * number, submit, simulation, name, gang)
    simulation.run(14_000, lambda: False)
    cell = simulation.cell
    return [
        simulation.first_start_ms.get(name, simulation.now_ms)
        - cell.jobs[name].spec.accepted_ms
        for name in names
    ]


def test_gangs_wider_than_one_call_start_within_their_slack() -> None:
    """Their objective leaves 6 s for the start.

    With calls of one size, one after the other, the tickets of the first
    workers expire before enough of them are known.
    """
    assert max(gang_waits_ms(Policies())) < 6000
    former = Policies(
        gangs='ticketed', call_sizes='usual', advice_targets='emptiest'
    )
    assert max(gang_waits_ms(former)) > 6000


def test_a_gang_gets_its_capacity_while_narrow_steps_keep_coming() -> None:
    """Capacity that becomes free on its workers is kept for the gang.

    Otherwise steps that come later take it piece by piece.
    """
    simulation = cell_of(8, Policies())
    narrow = StepSpec(4, Resources(16_000, 1000), 1500)
    for number in range(200):
        at_ms = number * 200
        simulation.at(
            at_ms, submit, simulation, f'n{number}', narrow, SHORT_ADVICE, 30.0
        )
    gang = StepSpec(4, Resources(60_000, 1000), 3000, gang=True)
    simulation.model.allowed.update(  # type: ignore[attr-defined]
        {(StepKey('g', 0, 0), f'w{number}'): True for number in range(4)}
    )
    simulation.at(5000, submit, simulation, 'g', gang)
    simulation.run(20_000, lambda: 'g' in simulation.first_start_ms)
    assert simulation.first_start_ms['g'] < 5000 + 6000


FREE_MS = 3000


class LossyAdvice:
    """Lose some replies of the advisor."""

    def __init__(self, simulation: Simulation, share: float) -> None:
        """Replace the simulated calls of a cell."""
        self.simulation = simulation
        self.share = share
        self.answer = simulation._ask_advice
        simulation._ask_advice = self.ask  # type: ignore[method-assign]

    def ask(self, command: AskAdvice) -> None:
        """Answer a call, or report it as failed after its usual time."""
        model = self.simulation.model
        if model.rng.random() >= self.share:  # type: ignore[attr-defined]
            self.answer(command)
            return
        self.simulation.at(
            self.simulation.now_ms + command.expected_ms, self._fail, command
        )

    def _fail(self, command: AskAdvice) -> None:
        advice_failed(
            self.simulation.cell,
            command.step,
            command.workers,
            self.simulation.now_ms,
        )


@settings(derandomize=True, deadline=None, max_examples=25)
@given(
    seed=st.integers(0, 1000),
    widths=st.lists(st.integers(1, 30), min_size=1, max_size=8),
    cores=st.lists(st.integers(4000, 30_000), min_size=8, max_size=8),
    loss=st.sampled_from([0.0, 0.3, 0.6]),
    gang=st.booleans(),
)
def test_nothing_waits_long_while_capacity_is_free(
    seed: int, widths: list[int], cores: list[int], loss: float, gang: bool
) -> None:
    """Each step starts while its room is free twice over on its workers."""
    simulation = cell_of(48, Policies(), seed)
    LossyAdvice(simulation, loss)
    for number, width in enumerate(widths):
        demand = Resources(cores[number], 1000)
        key = StepKey(f'j{number}', 0, 0)
        allowed = sum(
            simulation.model.may_run(key, name) for name in simulation.workers
        )
        # A gang that its allowed workers cannot hold when empty never runs.
        assume(width <= allowed * demand.times_in(CAPACITY))
        step = StepSpec(width, demand, 1000, gang=gang)
        simulation.at(number * 700, submit, simulation, f'j{number}', step)
    waited: dict[str, int] = {}

    def watch() -> None:
        for key, step in simulation.cell.open_steps.items():
            room = sum(
                step.spec.demand.times_in(worker.free)
                for worker in simulation.cell.workers.values()
                if simulation.model.may_run(key, worker.worker_id)
            )
            if step.waiting and room >= 2 * step.spec.width:
                since_ms = waited.setdefault(key.job_id, simulation.now_ms)
                # A lost call takes its time without a result.
                calls_ms = 4 * ADVICE.call_ms(48) if loss else 0
                assert simulation.now_ms - since_ms < FREE_MS + calls_ms
            else:
                waited.pop(key.job_id, None)

    simulation.on_tick = watch
    simulation.run(120_000, lambda: _all_final(simulation, len(widths)))
    phases = {job.phase for job in simulation.cell.jobs.values()}
    assert phases == {JobPhase.COMPLETED}


def test_a_backlog_of_gangs_starts_while_half_of_the_cell_is_free() -> None:
    """Gangs that ask at the same time are told about different workers.

    Otherwise the first ones fill the workers that all of them were told
    about, and the others ask again while most of the cell is idle.
    """
    simulation = cell_of(176, Policies())
    step = StepSpec(17, Resources(15_000, 100_000), 4000, gang=True)
    for number in range(60):
        simulation.at(number * 20, submit, simulation, f'j{number}', step)
    waited: dict[str, int] = {}
    longest: list[int] = [0]

    def watch() -> None:
        cell = simulation.cell
        free = sum(worker.free.cores_milli for worker in cell.workers.values())
        is_half_free = 2 * free > 176 * CAPACITY.cores_milli
        for key, waiting in cell.open_steps.items():
            room = sum(
                step.demand.times_in(worker.free)
                for worker in cell.workers.values()
                if simulation.model.may_run(key, worker.worker_id)
            )
            if waiting.waiting and is_half_free and room >= 2 * step.width:
                since_ms = waited.setdefault(key.job_id, simulation.now_ms)
                longest.append(simulation.now_ms - since_ms)
            else:
                waited.pop(key.job_id, None)

    simulation.on_tick = watch
    simulation.run(60_000, lambda: _all_final(simulation, 60))
    assert max(longest) < FREE_MS


@pytest.mark.parametrize(
    ('gangs', 'width', 'workers'), [(12, 10, 150), (16, 8, 160), (20, 6, 176)]
)
def test_gangs_start_one_call_after_their_room_is_free(
    gangs: int, width: int, workers: int
) -> None:
    """Gangs that wait for tickets keep out of one another's plans.

    Otherwise the later ones lose planned workers to the first five, and have to
    ask again.
    """
    free_ms = 4000
    simulation = cell_of(workers, Policies())
    names = list(simulation.workers)
    for number, name in enumerate(names):
        job = f'b{number}'
        key = StepKey(job, 0, 0)
        simulation.model.allowed.update(  # type: ignore[attr-defined]
            {(key, other): other == name for other in names}
        )
        step = StepSpec(1, Resources(64_000, 1000), free_ms)
        simulation.at(0, submit, simulation, job, step, SHORT_ADVICE, 100.0)
    gang = StepSpec(width, Resources(30_000, 120_000), 6000, gang=True)
    for number in range(gangs):
        at_ms = 1000 + 30 * number
        simulation.at(at_ms, submit, simulation, f'g{number}', gang)
    simulation.run(12_000, lambda: False)
    waits_ms = [
        simulation.first_start_ms.get(f'g{number}', 12_000) - free_ms
        for number in range(gangs)
    ]
    # The blocking runs themselves wait for a short call.
    blocked_ms = int(SHORT_ADVICE.call_ms(30))
    assert max(waits_ms) < blocked_ms + ADVICE.call_ms(45) + 100


def _all_final(simulation: Simulation, jobs: int) -> bool:
    known = simulation.cell.jobs.values()
    return len(known) == jobs and all(job.is_final for job in known)


@pytest.mark.parametrize('lost', [0, 1])
def test_a_failed_call_is_repeated(lost: int) -> None:
    """A gang starts although the first replies of the advisor are lost."""
    simulation = cell_of(30, Policies())
    lossy = LossyAdvice(simulation, float(lost))
    step = StepSpec(10, Resources(20_000, 1000), 1000, gang=True)
    simulation.at(0, submit, simulation, 'g', step)
    simulation.run(2000, lambda: False)
    lossy.share = 0
    simulation.run(6000, lambda: False)
    assert simulation.cell.jobs['g'].phase is JobPhase.COMPLETED


def test_a_step_that_waits_with_capacity_free_is_reported_once() -> None:
    """Operators see it before callers do; a full cell is no stall."""
    simulation = cell_of(8, Policies())
    lossy = LossyAdvice(simulation, 1)
    step = StepSpec(4, Resources(20_000, 1000), 1000, gang=True)
    simulation.at(0, submit, simulation, 'g', step)
    cell = simulation.cell
    stalled: list[int] = []
    events: list[LogEvent] = []

    def check() -> None:
        stalled.append(report_stalled_steps(cell, simulation.now_ms))
        events.extend(
            command
            for command in cell.outbox
            if isinstance(command, LogEvent) and command.event == 'step_stalled'
        )

    simulation.on_tick = check
    simulation.run(6000, lambda: False)
    assert stalled[:25] == [0] * 25
    assert stalled[-1] == 1
    assert [dict(event.fields)['valid_tickets'] for event in events] == [0]
    lossy.share = 0
    simulation.run(12_000, lambda: False)
    assert stalled[-1] == 0
