"""Predict when the steps of job documents would run on a described cell."""

from collections.abc import Iterator
from typing import Final, NamedTuple, final

from result import Err, Ok, Result

from .._codec import FieldError, Json, from_json
from .._job_document import JobDocument, to_spec
from .._resources import Resources
from ..workflow import (
    CellState,
    JobInfo,
    QueuePolicy,
    RunKey,
    RunOutcome,
    StepInfo,
    StepKey,
    WorkerKey,
    WorkerListing,
)
from ._simulation import RunPlan, RunRecord, Simulation

# Limit on the virtual time of a rehearsal: one day.
MAX_VIRTUAL_TIME_MS: Final = 86_400_000
# Interval of the periodic checks. Ends of runs are exact to the ms regardless.
TICK_MS: Final = 1000
# Simulated time of a service task, whose state does not change after that.
SERVICE_RUN_MS: Final = 5000


class WorkerGroup(NamedTuple):
    """Group of identical workers; amounts are for each worker."""

    name: str
    pool: str
    workers: int = 1
    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    rack: str = ''
    labels: tuple[str, ...] = ()


class CellDocument(NamedTuple):
    """Queues and workers of a cell to rehearse on."""

    queues: tuple[QueuePolicy, ...]
    workers: tuple[WorkerGroup, ...]


class StepLine(NamedTuple):
    """Start and end of one step, in ms after the submission, or None."""

    job_id: str
    occurrence: int
    step: int
    tasks: int
    begun_ms: int | None
    ended_ms: int | None
    workers: tuple[str, ...]


@final
class ExpectedDurations:
    """Let every run take its expected duration."""

    def __init__(self, cell: CellState) -> None:
        """Take the expected durations from the jobs of the cell."""
        self.cell = cell

    def plan(self, run: RunKey, worker_id: str, saved_ms: int) -> RunPlan:
        """Return a plan with the expected duration."""
        job = self.cell.jobs[run.task.job_id]
        step = job.spec.steps[run.task.step]
        if step.lasts:
            return RunPlan(SERVICE_RUN_MS, hangs_from_ms=SERVICE_RUN_MS)
        return RunPlan(max(step.expected_ms - saved_ms, 1), RunOutcome.DONE)

    def may_run(self, step: StepKey, worker_id: str) -> bool:
        """Allow every worker."""
        return True


def read_cell(body: Json) -> Result[CellDocument, FieldError]:
    """Decode a cell document; an error names the first invalid field."""
    read: Result[CellDocument, FieldError] = from_json(CellDocument, body)
    if isinstance(read, Err):
        return read
    for number, group in enumerate(read.ok_value.workers):
        if group.workers < 1:
            wrong = FieldError('workers', str(group.workers), 'at least 1')
            return Err(wrong.within(f'workers[{number}]'))
    return read


def rehearse(
    cell: CellDocument,
    documents: list[JobDocument],
) -> Result[tuple[StepLine, ...], FieldError]:
    """Simulate jobs submitted at the same time and return their steps."""
    policies = {policy.name: policy for policy in cell.queues}
    for document in documents:
        if document.queue not in policies:
            names = ', '.join(sorted(policies))
            expected = f'a queue of the cell: {names}'
            return Err(FieldError('queue', repr(document.queue), expected))
    state = CellState(1, 0)
    simulation = Simulation(state, ExpectedDurations(state), TICK_MS)
    for listing in _worker_listings(cell.workers):
        simulation.add_worker(listing)
    for document in documents:
        simulation.submit(to_spec(document, policies[document.queue], 0))
    simulation.run(MAX_VIRTUAL_TIME_MS, lambda: _is_over(simulation))
    return Ok(tuple(_step_lines(simulation)))


def _worker_listings(
    groups: tuple[WorkerGroup, ...],
) -> Iterator[WorkerListing]:
    for group in groups:
        for number in range(group.workers):
            yield WorkerListing(
                worker=WorkerKey(f'{group.name}-{number}'),
                address='',
                pool=group.pool,
                domain='',
                rack=group.rack,
                labels=frozenset((*group.labels, group.rack)),
                capacity=Resources(
                    group.cores_milli,
                    group.memory_mb,
                    group.accelerators,
                ),
                draining=False,
            )


def _is_over(simulation: Simulation) -> bool:
    """Return whether only service tasks remain or nothing more can start."""
    return all(
        job.is_final or not _can_progress(simulation, job)
        for job in simulation.cell.jobs.values()
    )


def _can_progress(simulation: Simulation, job: JobInfo) -> bool:
    if len(job.occurrences) < job.spec.occurrences:
        return True
    worker_runs = (
        run
        for worker in simulation.workers.values()
        for run in worker.runs.values()
    )
    if any(run.plan.hangs_from_ms < 0 for run in worker_runs):
        return True
    return any(
        bool(step.pending_calls)
        for steps in job.occurrences.values()
        for step in steps
    )


def _step_lines(simulation: Simulation) -> Iterator[StepLine]:
    records: dict[StepKey, list[RunRecord]] = {}
    for record in simulation.history:
        task = record.run.task
        key = StepKey(task.job_id, task.occurrence, task.step)
        records.setdefault(key, []).append(record)
    for job in simulation.cell.jobs.values():
        for steps in job.occurrences.values():
            for step in steps:
                yield _step_line(step, records.get(step.key, []))


def _step_line(step: StepInfo, ended: list[RunRecord]) -> StepLine:
    running = [run for task in step.tasks for run in task.runs.values()]
    begun = [
        *(record.begun_ms for record in ended),
        *(run.sent_ms for run in running),
    ]
    names = {record.worker_id for record in ended}
    names.update(run.worker.worker_id for run in running)
    last_ms = max((record.ended_ms for record in ended), default=None)
    return StepLine(
        job_id=step.key.job_id,
        occurrence=step.key.occurrence,
        step=step.key.step,
        tasks=len(step.tasks),
        begun_ms=min(begun, default=None),
        ended_ms=last_ms if step.is_done else None,
        workers=tuple(sorted(names)),
    )
