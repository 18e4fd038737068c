"""Tell when the steps of described jobs would run on a described cell."""

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
    WorkerListing,
)
from ._play import Play, RunPlan, RunRecord

# A rehearsal ends after so much virtual time, in ms: one day.
LONGEST_MS: Final = 86_400_000
# Time alone is judged this often, in ms; runs end to the ms all the same.
TICK_MS: Final = 1000
# A task that lasts is played for so long, in ms, after which nothing changes.
LASTING_MS: Final = 5000


class WorkerGroup(NamedTuple):
    """Describe workers that are alike; amounts are for each."""

    name: str
    pool: str
    workers: int = 1
    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    rack: str = ''
    labels: tuple[str, ...] = ()


class CellDocument(NamedTuple):
    """Describe a cell to rehearse on."""

    queues: tuple[QueuePolicy, ...]
    workers: tuple[WorkerGroup, ...]


class StepLine(NamedTuple):
    """Tell when a step ran; times are ms after the submission, or None."""

    job_id: str
    occurrence: int
    step: int
    tasks: int
    begun_ms: int | None
    ended_ms: int | None
    workers: tuple[str, ...]


@final
class AsExpected:
    """Let every run take its expected time."""

    def __init__(self, cell: CellState) -> None:
        """Read the expectations of the cell's jobs."""
        self.cell = cell

    def plan(self, run: RunKey, worker_id: str, saved_ms: int) -> RunPlan:
        """Return a run of the expected time."""
        job = self.cell.jobs[run.task.job_id]
        step = job.spec.steps[run.task.step]
        if step.lasts:
            return RunPlan(LASTING_MS, stands_from_ms=LASTING_MS)
        return RunPlan(max(step.expected_ms - saved_ms, 1), RunOutcome.DONE)

    def may_run(self, step: StepKey, worker_id: str) -> bool:
        """Allow every worker."""
        return True


def read_cell(body: Json) -> Result[CellDocument, FieldError]:
    """Read a cell; the error names the first wrong field."""
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
    """Play the jobs, all handed in at once, and tell when steps ran."""
    policies = {policy.name: policy for policy in cell.queues}
    for document in documents:
        if document.queue not in policies:
            names = ', '.join(sorted(policies))
            expected = f'a queue of the cell: {names}'
            return Err(FieldError('queue', repr(document.queue), expected))
    state = CellState(1, 0)
    play = Play(state, AsExpected(state), TICK_MS)
    for entry in _listings(cell.workers):
        play.add_worker(entry)
    for document in documents:
        play.submit(to_spec(document, policies[document.queue], 0))
    play.run(LONGEST_MS, lambda: _is_over(play))
    return Ok(tuple(_lines(play)))


def _listings(groups: tuple[WorkerGroup, ...]) -> Iterator[WorkerListing]:
    for group in groups:
        for number in range(group.workers):
            yield WorkerListing(
                worker_id=f'{group.name}-{number}',
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


def _is_over(play: Play) -> bool:
    """Tell whether nothing but lasting tasks is left, or nothing can start."""
    return all(
        job.is_final or not _goes_on(play, job)
        for job in play.cell.jobs.values()
    )


def _goes_on(play: Play, job: JobInfo) -> bool:
    if len(job.occurrences) < job.spec.occurrences:
        return True
    worker_runs = (
        run for worker in play.workers.values() for run in worker.runs.values()
    )
    if any(run.plan.stands_from_ms < 0 for run in worker_runs):
        return True
    return any(
        step.advice_sent_ms >= 0
        for steps in job.occurrences.values()
        for step in steps
    )


def _lines(play: Play) -> Iterator[StepLine]:
    records: dict[StepKey, list[RunRecord]] = {}
    for record in play.history:
        task = record.run.task
        key = StepKey(task.job_id, task.occurrence, task.step)
        records.setdefault(key, []).append(record)
    for job in play.cell.jobs.values():
        for steps in job.occurrences.values():
            for step in steps:
                yield _line(step, records.get(step.key, []))


def _line(step: StepInfo, ended: list[RunRecord]) -> StepLine:
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
