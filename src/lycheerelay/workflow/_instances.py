"""Follow workers that start again under their ids.

Load: workers crash and are back within a second, while orders to them are on
their way. A new instance knows nothing of the one before: its run ends are
numbered anew, its clock is another one, and what ran before is gone. An order to
the instance before may still reach it, as orders name only the id.
"""

from typing import NamedTuple

from .._resources import Resources
from ._commands import StopRun
from ._crashes import (
    Crash,
    CrashSign,
    count_crash,
    count_crash_before_takeover,
)
from ._ends import requeue
from ._log_events import log_event
from ._runs import (
    LATE_ORDER_MS,
    is_start_unconfirmed,
    release_worker_runs,
)
from ._spec import WorkerKey
from ._state import NEVER, CellState, Run, WorkerInfo
from ._suspects import Suspect, find_suspects


class WorkerListing(NamedTuple):
    """Registration of one worker instance."""

    worker: WorkerKey
    address: str
    pool: str
    domain: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    draining: bool


def list_worker(cell: CellState, listing: WorkerListing, now_ms: int) -> None:
    """Apply a new or changed registration."""
    key = _find_listed_key(cell, listing.worker)
    if key in cell.removed_workers:
        return
    worker = cell.workers.get(key)
    if worker is None:
        worker = WorkerInfo(
            key,
            listing.address,
            listing.pool,
            listing.rack,
            listing.labels,
            listing.capacity,
            listing.domain,
            free=listing.capacity,
            last_contact_ms=now_ms,
            known_since_ms=now_ms,
        )
        _unlist_earlier_instances(cell, key)
        cell.add_worker(worker)
        log_event(
            cell,
            'worker_listed',
            worker=key.worker_id,
            started_ms=key.started_ms,
            pool=listing.pool,
        )
    elif listing.capacity != worker.capacity:
        used = worker.capacity.minus(worker.free)
        worker.capacity = listing.capacity
        worker.free = listing.capacity.minus(used)
    worker.pool = listing.pool
    worker.rack = listing.rack
    worker.labels = listing.labels
    worker.domain = listing.domain
    worker.listed = True
    worker.registered_ms = now_ms
    worker.silent_since_ms = 0
    if listing.draining and not worker.draining:
        worker.draining = True
        log_event(cell, 'worker_draining', worker=key.worker_id)


def _find_listed_key(cell: CellState, key: WorkerKey) -> WorkerKey:
    """Return the current instance for a registration without a start time."""
    known = cell.instances.get(key.worker_id)
    return key if key.started_ms or not known else next(reversed(known))


def _unlist_earlier_instances(cell: CellState, key: WorkerKey) -> None:
    for other in cell.find_instances(key.worker_id):
        if other.key.started_ms < key.started_ms:
            _unlist(cell, other)


def unlist_worker(cell: CellState, worker_id: str) -> None:
    """Stop starting runs on a worker whose registration is gone."""
    for worker in cell.find_instances(worker_id):
        _unlist(cell, worker)


def _unlist(cell: CellState, worker: WorkerInfo) -> None:
    if worker.listed:
        worker.listed = False
        log_event(
            cell,
            'worker_unlisted',
            worker=worker.worker_id,
            started_ms=worker.key.started_ms,
        )


def find_answering_instance(
    cell: CellState, key: WorkerKey, poll_sent_ms: int, now_ms: int
) -> WorkerInfo | None:
    """Return the instance that answered a poll; it replaces the others.

    An instance that became known after the poll was sent may be a later one, and
    is kept.
    """
    worker = cell.workers.get(key) or _admit_instance(cell, key, now_ms)
    if worker is None:
        return None
    if len(cell.instances[key.worker_id]) > 1:
        for other in cell.find_instances(key.worker_id):
            if other is not worker and other.known_since_ms <= poll_sent_ms:
                _supersede(cell, other, worker, now_ms)
    return worker


def _supersede(
    cell: CellState, other: WorkerInfo, worker: WorkerInfo, now_ms: int
) -> None:
    if _is_unidentified(other):
        _identify(cell, other, worker)
    else:
        _replace_instance(cell, other, worker, now_ms)


def _is_unidentified(worker: WorkerInfo) -> bool:
    """Return whether neither a record nor an answer has told its start."""
    has_answered = worker.synced or worker.has_more_ends
    return not worker.key.started_ms and not has_answered


def _identify(
    cell: CellState, placeholder: WorkerInfo, worker: WorkerInfo
) -> None:
    """Replace a worker whose start was unknown by the instance it turns out."""
    cell.pop_worker(placeholder.key)
    worker.lease_until_ms = max(
        worker.lease_until_ms, placeholder.lease_until_ms
    )
    log_event(
        cell,
        'worker_identified',
        worker=worker.worker_id,
        started_ms=worker.key.started_ms,
    )


