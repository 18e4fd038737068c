"""Find when and where the tasks of a step fit."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from heapq import nsmallest
from itertools import repeat
from typing import NamedTuple

from .._resources import Resources
from ._fit import (
    Reserved,
    ReservedCapacity,
    Score,
    count_fitting,
    expected_end_ms,
    score_worker,
)
from ._spec import WorkerKey
from ._state import StepInfo, WorkerInfo


class Opening(NamedTuple):
    """Capacity for one task; openings sort by the order of their use.

    `is_second_choice` is true for a worker that the step has no ticket for.
    `position` is that of the worker among the candidates.
    """

    at_ms: int
    is_second_choice: bool
    score: Score
    position: int
    worker: WorkerInfo


def current_openings(
    step: StepInfo,
    workers: Sequence[WorkerInfo],
    preferred: frozenset[WorkerKey],
    reserved: Reserved,
    now_ms: int,
) -> list[Opening]:
    """Return one opening of now for each waiting task, or none at all."""
    limit = len(step.waiting)
    counts = [
        count_fitting(step, worker, reserved, now_ms) for worker in workers
    ]
    if sum(counts) < limit:
        return []
    openings: list[Opening] = []
    for position, (worker, count) in enumerate(
        zip(workers, counts, strict=True)
    ):
        if count:
            opening = _opening(step, worker, position, preferred, now_ms)
            openings.extend(repeat(opening, min(count, limit)))
    return nsmallest(limit, openings, key=lambda opening: opening[:4])


def earliest_openings(
    step: StepInfo,
    workers: Sequence[WorkerInfo],
    preferred: frozenset[WorkerKey],
    reserved: Reserved,
    now_ms: int,
) -> list[Opening]:
    """Return the earliest opening for each waiting task, fewer if some lack."""
    openings = [
        opening
        for position, worker in enumerate(workers)
        for opening in _openings_on(
            step, worker, position, preferred, reserved, now_ms
        )
    ]
    return nsmallest(
        len(step.waiting), openings, key=lambda opening: opening[:4]
    )


def _opening(
    step: StepInfo,
    worker: WorkerInfo,
    position: int,
    preferred: frozenset[WorkerKey],
    at_ms: int,
) -> Opening:
    return Opening(
        at_ms,
        worker.key not in preferred,
        score_worker(step, worker, step.tasks[0]),
        position,
        worker,
    )


def reservations_for(
    step: StepInfo, openings: Iterable[Opening]
) -> Iterator[tuple[WorkerInfo, ReservedCapacity]]:
    """Yield one reservation for each worker with openings."""
    counts: Counter[WorkerInfo] = Counter()
    from_ms: dict[WorkerInfo, int] = {}
    for opening in openings:
        counts[opening.worker] += 1
        from_ms.setdefault(opening.worker, opening.at_ms)
    for worker, count in counts.items():
        yield (
            worker,
            ReservedCapacity(
                step.key, step.spec.demand.times(count), from_ms[worker]
            ),
        )


def _openings_on(
    step: StepInfo,
    worker: WorkerInfo,
    position: int,
    preferred: frozenset[WorkerKey],
    reserved: Reserved,
    now_ms: int,
) -> list[Opening]:
    limit = len(step.waiting)
    if step.spec.spread_limit:
        limit = min(limit, step.spec.spread_limit)
    first = _opening(step, worker, position, preferred, now_ms)
    count = min(count_fitting(step, worker, reserved, now_ms), limit)
    openings = list(repeat(first, count))
    if count == limit:
        return openings
    demand = step.spec.demand
    for end_ms, free in _expected_free(step, worker, reserved, now_ms):
        if not demand.fits_in(free):
            continue
        more = min(demand.times_in(free), limit) - len(openings)
        openings.extend(repeat(first._replace(at_ms=end_ms), more))
        if len(openings) >= limit:
            break
    return openings


def _expected_free(
    step: StepInfo, worker: WorkerInfo, reserved: Reserved, now_ms: int
) -> Iterator[tuple[int, Resources]]:
    """Yield the free capacity after each expected end of a run."""
    free = worker.free
    for reservation in reserved.get(worker, ()):
        if reservation.step != step.key:
            free = free.minus(reservation.demand)
    ends = sorted(
        (expected_end_ms(run, now_ms), index, run.demand)
        for index, run in enumerate(worker.runs.values())
        if not run.step.spec.lasts
    )
    for end_ms, _, demand in ends:
        free = free.plus(demand)
        yield end_ms, free
