"""Clear reserved workers once the reserved time has come."""

from collections.abc import Iterator

from ._handlers import Commands
from ._preempt_victims import (
    Victim,
    cheapest_victims,
    movable_once_more,
    stop_victim,
    stopping_room,
    victims_on,
)
from ._reservation import Reservation
from ._state import ShardState, WorkerInfo


def clear_reserved(state: ShardState, now_ms: int) -> Commands:
    """Checkpoint what may move once that frees all that is reserved."""
    for reservation in tuple(state.reservations.by_role.values()):
        if reservation.is_clearing(now_ms):
            continue
        if reservation.cleared_ms:
            # What may move may use the room again.
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
        room = worker.free.plus(stopping_room(state, worker, now_ms))
        movable = _movable(state, worker, now_ms)
        chosen = cheapest_victims(movable, held, room)
        if chosen is None:
            return None
        victims.extend(chosen)
    return victims


def _movable(
    state: ShardState,
    worker: WorkerInfo,
    now_ms: int,
) -> Iterator[Victim]:
    for victim in victims_on(state, worker, now_ms):
        job = state.jobs[victim.key.job_id]
        task = job.tasks[victim.key.task_index]
        if movable_once_more(job, task):
            yield victim
