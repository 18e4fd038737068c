"""Tell workers that fail everything from jobs that fail everywhere."""

from collections.abc import Iterable, Iterator
from typing import Final

from ._codes import Code
from ._commands import Append
from ._handlers import Commands
from ._jobs import JobState, Kind
from ._records import Ended, Settled
from ._state import JobInfo, Quarantine, ShardState, TaskInfo, WorkerInfo

SUSPECT_JOBS: Final = 3
SUSPECT_WORKERS: Final = 3
FIRST_PROBE_MS: Final = 30_000
MAX_PROBE_MS: Final = 600_000
MAX_SHARE_DIVISOR: Final = 2


def note_success(state: ShardState, task: TaskInfo) -> None:
    """Clear a worker that completed a task."""
    state.suspects.pop(task.worker, None)
    worker = state.workers.get(task.worker)
    if worker is not None and worker.quarantine is not None:
        worker.quarantine = None
        state.ledger.touched[task.worker] = None


def note_failure(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    record: Ended,
) -> None:
    """Hold a failure against both its worker and its job."""
    job.failed_on[task.worker] = None
    failing = state.suspects.setdefault(task.worker, {})
    failing[record.job_id] = None
    if len(failing) < SUSPECT_JOBS:
        return
    for job_id in failing:
        blamed = state.jobs.get(job_id)
        if blamed is not None:
            blamed.failed_on.pop(task.worker, None)
    worker = state.workers.get(task.worker)
    if worker is not None:
        _quarantine(state, worker, record.at_ms)


def give_up(state: ShardState, job: JobInfo, now_ms: int) -> Commands:
    """Settle a job early that is itself at fault.

    Blame is no part of the records, so what follows from it is recorded.
    """
    if job.is_final or job.spec.kind is Kind.SERVICE:
        return
    if any(task.may_run for task in job.tasks) or job.cancel_asked:
        return
    if not fails_everywhere(state, job):
        return
    state.waiting.pop(job.spec.job_id, None)
    detail = f'failed on {len(job.failed_on)} workers that fail nothing else'
    yield Append(
        Settled(
            state.pool,
            job.spec.job_id,
            JobState.FAILED.value,
            int(Code.TASK_FAILED),
            detail,
            now_ms,
            state.term,
        ),
    )


def fails_everywhere(state: ShardState, job: JobInfo) -> bool:
    """Tell whether a job failed on several workers that fail nothing else."""
    alone = {job.spec.job_id}
    blaming = [
        name
        for name in job.failed_on
        if state.suspects.get(name, {}).keys() <= alone
    ]
    return len(blaming) >= SUSPECT_WORKERS


def name_choices(
    state: ShardState,
    job: JobInfo,
    names: Iterable[str],
) -> Iterator[Iterable[str]]:
    """Prefer workers that the job has not failed on.

    Work that may run only once is never used as a probe.
    """
    barred = set()
    if not job.spec.idempotent:
        barred = {name for name in state.suspects if _is_barred(state, name)}
    if not barred and not job.failed_on:
        yield names
        return
    usable = [name for name in names if name not in barred]
    yield [name for name in usable if name not in job.failed_on]
    yield usable


def _is_barred(state: ShardState, name: str) -> bool:
    worker = state.workers.get(name)
    return worker is not None and worker.quarantine is not None


def _quarantine(state: ShardState, worker: WorkerInfo, at_ms: int) -> None:
    known = worker.quarantine
    if known is not None:
        known.interval_ms = min(2 * known.interval_ms, MAX_PROBE_MS)
        known.probe_ms = at_ms + known.interval_ms
        known.probing = False
        return
    listed = sum(book.listed for book in state.workers.values())
    barred = sum(book.quarantine is not None for book in state.workers.values())
    if MAX_SHARE_DIVISOR * (barred + 1) > listed:
        # So many at once speak for a common cause, not for bad workers.
        return
    probe_ms = at_ms + FIRST_PROBE_MS
    worker.quarantine = Quarantine(probe_ms, FIRST_PROBE_MS)


def open_probes(state: ShardState, now_ms: int) -> None:
    """Let each quarantined worker take one task when its time comes."""
    for name in state.suspects:
        worker = state.workers.get(name)
        if worker is not None and worker.quarantine is not None:
            _open_probe(state, worker, worker.quarantine, now_ms)


def _open_probe(
    state: ShardState,
    worker: WorkerInfo,
    quarantine: Quarantine,
    now_ms: int,
) -> None:
    if now_ms < quarantine.probe_ms:
        return
    state.ledger.touched[worker.spec.name] = None
    if quarantine.probing:
        # Only work that may not be a probe waits; it must not starve.
        worker.quarantine = None
        return
    quarantine.probing = True
    quarantine.probe_ms = now_ms + quarantine.interval_ms


def clear_worker(state: ShardState, worker: WorkerInfo) -> None:
    """Forget the failures of an earlier boot."""
    state.suspects.pop(worker.spec.name, None)
    worker.quarantine = None
