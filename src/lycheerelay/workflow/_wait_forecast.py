"""Predict waiting times and detect jobs that would finish too late."""

import heapq
from typing import Final, NamedTuple

from .._resources import Resources
from ._fit import is_in_service
from ._forecast_quota import QuotaForecast
from ._intake import VALUE_EXPIRY_FACTOR
from ._order import IN_TIME, by_slack
from ._spec import WorkflowSpec, critical_path_ms, objective_ms
from ._state import CellState, Run, StepInfo

# Shorter waits are not reported. They come and go within a few scheduling
# cycles.
MIN_REPORTED_WAIT_MS: Final = 1000
MAX_POINTS_PER_POOL: Final = 16


class WaitPoint(NamedTuple):
    """Predicted wait of work that must start by a time; both in ms."""

    latest_start_ms: int
    wait_ms: int


class PoolCapacity(NamedTuple):
    """Total and free capacity of the usable workers of a pool."""

    total: Resources
    free: Resources


class CapacityRelease(NamedTuple):
    """Capacity that runs are expected to free at a time.

    `tasks` of `step` end then; `order` only makes the order of equal ones certain.
    """

    end_ms: int
    demand: Resources
    order: int
    step: StepInfo
    tasks: int


PoolWaits = dict[str, tuple[WaitPoint, ...]]


def predict_waits(cell: CellState, now_ms: int) -> PoolWaits:
    """Return the predicted waits of each pool that lacks capacity.

    The simulation starts steps that can still meet their objective in order
    of slack, and runs end after their expected time. It treats a pool as one
    large worker, so actual waits are longer where tasks do not fit together.
    Work beyond the quota of a tenant starts as earlier work of the tenant ends.
    """
    waiting = _waiting_in_time(cell, now_ms)
    capacities = _pool_capacities(cell, now_ms) if waiting else {}
    waits: PoolWaits = {}
    for pool in waiting.keys() & capacities.keys():
        releases = _expected_releases(cell, pool, now_ms)
        points = _simulate_starts(
            waiting[pool], capacities[pool], releases, now_ms
        )
        if points and points[-1].wait_ms >= MIN_REPORTED_WAIT_MS:
            waits[pool] = _downsample(points)
    return waits


def _waiting_in_time(
    cell: CellState,
    now_ms: int,
) -> dict[str, list[StepInfo]]:
    waiting: dict[str, list[StepInfo]] = {}
    for step in cell.open_steps.values():
        is_counted = step.waiting and not (step.spec.lasts or step.spec.fills)
        # Jobs over the rate of their tenant come after those within the rates,
        # so they do not make those late.
        if step.job.is_over_rate:
            continue
        if is_counted and by_slack(step, now_ms)[0] == IN_TIME:
            waiting.setdefault(step.job.spec.pool, []).append(step)
    for steps in waiting.values():
        steps.sort(key=lambda step: step.latest_start_ms)
    return waiting


def predicted_wait_ms(
    spec: WorkflowSpec,
    points: tuple[WaitPoint, ...],
    age_ms: int = 0,
) -> int:
    """Return the wait of a new job for a forecast of the given age."""
    path_ms = critical_path_ms(spec)
    latest_ms = spec.accepted_ms + objective_ms(spec) - path_ms
    waits_ms = (
        point.wait_ms - age_ms
        for point in points
        if point.latest_start_ms <= latest_ms
    )
    return max((*waits_ms, 0))


def lateness_ms(spec: WorkflowSpec, wait_ms: int) -> int:
    """Return by how many ms the job would exceed the limit of its value.

    The result is 0 for jobs with service steps and for scheduled jobs.
    """
    if spec.occurrences or any(step.lasts for step in spec.steps):
        return 0
    limit_ms = VALUE_EXPIRY_FACTOR * objective_ms(spec)
    return max(wait_ms + critical_path_ms(spec) - limit_ms, 0)


def _pool_capacities(cell: CellState, now_ms: int) -> dict[str, PoolCapacity]:
    capacities: dict[str, PoolCapacity] = {}
    for worker in cell.workers.values():
        if is_in_service(worker, now_ms):
            capacity = capacities.get(
                worker.pool, PoolCapacity(Resources(), Resources())
            )
            capacities[worker.pool] = PoolCapacity(
                capacity.total.plus(worker.capacity),
                capacity.free.plus(worker.free),
            )
    return capacities


def _expected_releases(
    cell: CellState, pool: str, now_ms: int
) -> list[CapacityRelease]:
    ending = (
        run
        for worker in cell.workers.values()
        if worker.pool == pool and is_in_service(worker, now_ms)
        for run in worker.runs.values()
        if _is_finite(run)
    )
    releases = [
        CapacityRelease(
            max(run.sent_ms + run.step.spec.expected_ms, now_ms),
            run.demand,
            order,
            run.step,
            1,
        )
        for order, run in enumerate(ending)
    ]
    heapq.heapify(releases)
    return releases


def _is_finite(run: Run) -> bool:
    return not (run.step.spec.lasts or run.step.spec.fills)


def _simulate_starts(
    steps: list[StepInfo],
    capacity: PoolCapacity,
    releases: list[CapacityRelease],
    now_ms: int,
) -> list[WaitPoint]:
    quotas = QuotaForecast()
    timeline = _Timeline(capacity, releases, now_ms)
    points = []
    for step in steps:
        tasks = quotas.admit(step)
        if not tasks:
            continue
        demand = timeline.limit(step, tasks)
        while not demand.fits_in(timeline.free) and releases:
            ended = timeline.release_next()
            for held in quotas.release(ended.step, ended.tasks):
                timeline.start(held.step, held.tasks)
        timeline.start(step, tasks)
        points.append(WaitPoint(step.latest_start_ms, timeline.now_ms - now_ms))
    return points


class _Timeline:
    """Track the free capacity of a pool over the time of a forecast."""

    def __init__(
        self,
        capacity: PoolCapacity,
        releases: list[CapacityRelease],
        now_ms: int,
    ) -> None:
        self.total = capacity.total
        self.free = capacity.free
        self.releases = releases
        self.now_ms = now_ms
        self.order = len(releases)

    def limit(self, step: StepInfo, tasks: int) -> Resources:
        """Return the demand of tasks, of the whole pool at most."""
        wanted = step.spec.demand.times(tasks)
        return Resources(*map(min, wanted, self.total))

    def release_next(self) -> CapacityRelease:
        """Advance to the next release and return it."""
        release = heapq.heappop(self.releases)
        self.now_ms = max(self.now_ms, release.end_ms)
        self.free = self.free.plus(release.demand)
        return release

    def start(self, step: StepInfo, tasks: int) -> None:
        """Allocate tasks until their expected end."""
        demand = self.limit(step, tasks)
        self.free = self.free.minus(demand)
        end_ms = self.now_ms + step.spec.expected_ms
        self.order += 1
        heapq.heappush(
            self.releases,
            CapacityRelease(end_ms, demand, self.order, step, tasks),
        )


def _downsample(points: list[WaitPoint]) -> tuple[WaitPoint, ...]:
    stride = -(-len(points) // MAX_POINTS_PER_POOL)
    return tuple(points[stride - 1 :: stride])
