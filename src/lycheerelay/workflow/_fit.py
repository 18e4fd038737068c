"""Choose workers for tasks."""

from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple, final

from .._resources import Resources
from ._spec import StepKey
from ._state import CellState, Run, StepInfo, TaskInfo, WorkerInfo

# A worker that has not been heard for so long, in ms, gets nothing new: a
# look that waits its longest and a few round trips.
QUIET_MS: Final = 2800
# A task that fills starts where at least this share of what it wants is
# unused; with less it would hold memory and hardly work.
LEAST_FILL_SHARE: Final = 0.25
# A ticket must hold for so long, in ms, when a start leaves: a slow way.
TICKET_MARGIN_MS: Final = 60


class Reserved(NamedTuple):
    """Tell what a worker is kept for, and from when."""

    step: StepKey
    demand: Resources
    from_ms: int


def is_usable(worker: WorkerInfo, now_ms: int) -> bool:
    """Tell whether new runs may be started on a worker."""
    return (
        worker.listed
        and worker.enrolled
        and worker.synced
        and not worker.draining
        and not worker.unresponsive
        and not worker.orphaned_runs
        and worker.barred_until_ms <= now_ms
        and now_ms - worker.last_contact_ms < QUIET_MS
    )


def may_ever_run(step: StepInfo, worker: WorkerInfo) -> bool:
    """Tell whether an empty worker would do for a task of the step."""
    spec = step.spec
    if worker.pool != step.job.spec.pool or worker.draining:
        return False
    if spec.label and spec.label not in worker.labels:
        return False
    return spec.demand.fits_in(worker.capacity)


def has_ticket(step: StepInfo, worker: WorkerInfo, now_ms: int) -> bool:
    """Tell whether a start now would carry a valid ticket."""
    if step.job.spec.advice is None:
        return True
    ticket = step.tickets.get(worker.worker_id)
    return ticket is not None and ticket.until_ms > now_ms + TICKET_MARGIN_MS


def room_for(
    step: StepInfo,
    worker: WorkerInfo,
    reserved: dict[str, Reserved],
    now_ms: int,
) -> int:
    """Return how many tasks of a step a worker can take now."""
    spec = step.spec
    free = worker.free
    kept = reserved.get(worker.worker_id)
    is_kept = kept is not None and kept.step != step.key
    if kept and is_kept and now_ms + spec.expected_ms > kept.from_ms:
        free = free.minus(kept.demand)
    count = spec.width
    if any(spec.demand):
        count = spec.demand.times_in(free)
    if spec.spread_limit:
        used = step.on_worker.get(worker.worker_id, 0)
        count = min(count, spec.spread_limit - used)
    if spec.fills and count > 0:
        wanted = max(spec.filler_cores_milli, 1)
        unused = worker.free.cores_milli - fill_load(worker)
        count = min(count, int(unused / (wanted * LEAST_FILL_SHARE)))
    return max(count, 0)


def fill_load(worker: WorkerInfo) -> int:
    """Return the cores, in thousandths, that filling runs would like."""
    return sum(
        run.step.spec.filler_cores_milli
        for run in worker.runs.values()
        if run.step.spec.fills
    )


def serving_runs(worker: WorkerInfo) -> Iterator[Run]:
    """Iterate over the runs with a target for their response times."""
    return (run for run in worker.runs.values() if run.step.spec.tail_target_ms)


Score = tuple[float, ...]


def score(step: StepInfo, worker: WorkerInfo, task: TaskInfo | None) -> Score:
    """Rank a worker for a task; lower is better."""
    spec = step.spec
    avoided = task is not None and task.avoid == worker.worker_id
    trouble = len(worker.failures_in_row) + AVOIDED * avoided
    far = bool(spec.rack) and spec.rack != worker.rack
    if spec.fills:
        unused = worker.free.cores_milli - fill_load(worker)
        serving = sum(1 for _ in serving_runs(worker))
        return trouble, far, serving, -unused
    left = worker.free.minus(spec.demand)
    if spec.tail_target_ms:
        return trouble, far, fill_load(worker), left.cores_milli
    if spec.demand.accelerators:
        return trouble, far, left.accelerators, left.cores_milli
    return trouble, far, left.cores_milli, left.memory_mb


def candidates(
    workers: Iterable[WorkerInfo],
    step: StepInfo,
) -> list[WorkerInfo]:
    """Return those of some usable workers that may run the step."""
    return [worker for worker in workers if may_ever_run(step, worker)]


def usable_workers(
    cell: CellState,
    step: StepInfo,
    now_ms: int,
) -> list[WorkerInfo]:
    """Return the usable workers of a cell that may run the step."""
    usable = (
        worker for worker in cell.workers.values() if is_usable(worker, now_ms)
    )
    return candidates(usable, step)


# A worker on which the task failed before ranks behind others in this much
# trouble.
AVOIDED: Final = 2


@final
class Options:
    """Hold the workers with room for a task of a step, ranked."""

    def __init__(
        self,
        step: StepInfo,
        reserved: dict[str, Reserved],
        now_ms: int,
    ) -> None:
        """Start without workers."""
        self.step = step
        self.reserved = reserved
        self.now_ms = now_ms
        self.scores: dict[str, Score] = {}
        self.workers: dict[str, WorkerInfo] = {}

    def judge(self, worker: WorkerInfo) -> None:
        """Rank a worker anew, or leave it out once it has no room."""
        worker_id = worker.worker_id
        if room_for(self.step, worker, self.reserved, self.now_ms) > 0:
            self.workers[worker_id] = worker
            self.scores[worker_id] = score(self.step, worker, None)
        else:
            self.workers.pop(worker_id, None)

    def best(self, task: TaskInfo) -> WorkerInfo | None:
        """Return the best worker for a task; None without room."""
        if not self.workers:
            return None
        if task.avoid in self.workers:
            return min(
                self.workers.values(),
                key=lambda worker: score(self.step, worker, task),
            )
        return self.workers[min(self.workers, key=self.scores.__getitem__)]


def free_at(worker: WorkerInfo, demand: Resources, now_ms: int) -> int:
    """Estimate when a worker can take one demand, from its runs' ends."""
    free = worker.free
    if demand.fits_in(free):
        return now_ms
    ends = sorted(
        (_end_of(run, now_ms), index, run)
        for index, run in enumerate(worker.runs.values())
        if not run.step.spec.lasts
    )
    for end_ms, _, run in ends:
        free = free.plus(run.demand)
        if demand.fits_in(free):
            return end_ms
    return now_ms + NO_ROOM_MS


# Stands for room that no known end will give, in ms.
NO_ROOM_MS: Final = 60_000
# A run that is over its expected time is taken to end after this, in ms.
OVERDUE_MS: Final = 200


def _end_of(run: Run, now_ms: int) -> int:
    end_ms = run.sent_ms + run.step.spec.expected_ms
    return max(end_ms, now_ms + OVERDUE_MS)
