"""Select and rank workers for tasks."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Final, NamedTuple, final

from .._resources import Resources
from ._spec import StepKey, WorkerKey
from ._state import CellState, Run, StepInfo, TaskInfo, WorkerInfo

# No runs are started on a worker whose last contact is older than this. It
# covers a poll with the longest wait and a few round trips.
MAX_CONTACT_AGE_MS: Final = 2800
# A filler task starts only where this share of its wanted cores is unused. With
# less it would occupy memory but make little progress.
MIN_FILLER_CORES_SHARE: Final = 0.25
# Remaining validity that a ticket needs when a start is sent, so that it does
# not expire in flight on a slow network.
MIN_TICKET_VALIDITY_MS: Final = 60


class ReservedCapacity(NamedTuple):
    """Capacity of a worker that is reserved for a step from a time on."""

    step: StepKey
    demand: Resources
    from_ms: int


# Reservations by worker.
Reserved = Mapping[WorkerInfo, Sequence[ReservedCapacity]]


def is_usable(worker: WorkerInfo, now_ms: int) -> bool:
    """Return whether any step may start new runs on a worker."""
    return worker.barred_until_ms <= now_ms and is_last_resort(worker, now_ms)


def is_last_resort(worker: WorkerInfo, now_ms: int) -> bool:
    """Return whether a step that no other worker can run may use a worker."""
    return worker.held_until_ms <= now_ms and is_in_service(worker, now_ms)


def is_in_service(worker: WorkerInfo, now_ms: int) -> bool:
    """Return whether a worker takes new runs, if only of some steps."""
    return (
        worker.listed
        and worker.enrolled
        and worker.synced
        and not worker.draining
        and not worker.unresponsive
        and not worker.orphaned_runs
        and not worker.unconfirmed_voids
        and worker.paused_until_ms <= now_ms
        and now_ms - worker.last_contact_ms < MAX_CONTACT_AGE_MS
    )


def meets_requirements(step: StepInfo, worker: WorkerInfo) -> bool:
    """Return whether the worker, if empty, could run a task of the step."""
    spec = step.spec
    if worker.pool != step.job.spec.pool or worker.draining:
        return False
    if spec.label and spec.label not in worker.labels:
        return False
    return spec.demand.fits_in(worker.capacity)


def has_ticket(step: StepInfo, worker: WorkerInfo, now_ms: int) -> bool:
    """Return whether a valid ticket exists or none is needed."""
    if step.job.spec.advice is None:
        return True
    ticket = step.tickets.get(worker.key)
    return (
        ticket is not None and ticket.until_ms > now_ms + MIN_TICKET_VALIDITY_MS
    )


def count_fitting(
    step: StepInfo,
    worker: WorkerInfo,
    reserved: Reserved,
    now_ms: int,
) -> int:
    """Return how many tasks of a step fit on a worker now."""
    spec = step.spec
    if worker.is_over_capacity:
        return 0
    free = worker.free
    for reservation in reserved.get(worker, ()):
        is_backfill = now_ms + spec.expected_ms <= reservation.from_ms
        if reservation.step != step.key and not is_backfill:
            free = free.minus(reservation.demand)
    count = spec.width
    if any(spec.demand):
        count = spec.demand.times_in(free)
    if spec.spread_limit:
        used = step.runs_per_worker.get(worker.key, 0)
        count = min(count, spec.spread_limit - used)
    if spec.fills and count > 0:
        wanted_milli = max(spec.filler_cores_milli, 1)
        unused_milli = worker.free.cores_milli - filler_load_milli(worker)
        count = min(
            count, int(unused_milli / (wanted_milli * MIN_FILLER_CORES_SHARE))
        )
    return max(count, 0)


def filler_load_milli(worker: WorkerInfo) -> int:
    """Return the cores that filler runs want, in thousandths."""
    return sum(
        run.step.spec.filler_cores_milli
        for run in worker.runs.values()
        if run.step.spec.fills
    )


def serving_runs(worker: WorkerInfo) -> Iterator[Run]:
    """Iterate over the runs with a tail latency target."""
    return (run for run in worker.runs.values() if run.step.spec.tail_target_ms)


Score = tuple[float, ...]


def score_worker(
    step: StepInfo, worker: WorkerInfo, task: TaskInfo | None
) -> Score:
    """Return the score of a worker for a task; lower is better."""
    spec = step.spec
    avoided = task is not None and task.avoided_worker == worker.key
    failures = len(worker.failures_in_row) + worker.bar_count
    penalty = failures + AVOIDED_WORKER_PENALTY * avoided
    is_other_rack = bool(spec.rack) and spec.rack != worker.rack
    if spec.fills:
        unused_milli = worker.free.cores_milli - filler_load_milli(worker)
        serving = sum(1 for _ in serving_runs(worker))
        return penalty, is_other_rack, serving, -unused_milli
    remaining = worker.free.minus(spec.demand)
    if spec.tail_target_ms:
        return (
            penalty,
            is_other_rack,
            filler_load_milli(worker),
            remaining.cores_milli,
        )
    if spec.demand.accelerators:
        return (
            penalty,
            is_other_rack,
            remaining.accelerators,
            remaining.cores_milli,
        )
    return penalty, is_other_rack, remaining.cores_milli, remaining.memory_mb


def candidates(
    workers: Iterable[WorkerInfo],
    step: StepInfo,
) -> list[WorkerInfo]:
    """Return the workers that meet the requirements of the step."""
    return [worker for worker in workers if meets_requirements(step, worker)]


def usable_workers(
    cell: CellState,
    step: StepInfo,
    now_ms: int,
) -> list[WorkerInfo]:
    """Return the usable workers that meet the requirements of the step."""
    usable = (
        worker for worker in cell.workers.values() if is_usable(worker, now_ms)
    )
    return candidates(usable, step)


# Added to the penalty of a worker on which the task failed before; the same
# as failures of this many jobs in a row.
AVOIDED_WORKER_PENALTY: Final = 2


@final
class CandidateRanking:
    """Rank the workers on which a task of a step fits."""

    def __init__(
        self,
        step: StepInfo,
        reserved: Reserved,
        wanted: frozenset[WorkerKey],
        now_ms: int,
    ) -> None:
        """Create an empty ranking; `wanted` workers rank last."""
        self.step = step
        self.reserved = reserved
        self.wanted = wanted
        self.now_ms = now_ms
        self.scores: dict[WorkerKey, Score] = {}
        self.workers: dict[WorkerKey, WorkerInfo] = {}

    def update(self, worker: WorkerInfo) -> None:
        """Update the rank of a worker, or remove it if no task fits."""
        key = worker.key
        if count_fitting(self.step, worker, self.reserved, self.now_ms) > 0:
            self.workers[key] = worker
            self.scores[key] = self._score(worker, None)
        else:
            self.workers.pop(key, None)

    def best(self, task: TaskInfo) -> WorkerInfo | None:
        """Return the best worker for a task, or None if there is none."""
        if not self.workers:
            return None
        if task.avoided_worker in self.workers:
            return min(
                self.workers.values(),
                key=lambda worker: self._score(worker, task),
            )
        return self.workers[min(self.workers, key=self.scores.__getitem__)]

    def _score(self, worker: WorkerInfo, task: TaskInfo | None) -> Score:
        is_wanted = worker.key in self.wanted
        return (is_wanted, *score_worker(self.step, worker, task))


# Assumed remaining time of a run that has exceeded its expected time.
OVERDUE_RUN_REMAINING_MS: Final = 200


def expected_end_ms(run: Run, now_ms: int) -> int:
    """Return when a run is expected to end; an overdue one ends soon."""
    end_ms = run.sent_ms + run.step.spec.expected_ms
    return max(end_ms, now_ms + OVERDUE_RUN_REMAINING_MS)