def _admit_instance(
    cell: CellState, key: WorkerKey, now_ms: int
) -> WorkerInfo | None:
    """Add an instance that is known from its answer alone."""
    others = cell.find_instances(key.worker_id)
    if not others or key in cell.removed_workers:
        return None
    before = others[-1]
    worker = WorkerInfo(
        key,
        before.address,
        pool='',
        rack='',
        labels=frozenset(),
        capacity=Resources(),
        domain=before.domain,
        listed=False,
        last_contact_ms=now_ms,
        known_since_ms=now_ms,
    )
    if not before.key.started_ms:
        # A registration without a start time holds for any instance.
        worker.pool = before.pool
        worker.rack = before.rack
        worker.labels = before.labels
        worker.capacity = before.capacity
        worker.free = before.capacity
        worker.listed = before.listed
        worker.draining = before.draining and before.listed
    cell.add_worker(worker)
    return worker


def _replace_instance(
    cell: CellState, before: WorkerInfo, worker: WorkerInfo, now_ms: int
) -> None:
    unconfirmed = list(filter(is_start_unconfirmed, before.runs.values()))
    suspects = {suspect.run: suspect for suspect in _crash_suspects(before)}
    for run in unconfirmed:
        _move_run(run, worker)
        run.earlier_crash = suspects.pop(run.key, None)
    given_up = {
        run_key: given_up_ms
        for run_key, given_up_ms in before.unconfirmed_starts.items()
        if now_ms - given_up_ms < LATE_ORDER_MS
    }
    worker.unconfirmed_starts.update(given_up)
    worker.unconfirmed_voids.update(dict.fromkeys(given_up))
    cell.outbox.extend(StopRun(worker.key, run_key) for run_key in given_up)
    worker.lease_until_ms = max(worker.lease_until_ms, before.lease_until_ms)
    _note_earlier_instance(cell, before)
    log_event(
        cell,
        'worker_restarted',
        worker=worker.worker_id,
        started_ms=worker.key.started_ms,
        previous_started_ms=before.key.started_ms,
        moved=len(unconfirmed),
        voided=len(given_up),
        handled_end=before.handled_end,
    )
    crash = Crash(
        before.worker_id, CrashSign.RESTARTED, tuple(suspects.values())
    )
    _remove(cell, before.key, crash, now_ms, 'replaced by a later instance')


def _note_earlier_instance(cell: CellState, before: WorkerInfo) -> None:
    """Let the run table of the later instance tell what this one took along."""
    earlier = cell.earlier_instances.get(before.worker_id)
    if before.draining:
        cell.earlier_instances.pop(before.worker_id, None)
    elif earlier is not None and not earlier.started_ms:
        cell.earlier_instances[before.worker_id] = before.key


def _move_run(run: Run, worker: WorkerInfo) -> None:
    """Expect a run on another instance, which has not confirmed it."""
    run.worker.release(run)
    run.worker = worker
    worker.allocate(run)
    # The deadline of the order and the answers to stop orders are those of the
    # instance before.
    run.start_expires_ms = NEVER
    run.stop_sent_ms = NEVER
    run.stop_answered_ms = NEVER


def remove_worker(
    cell: CellState, key: WorkerKey, now_ms: int, reason: str
) -> None:
    """Remove a worker instance that is known to have ended."""
    worker = cell.workers.get(key)
    suspects = _crash_suspects(worker) if worker else ()
    crash = Crash(key.worker_id, CrashSign.REPLACED, suspects)
    _remove(cell, key, crash, now_ms, reason)
    earlier = cell.earlier_instances.pop(key.worker_id, None)
    if worker is None or earlier is None:
        return
    if not (worker.synced or worker.draining):
        count_crash_before_takeover(cell, key.worker_id, {}, now_ms)


def _crash_suspects(worker: WorkerInfo) -> tuple[Suspect, ...]:
    """Return the suspects if the worker has crashed; a draining one left."""
    if worker.draining:
        return ()
    return worker.lapsed_suspects + find_suspects(worker)


def _remove(
    cell: CellState,
    key: WorkerKey,
    crash: Crash,
    now_ms: int,
    reason: str,
) -> None:
    cell.removed_workers[key] = None
    worker = cell.pop_worker(key)
    if key.worker_id not in cell.instances:
        cell.mark_synced(key.worker_id)
    if worker is None:
        return
    runs = release_worker_runs(cell, worker, reason)
    count_crash(cell, crash, now_ms)
    for run in runs:
        if not run.step.job.is_final:
            requeue(cell, run.step, run.task, now_ms)


def remove_replaced_worker(
    cell: CellState, key: WorkerKey, now_ms: int
) -> None:
    """Remove a worker whose address is served by a worker of another id."""
    remove_worker(
        cell, key, now_ms, 'replaced by another instance at its address'
    )
