"""Draw the jobs of a load pattern and the behavior of their runs.

A pattern is a TOML file in benchmarks/loads. It lists `pools` of workers and
`kinds` of jobs with their rates. Optional are `bursts`, impaired workers
(`troubles`: `hung`, `slow` or `grey`), `cancels`, and the `poison` and
`wanted_rack` of a kind.
"""

import random
from collections.abc import Callable, Iterator
from typing import Any, Final

from lycheerelay._resources import Resources
from lycheerelay.rehearsal import RunPlan, Simulation
from lycheerelay.workflow import (
    MAX_TASKS_PER_STEP,
    AdvicePolicy,
    QueuePolicy,
    RunKey,
    RunOutcome,
    StepKey,
    StepSpec,
    WorkerKey,
    WorkerListing,
    WorkflowSpec,
)

Load = dict[str, Any]
MS_PER_S: Final = 1000
RESTORE_MS: Final = 100
DEFAULT_MAX_ATTEMPTS: Final = 3
DEFAULT_MEMORY_MB: Final = 1000
# Number of the widest gangs that fit in a pool side by side.
GANGS_PER_POOL: Final = 4
# The work of a task differs from that of its job by up to this share.
TASK_WORK_VARIATION: Final = 0.15
# Work outside the preferred rack takes longer by this factor.
OTHER_RACK_FACTOR: Final = 1.5


def draw_value(
    rng: random.Random, distribution: float | dict[str, float]
) -> float:
    """Draw from a gamma distribution; `spread` is relative to the mean.

    A plain number is returned as it is.
    """
    if not isinstance(distribution, dict):
        return distribution
    mean, spread = distribution['mean'], distribution.get('spread', 0)
    if not spread:
        return mean
    drawn = rng.gammavariate(1 / spread**2, mean * spread**2)
    return min(drawn, distribution.get('max', 2.5 * mean))


