"""Preempt movable attempts on reserved workers."""

from collections.abc import Iterator

from ._handlers import Commands
from ._preempt_victims import (
    Victim,
    capacity_being_freed,
    cheapest_victims,
    is_movable,
    stop_victim,
    victims_on,
)
from ._reservation import Reservation
from ._state import ShardState, WorkerInfo


def preempt_for_reservations(state: ShardState, now_ms: int) -> Commands:
    """Checkpoint movable attempts where that frees all reserved capacity."""
    for reservation in tuple(state.reservations.by_role.values()):
        if reservation.is_preempting(now_ms):
            continue
        if reservation.cleared_ms:
            # Movable jobs may use the capacity again.
            reservation.cleared_ms = 0
            state.ledger.touched.update(dict.fromkeys(reservation.holds))
        victims = _victims(state, reservation, now_ms)
        if victims is None:
            continue
        reservation.cleared_ms = now_ms
        for victim in victims:
            yield stop_victim(state, victim.key, reservation.job_id, now_ms)


def _victims(
    state: ShardState,
    reservation: Reservation,
    now_ms: int,
) -> list[Victim] | None:
    victims: list[Victim] = []
    for name, held in reservation.holds.items():
        worker = state.workers[name]
        free = worker.free.plus(capacity_being_freed(state, worker, now_ms))
        movable = _movable_victims(state, worker, now_ms)
        chosen = cheapest_victims(movable, held, free)
        if chosen is None:
            return None
        victims.extend(chosen)
    return victims


def _movable_victims(
    state: ShardState,
    worker: WorkerInfo,
    now_ms: int,
) -> Iterator[Victim]:
    for victim in victims_on(state, worker, now_ms):
        job = state.jobs[victim.key.job_id]
        task = job.tasks[victim.key.task_index]
        if is_movable(job, task):
            yield victim
