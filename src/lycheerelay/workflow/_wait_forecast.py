"""Predict how long new work waits, and tell what could only end too late."""

import heapq
from typing import Final, NamedTuple

from .._resources import Resources
from ._fit import is_usable
from ._intake import LATE_LIMIT
from ._order import IN_TIME, by_slack
from ._spec import WorkflowSpec, chain_ms, objective_ms
from ._state import CellState, Run, StepInfo

# Shorter waits are not told: they come and go within a few decisions.
LEAST_WAIT_MS: Final = 1000
# A pool's waits are told by so many points at most.
MOST_POINTS: Final = 16


class WaitPoint(NamedTuple):
    """Tell the wait of work that has to start by a time; both in ms."""

    latest_start_ms: int
    wait_ms: int


class PoolRoom(NamedTuple):
    """Hold what the usable workers of a pool have, and have free."""

    whole: Resources
    free: Resources


class PoolEnd(NamedTuple):
    """Tell when a run gives its room back."""

    end_ms: int
    demand: Resources


PoolWaits = dict[str, tuple[WaitPoint, ...]]


def predict_waits(cell: CellState, now_ms: int) -> PoolWaits:
    """Return, for each pool without room, how long waiting work waits.

    Steps that can still be in time start in their order as runs end, each
    after its expected time; a pool counts as one large worker, so the real
    waits are longer where tasks do not fit side by side.
    """
    waiting = _waiting_in_time(cell, now_ms)
    rooms = _rooms(cell, now_ms) if waiting else {}
    waits: PoolWaits = {}
    for pool in waiting.keys() & rooms.keys():
        ends = _ends(cell, pool, now_ms)
        points = _play(waiting[pool], rooms[pool], ends, now_ms)
        if points[-1].wait_ms >= LEAST_WAIT_MS:
            waits[pool] = _thin(points)
    return waits


def _waiting_in_time(
    cell: CellState,
    now_ms: int,
) -> dict[str, list[StepInfo]]:
    waiting: dict[str, list[StepInfo]] = {}
    for step in cell.open_steps.values():
        is_wanted = step.waiting and not (step.spec.lasts or step.spec.fills)
        if is_wanted and by_slack(step, now_ms)[0] == IN_TIME:
            waiting.setdefault(step.job.spec.pool, []).append(step)
    for steps in waiting.values():
        steps.sort(key=lambda step: step.latest_start_ms)
    return waiting


def predicted_wait_ms(
    spec: WorkflowSpec,
    points: tuple[WaitPoint, ...],
    age_ms: int = 0,
) -> int:
    """Return the wait of a new job under its pool's waits, told so long ago."""
    whole_ms = chain_ms(spec)
    latest_ms = spec.accepted_ms + objective_ms(spec) - whole_ms
    waits_ms = (
        point.wait_ms - age_ms
        for point in points
        if point.latest_start_ms <= latest_ms
    )
    return max((*waits_ms, 0))


def lateness_ms(spec: WorkflowSpec, wait_ms: int) -> int:
    """Return by how many ms a job that waits so long is worth nothing.

    A job that lasts, or runs at set times, is never too late.
    """
    if spec.occurrences or any(step.lasts for step in spec.steps):
        return 0
    limit_ms = LATE_LIMIT * objective_ms(spec)
    return max(wait_ms + chain_ms(spec) - limit_ms, 0)


def _rooms(cell: CellState, now_ms: int) -> dict[str, PoolRoom]:
    rooms: dict[str, PoolRoom] = {}
    for worker in cell.workers.values():
        if is_usable(worker, now_ms):
            room = rooms.get(worker.pool, PoolRoom(Resources(), Resources()))
            rooms[worker.pool] = PoolRoom(
                room.whole.plus(worker.capacity),
                room.free.plus(worker.free),
            )
    return rooms


def _ends(cell: CellState, pool: str, now_ms: int) -> list[PoolEnd]:
    ends = [
        PoolEnd(
            max(run.sent_ms + run.step.spec.expected_ms, now_ms), run.demand
        )
        for worker in cell.workers.values()
        if worker.pool == pool and is_usable(worker, now_ms)
        for run in worker.runs.values()
        if _is_passing(run)
    ]
    heapq.heapify(ends)
    return ends


def _is_passing(run: Run) -> bool:
    return not (run.step.spec.lasts or run.step.spec.fills)


def _play(
    steps: list[StepInfo],
    room: PoolRoom,
    ends: list[PoolEnd],
    now_ms: int,
) -> list[WaitPoint]:
    free = room.free
    time_ms = now_ms
    points = []
    for step in steps:
        wanted = step.spec.demand.times(len(step.waiting))
        demand = Resources(*map(min, wanted, room.whole))
        while not demand.fits_in(free) and ends:
            end = heapq.heappop(ends)
            time_ms = max(time_ms, end.end_ms)
            free = free.plus(end.demand)
        free = free.minus(demand)
        end_ms = time_ms + step.spec.expected_ms
        heapq.heappush(ends, PoolEnd(end_ms, demand))
        points.append(WaitPoint(step.latest_start_ms, time_ms - now_ms))
    return points


def _thin(points: list[WaitPoint]) -> tuple[WaitPoint, ...]:
    stride = -(-len(points) // MOST_POINTS)
    return tuple(points[stride - 1 :: stride])
