"""Test how suspected services are tried after crashes of their workers.

Guards against a culprit that crashes more workers than its starts are bounded to,
against giving up what shared them, and against services that wait for long.
"""

import pytest

from lycheerelay._resources import Resources
from lycheerelay.rehearsal import RunPlan, Simulation
from lycheerelay.workflow import (
    NEVER,
    AdvicePolicy,
    CellState,
    JobPhase,
    RunKey,
    RunTable,
    StepKey,
    StepSpec,
    WorkerKey,
    WorkerListing,
    WorkflowSpec,
    apply_run_table,
    encode_progress,
    remove_replaced_worker,
)
from lycheerelay.workflow._state import CrashEvidence
from lycheerelay.workflow._suspects import find_suspects

WORKERS = 8
MAX_STARTS = 5
# A waiting service has to run again after this time without a crash.
CALM_MS = 7000
DAY_MS = 86_400_000
CULPRIT = 'j7'
ADVICE = pytest.mark.parametrize('advice', [None, AdvicePolicy(40, 2, 2000)])


class Services:
    """Services of one core each, one of which may crash its workers."""

    def __init__(
        self,
        count: int,
        crash_after_ms: int,
        advice: AdvicePolicy | None = None,
    ) -> None:
        """Start all of them; 0 lets the culprit crash none."""
        self.simulation = Simulation(CellState(1, 0), self)
        self.simulation.on_tick = self._poll
        self.crash_after_ms = crash_after_ms
        self.crashes_ms: list[int] = []
        self.starts = 0
        for number in range(WORKERS):
            self._add_worker(f'w{number}')
        step = StepSpec(1, Resources(1000, 100), DAY_MS, lasts=True)
        for number in range(count):
            name = f'j{number}'
            self.simulation.submit(
                WorkflowSpec(
                    name,
                    'q',
                    'pool',
                    '',
                    (step,),
                    3,
                    2.0,
                    1000,
                    0,
                    advice=advice,
                )
            )

    def plan(self, run: RunKey, worker_id: str, saved_ms: int) -> RunPlan:
        """Let every run last; schedule the crash of the culprit's worker."""
        started = self.simulation.cell.find_run(worker_id, run)
        assert started is not None
        started.order_sent = True
        if run.task.job_id == CULPRIT and self.crash_after_ms:
            self.starts += 1
            crash_ms = self.simulation.now_ms + self.crash_after_ms
            self.simulation.at(crash_ms, self.crash, worker_id)
        return RunPlan(1, hangs_from_ms=0)

    def may_run(self, step: StepKey, worker_id: str) -> bool:
        """Allow every worker."""
        return True

    def crash(self, worker_id: str) -> None:
        """Replace a worker by another one at its address."""
        simulation = self.simulation
        self.crashes_ms.append(simulation.now_ms)
        simulation.workers.pop(worker_id)
        remove_replaced_worker(
            simulation.cell, WorkerKey(worker_id), simulation.now_ms
        )
        self._add_worker(f'{worker_id}x')

    def host(self) -> str:
        """Return the worker with the most services."""
        workers = self.simulation.workers
        return max(workers, key=lambda name: len(workers[name].runs))

    def waiting(self) -> list[str]:
        """Return the services without a run."""
        running = {
            run.task.job_id
            for worker in self.simulation.workers.values()
            for run in worker.runs
        }
        jobs = self.simulation.cell.jobs.values()
        return [
            job.spec.job_id
            for job in jobs
            if not job.is_final and job.spec.job_id not in running
        ]

    def _add_worker(self, name: str) -> None:
        self.simulation.add_worker(
            WorkerListing(
                WorkerKey(name),
                f'{name}:80',
                'pool',
                '',
                'r',
                frozenset(),
                Resources(64_000, 64_000),
                False,
            )
        )

    def _poll(self) -> None:
        for name in list(self.simulation.workers):
            self.simulation._poll(name)


@ADVICE
@pytest.mark.parametrize('crash_after_ms', [10, 1000, 2500])
@pytest.mark.parametrize('count', [14, 48])
def test_the_culprit_alone_is_given_up(
    count: int, crash_after_ms: int, advice: AdvicePolicy | None
) -> None:
    """The others run again once it is found."""
    services = Services(count, crash_after_ms, advice)
    services.simulation.run(60_000, lambda: False)
    jobs = services.simulation.cell.jobs
    failed = [
        name for name, job in jobs.items() if job.phase is JobPhase.FAILED
    ]
    assert failed == [CULPRIT]
    assert services.starts <= MAX_STARTS
    assert services.waiting() == []


@ADVICE
@pytest.mark.parametrize('crash_after_ms', [0, 10, 1000, 2500])
@pytest.mark.parametrize('count', [14, 48])
def test_services_run_again_in_calm(
    count: int, crash_after_ms: int, advice: AdvicePolicy | None
) -> None:
    """None of them waits for longer than this after a crash."""
    services = Services(count, crash_after_ms, advice)
    if not crash_after_ms:
        for at_ms in (10_000, 20_000):
            services.simulation.at(
                at_ms, lambda: services.crash(services.host())
            )
    late: list[tuple[int, list[str]]] = []

    def check() -> bool:
        now_ms = services.simulation.now_ms
        last_ms = max(services.crashes_ms, default=0)
        if now_ms - last_ms >= CALM_MS and services.waiting():
            late.append((now_ms - last_ms, services.waiting()))
        return False

    services.simulation.run(60_000, check)
    assert late == []
    assert services.waiting() == []


def test_a_service_that_has_outlasted_its_crashes_is_cleared() -> None:
    """It is no suspect any more, also for the next owner."""
    services = Services(1, 0)
    services.simulation.at(20, lambda: services.crash('w0'))
    services.simulation.run(1000, lambda: False)
    job = services.simulation.cell.jobs['j0']
    step = job.occurrences[0][0]
    assert step.suspects and b'crashes' in encode_progress(job)
    services.simulation.run(5000, lambda: False)
    assert not step.suspects and not step.tasks[0].crashes
    assert b'crashes' not in encode_progress(job)


def test_a_shared_trial_has_shared_evidence_before_all_starts_are_answered() -> (
    None
):
    """The one that crashes the worker may be the one that has no answer."""
    services = Services(2, 0)
    host = services.simulation.cell.workers[WorkerKey('w0')]
    first, second = host.runs.values()
    for run in (first, second):
        run.order_sent = True
        run.holds_worker = True
        run.trial_until_ms = 3000
    second.answered_ms = NEVER
    assert [suspect.evidence for suspect in find_suspects(host)] == [
        CrashEvidence.SHARED,
        CrashEvidence.UNCLEAR,
    ]


def test_a_service_that_may_have_ended_unlisted_is_not_cleared() -> None:
    """Its worker has more ends than it lists, and does not list the run."""
    services = Services(1, 0)
    services.simulation.at(20, lambda: services.crash('w0'))
    services.simulation.run(1000, lambda: False)
    cell = services.simulation.cell
    task = cell.jobs['j0'].occurrences[0][0].tasks[0]
    key = next(iter(task.runs.values())).worker.key
    table = RunTable(key, 5000, 5001, (), (), has_all_ends=False)
    apply_run_table(cell, table, 5000)
    assert task.runs and task.crashes
