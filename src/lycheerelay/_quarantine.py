"""Distinguish faulty workers from faulty jobs by where tasks fail.

A worker on which several jobs fail is quarantined; a job that fails on
several workers on which no other job fails is failed early.
"""

from collections.abc import Iterable, Iterator
from typing import Final

from ._codes import Code
from ._commands import Append
from ._handlers import Commands
from ._jobs import JobState, Kind
from ._records import Ended, Settled
from ._state import JobInfo, Quarantine, ShardState, TaskInfo, WorkerInfo

FAILED_JOBS_TO_QUARANTINE: Final = 3
FAILED_WORKERS_TO_FAIL_JOB: Final = 3
FIRST_PROBE_INTERVAL_MS: Final = 30_000
MAX_PROBE_INTERVAL_MS: Final = 600_000
# At most this share of the listed workers, 1/2, is quarantined.
QUARANTINE_SHARE_DIVISOR: Final = 2


def record_success(state: ShardState, task: TaskInfo) -> None:
    """End the suspicion and quarantine of a worker that completed a task."""
    state.suspects.pop(task.worker, None)
    worker = state.workers.get(task.worker)
    if worker is not None and worker.quarantine is not None:
        worker.quarantine = None
        state.ledger.touched[task.worker] = None


def record_failure(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    record: Ended,
) -> None:
    """Count a failure against its worker and its job.

    Once the worker is found to be at fault, it no longer counts against the
    jobs that failed on it.
    """
    job.failed_on[task.worker] = None
    failing = state.suspects.setdefault(task.worker, {})
    failing[record.job_id] = None
    if len(failing) < FAILED_JOBS_TO_QUARANTINE:
        return
    for job_id in failing:
        failed = state.jobs.get(job_id)
        if failed is not None:
            failed.failed_on.pop(task.worker, None)
    worker = state.workers.get(task.worker)
    if worker is not None:
        _quarantine(state, worker, record.at_ms)


def give_up(state: ShardState, job: JobInfo, now_ms: int) -> Commands:
    """Fail a job early that is itself at fault.

    Records do not say which side is at fault, so a new owner could not repeat
    this decision; the result is recorded instead.
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
    """Return whether a job failed on several workers that fail nothing else."""
    only_this_job = {job.spec.job_id}
    workers = [
        name
        for name in job.failed_on
        if state.suspects.get(name, {}).keys() <= only_this_job
    ]
    return len(workers) >= FAILED_WORKERS_TO_FAIL_JOB


def worker_choices(
    state: ShardState,
    job: JobInfo,
    names: Iterable[str],
) -> Iterator[Iterable[str]]:
    """Yield lists of workers to try, first those that the job never failed on.

    A job that may run only once is never used as a probe.
    """
    quarantined = set()
    if not job.spec.idempotent:
        quarantined = {
            name for name in state.suspects if _is_quarantined(state, name)
        }
    if not quarantined and not job.failed_on:
        yield names
        return
    usable = [name for name in names if name not in quarantined]
    yield [name for name in usable if name not in job.failed_on]
    yield usable


def _is_quarantined(state: ShardState, name: str) -> bool:
    worker = state.workers.get(name)
    return worker is not None and worker.quarantine is not None


def _quarantine(state: ShardState, worker: WorkerInfo, at_ms: int) -> None:
    current = worker.quarantine
    if current is not None:
        current.interval_ms = min(
            2 * current.interval_ms, MAX_PROBE_INTERVAL_MS
        )
        current.probe_ms = at_ms + current.interval_ms
        current.probing = False
        return
    listed = sum(known.listed for known in state.workers.values())
    quarantined = sum(
        known.quarantine is not None for known in state.workers.values()
    )
    if QUARANTINE_SHARE_DIVISOR * (quarantined + 1) > listed:
        # Failures on this many workers point to a common cause, not to faulty
        # workers.
        return
    probe_ms = at_ms + FIRST_PROBE_INTERVAL_MS
    worker.quarantine = Quarantine(probe_ms, FIRST_PROBE_INTERVAL_MS)


def start_probes(state: ShardState, now_ms: int) -> None:
    """Let each quarantined worker whose probe is due take one task."""
    for name in state.suspects:
        worker = state.workers.get(name)
        if worker is not None and worker.quarantine is not None:
            _start_probe(state, worker, worker.quarantine, now_ms)


def _start_probe(
    state: ShardState,
    worker: WorkerInfo,
    quarantine: Quarantine,
    now_ms: int,
) -> None:
    if now_ms < quarantine.probe_ms:
        return
    state.ledger.touched[worker.spec.name] = None
    if quarantine.probing:
        # No job took the probe, so only jobs that may run once wait. They
        # must not starve.
        worker.quarantine = None
        return
    quarantine.probing = True
    quarantine.probe_ms = now_ms + quarantine.interval_ms


def reset_worker_failures(state: ShardState, worker: WorkerInfo) -> None:
    """Discard the failures of a worker's earlier boot."""
    state.suspects.pop(worker.spec.name, None)
    worker.quarantine = None
