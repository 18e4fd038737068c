"""Clear reserved workers once the reserved time has come."""

from collections.abc import Iterator

from ._handlers import Commands
from ._preempt_victims import (
    REPEAT_STOP_MS,
    Victim,
    cheapest_victims,
    movable_once_more,
    stop_victim,
    stopping_room,
    victims_on,
)
from ._reservation import Reservation
from ._state import ShardState, WorkerBook


def clear_reserved(state: ShardState, now_ms: int) -> Commands:
    """Checkpoint what stands in the way of a reservation that is due."""
    for reservation in tuple(state.reservations.by_role.values()):
        if reservation.urgent or not reservation.hard:
            continue
        if now_ms - reservation.cleared_ms < REPEAT_STOP_MS:
            continue
        reservation.cleared_ms = now_ms
        yield from _clear(state, reservation, now_ms)


def _clear(
    state: ShardState,
    reservation: Reservation,
    now_ms: int,
) -> Commands:
    for name, held in reservation.holds.items():
        worker = state.workers[name]
        room = worker.free.plus(stopping_room(state, worker, now_ms))
        movable = _movable(state, worker, now_ms)
        for victim in cheapest_victims(movable, held, room) or ():
            yield stop_victim(state, victim.key, reservation.job_id, now_ms)


def _movable(
    state: ShardState,
    worker: WorkerBook,
    now_ms: int,
) -> Iterator[Victim]:
    for victim in victims_on(state, worker, now_ms):
        job = state.jobs[victim.key.job_id]
        task = job.tasks[victim.key.task_index]
        if movable_once_more(job, task):
            yield victim