class DrawnRunModel:
    """Draw the run times of jobs, impaired workers and failing jobs."""

    def __init__(self, load: Load, rng: random.Random) -> None:
        """Prepare an empty model of a load.

        Jobs are drawn apart from runs, so that all policies get the same jobs.
        """
        self.rng = rng
        self.job_rng = random.Random(rng.random())
        self.work_ms: dict[str, int] = {}
        self.kinds: dict[str, dict[str, Any]] = {}
        self.failing_jobs: set[str] = set()
        self.allowed: dict[StepKey, frozenset[str]] = {}
        self.impairments = load.get('troubles', ())
        self.impaired: list[set[str]] = []
        self.predicted_ms: dict[str, int] = {}
        self.simulation: Simulation | None = None

    def choose_impaired(self, worker_ids: list[str]) -> None:
        """Draw the workers that each impairment affects."""
        for impairment in self.impairments:
            count = max(1, round(impairment['share'] * len(worker_ids)))
            self.impaired.append(set(self.rng.sample(worker_ids, count)))

    def max_width(self, kind: dict[str, Any]) -> Callable[[Resources], int]:
        """Return the widest step of a kind by its demand for one task.

        A gang takes a quarter of its pool at most, so that it can ever start.
        """
        if self.simulation is None or not kind.get('gang'):
            return lambda demand: MAX_TASKS_PER_STEP
        capacities = [
            worker.capacity
            for worker in self.simulation.cell.workers.values()
            if worker.pool == kind['pool']
        ]
        return lambda demand: max(
            1,
            sum(demand.times_in(each) for each in capacities) // GANGS_PER_POOL,
        )

    def plan(self, run: RunKey, worker_id: str, saved_ms: int) -> RunPlan:
        """Return the plan of a run that resumes after `saved_ms` of work."""
        work_ms = self.work_ms[run.task.job_id]
        drawn_ms = int(
            work_ms
            * self.rng.uniform(1 - TASK_WORK_VARIATION, 1 + TASK_WORK_VARIATION)
        )
        if self._is_in_other_rack(run, worker_id):
            drawn_ms = int(drawn_ms * OTHER_RACK_FACTOR)
        restore_ms = RESTORE_MS if saved_ms else 0
        total_ms = max(drawn_ms - saved_ms + restore_ms, 1)
        if run.task.job_id in self.failing_jobs:
            return RunPlan(total_ms // 2 + 1, RunOutcome.FAILED)
        return self._impaired_plan(worker_id, total_ms)

    def may_run(self, step: StepKey, worker_id: str) -> bool:
        """Return whether the advisor allows a worker; the answer is constant."""
        if step not in self.allowed:
            self.allowed[step] = self._draw_allowed(step)
        return worker_id in self.allowed[step]

    def _draw_allowed(self, key: StepKey) -> frozenset[str]:
        """Draw the allowed share of a pool, with capacity for the whole step."""
        if self.simulation is None:
            return frozenset()
        cell = self.simulation.cell
        spec = cell.jobs[key.job_id].spec
        step = spec.steps[key.step]
        share = self.kinds[key.job_id]['good']
        pool = [
            worker
            for worker in cell.workers.values()
            if worker.pool == spec.pool
        ]
        self.rng.shuffle(pool)
        allowed: list[str] = []
        fitting = 0
        for worker in pool:
            if len(allowed) >= share * len(pool) and fitting >= step.width:
                break
            allowed.append(worker.worker_id)
            fitting += step.demand.times_in(worker.capacity)
        return frozenset(allowed)

    def _is_in_other_rack(self, run: RunKey, worker_id: str) -> bool:
        if self.simulation is None:
            return False
        cell = self.simulation.cell
        step = cell.jobs[run.task.job_id].spec.steps[run.task.step]
        return step.rack not in {'', cell.workers[WorkerKey(worker_id)].rack}

    def _impaired_plan(self, worker_id: str, total_ms: int) -> RunPlan:
        now_s = self.simulation.now_ms / MS_PER_S if self.simulation else 0
        for impairment, impaired in zip(
            self.impairments, self.impaired, strict=True
        ):
            is_on = 0 <= now_s - impairment['at'] < impairment['for_s']
            if not is_on or worker_id not in impaired:
                continue
            if impairment['how'] == 'hung':
                return RunPlan(total_ms, hangs_from_ms=total_ms // 3)
            if impairment['how'] == 'slow':
                return RunPlan(int(total_ms * impairment['x']))
            if self.rng.random() < impairment['x']:
                return RunPlan(total_ms // 2 + 1, RunOutcome.FAILED)
        return RunPlan(total_ms)


def worker_listings(load: Load) -> Iterator[WorkerListing]:
    """Yield the workers of all pools of a load."""
    for pool in load['pools']:
        sizes = pool.get('sizes', [1.0])
        for number in range(pool['workers']):
            rack = f'r{number // pool.get("rack", 5)}'
            name = f'{pool["name"]}-{number}'
            yield WorkerListing(
                worker=WorkerKey(name),
                address=name,
                pool=pool['name'],
                domain='',
                rack=rack,
                labels=frozenset((rack,)),
                capacity=Resources(
                    int(pool['cores_milli'] * sizes[number % len(sizes)]),
                    pool['memory_mb'],
                    pool.get('accelerators', 0),
                ),
                draining=False,
            )


def arrival_times_ms(
    rng: random.Random,
    load: Load,
    kind: dict[str, Any],
) -> Iterator[float]:
    """Yield the arrival times of a kind; a burst multiplies the rate."""
    time_ms = 0.0
    while time_ms < load['length_s'] * MS_PER_S:
        rate = kind['per_s']
        for burst in load.get('bursts', ()):
            within = 0 <= time_ms / MS_PER_S - burst['at'] < burst['for_s']
            if within and burst['kind'] in {kind['name'], 'all'}:
                rate *= burst['x']
        time_ms += rng.expovariate(rate) * MS_PER_S
        yield time_ms


def draw_job(
    rng: random.Random,
    model: DrawnRunModel,
    kind: dict[str, Any],
    now_ms: int,
) -> WorkflowSpec:
    """Draw one job of a kind and register its work with the model."""
    name = f'job{len(model.kinds) + 1}'
    model.kinds[name] = kind
    work_ms = int(draw_value(rng, kind['work_ms']))
    model.work_ms[name] = work_ms
    if rng.random() < kind.get('poison', 0):
        model.failing_jobs.add(name)
    count = max(1, round(draw_value(rng, kind.get('steps', {'mean': 1}))))
    steps = tuple(
        _draw_step(rng, kind, work_ms, number, model.max_width(kind))
        for number in range(count)
    )
    policy = queue_policy(kind)
    return WorkflowSpec(
        job_id=name,
        queue=policy.name,
        pool=policy.pool,
        payload='',
        steps=steps,
        max_attempts=policy.max_attempts,
        stretch=policy.stretch,
        objective_ms=policy.objective_ms,
        accepted_ms=now_ms,
        priority=policy.priority,
        advice=policy.advice,
    )


def queue_policy(kind: dict[str, Any]) -> QueuePolicy:
    """Return the queue policy of a kind."""
    return QueuePolicy(
        name=kind['name'],
        pool=kind['pool'],
        max_attempts=kind.get('attempts', DEFAULT_MAX_ATTEMPTS),
        stretch=kind['stretch'],
        objective_ms=kind['objective_ms'],
        priority=kind.get('priority', 0),
        advice=AdvicePolicy(*kind['advice']) if 'advice' in kind else None,
    )


def _draw_step(
    rng: random.Random,
    kind: dict[str, Any],
    work_ms: int,
    number: int,
    max_width: Callable[[Resources], int],
) -> StepSpec:
    estimate_factor = 1 + rng.uniform(-1, 1) * kind.get('estimate_off', 0.2)
    demand = Resources(
        int(draw_value(rng, kind['cores_milli'])),
        int(draw_value(rng, kind.get('memory_mb', DEFAULT_MEMORY_MB))),
        rng.choice(kind.get('accelerators', [0])),
    )
    preferred_rack = kind.get('wanted_rack', {'share': 0, 'rack': ''})
    prefers_rack = rng.random() < preferred_rack['share']
    width = max(1, round(draw_value(rng, kind['width'])))
    return StepSpec(
        width=min(width, max_width(demand)),
        demand=demand,
        expected_ms=max(int(work_ms * estimate_factor), 1),
        after=(number - 1,) if number else (),
        gang=kind.get('gang', False),
        checkpoints=kind.get('checkpoints', False),
        rack=preferred_rack['rack'] if prefers_rack else '',
    )
