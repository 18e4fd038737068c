"""Draw the jobs of a load pattern and how their runs really go.

A pattern is a TOML file in benchmarks/loads: `pools` of workers, `kinds` of
jobs with their rates, and what troubles them: `bursts`, `troubles` of workers
(`hung`, `slow`, `grey`), `cancels`, `poison` and `wanted_rack` of a kind.
"""

import random
from collections.abc import Iterator
from typing import Any, Final

from lycheerelay._resources import Resources
from lycheerelay.rehearsal import RunPlan, Simulation
from lycheerelay.workflow import (
    AdvicePolicy,
    QueuePolicy,
    RunKey,
    RunOutcome,
    StepKey,
    StepSpec,
    WorkerListing,
    WorkflowSpec,
)

Load = dict[str, Any]
MS: Final = 1000
RESTORE_MS: Final = 100
ATTEMPTS: Final = 3
# Work differs between tasks of a step by this share, either way.
UNEVEN: Final = 0.15
# Work in another rack than the wanted one takes so much longer.
REMOTE_FACTOR: Final = 1.5


def draw(rng: random.Random, shape: dict[str, float]) -> float:
    """Draw around a mean with a relative spread, up to a bound."""
    mean, spread = shape['mean'], shape.get('spread', 0)
    if not spread:
        return mean
    drawn = rng.gammavariate(1 / spread**2, mean * spread**2)
    return min(drawn, shape.get('max', 2.5 * mean))


class DrawnTruth:
    """Know how long work takes, which workers are unwell, which jobs fail."""

    def __init__(self, load: Load, rng: random.Random) -> None:
        """Draw the unwell workers of each trouble."""
        self.rng = rng
        self.work_ms: dict[str, int] = {}
        self.kinds: dict[str, dict[str, Any]] = {}
        self.poisoned: set[str] = set()
        self.good: dict[tuple[StepKey, str], bool] = {}
        self.advised: set[StepKey] = set()
        self.troubles = load.get('troubles', ())
        self.unwell: list[set[str]] = []
        self.predicted_ms: dict[str, int] = {}
        self.play: Simulation | None = None

    def choose_unwell(self, worker_ids: list[str]) -> None:
        """Draw the workers that each trouble befalls."""
        for trouble in self.troubles:
            count = max(1, round(trouble['share'] * len(worker_ids)))
            self.unwell.append(set(self.rng.sample(worker_ids, count)))

    def plan(self, run: RunKey, worker_id: str, saved_ms: int) -> RunPlan:
        """Return how a run goes on a worker, with so much work saved."""
        work_ms = self.work_ms[run.task.job_id]
        drawn_ms = int(work_ms * self.rng.uniform(1 - UNEVEN, 1 + UNEVEN))
        if self._is_remote(run, worker_id):
            drawn_ms = int(drawn_ms * REMOTE_FACTOR)
        restore_ms = RESTORE_MS if saved_ms else 0
        total_ms = max(drawn_ms - saved_ms + restore_ms, 1)
        if run.task.job_id in self.poisoned:
            return RunPlan(total_ms // 2 + 1, RunOutcome.FAILED)
        return self._trouble(worker_id, total_ms)

    def may_run(self, step: StepKey, worker_id: str) -> bool:
        """Tell whether the advisor allows a worker; it does not change."""
        key = (step, worker_id)
        if key not in self.good:
            kind = self.kinds[step.job_id]
            is_first = step not in self.advised
            self.advised.add(step)
            self.good[key] = is_first or self.rng.random() < kind['good']
        return self.good[key]

    def _is_remote(self, run: RunKey, worker_id: str) -> bool:
        if self.play is None:
            return False
        cell = self.play.cell
        step = cell.jobs[run.task.job_id].spec.steps[run.task.step]
        return step.rack not in {'', cell.workers[worker_id].rack}

    def _trouble(self, worker_id: str, total_ms: int) -> RunPlan:
        now_s = self.play.now_ms / MS if self.play else 0
        for trouble, unwell in zip(self.troubles, self.unwell, strict=True):
            is_on = 0 <= now_s - trouble['at'] < trouble['for_s']
            if not is_on or worker_id not in unwell:
                continue
            if trouble['how'] == 'hung':
                return RunPlan(total_ms, hangs_from_ms=total_ms // 3)
            if trouble['how'] == 'slow':
                return RunPlan(int(total_ms * trouble['x']))
            if self.rng.random() < trouble['x']:
                return RunPlan(total_ms // 2 + 1, RunOutcome.FAILED)
        return RunPlan(total_ms)


def listings(load: Load) -> Iterator[WorkerListing]:
    """Yield the workers of a load's pools."""
    for pool in load['pools']:
        sizes = pool.get('sizes', [1.0])
        for number in range(pool['workers']):
            rack = f'r{number // pool.get("rack", 5)}'
            name = f'{pool["name"]}-{number}'
            yield WorkerListing(
                worker_id=name,
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


def arrivals(
    rng: random.Random,
    load: Load,
    kind: dict[str, Any],
) -> Iterator[float]:
    """Yield arrival times in ms; a burst multiplies the rate."""
    time_ms = 0.0
    while time_ms < load['length_s'] * MS:
        rate = kind['per_s']
        for burst in load.get('bursts', ()):
            within = 0 <= time_ms / MS - burst['at'] < burst['for_s']
            if within and burst['kind'] in {kind['name'], 'all'}:
                rate *= burst['x']
        time_ms += rng.expovariate(rate) * MS
        yield time_ms


def draw_job(
    rng: random.Random,
    truth: DrawnTruth,
    kind: dict[str, Any],
    now_ms: int,
) -> WorkflowSpec:
    """Draw one job of a kind and how it will go."""
    name = f'job{len(truth.kinds) + 1}'
    truth.kinds[name] = kind
    work_ms = int(draw(rng, kind['work_ms']))
    truth.work_ms[name] = work_ms
    if rng.random() < kind.get('poison', 0):
        truth.poisoned.add(name)
    count = max(1, round(draw(rng, kind.get('steps', {'mean': 1}))))
    steps = tuple(
        _draw_step(rng, kind, work_ms, number) for number in range(count)
    )
    policy = queue_of(kind)
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


def queue_of(kind: dict[str, Any]) -> QueuePolicy:
    """Return the queue of a kind."""
    return QueuePolicy(
        name=kind['name'],
        pool=kind['pool'],
        max_attempts=kind.get('attempts', ATTEMPTS),
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
) -> StepSpec:
    off = 1 + rng.uniform(-1, 1) * kind.get('estimate_off', 0.2)
    demand = Resources(
        int(draw(rng, kind['cores_milli'])),
        int(kind.get('memory_mb', 1000)),
        rng.choice(kind.get('accelerators', [0])),
    )
    wanted = kind.get('wanted_rack', {'share': 0, 'rack': ''})
    is_near = rng.random() < wanted['share']
    return StepSpec(
        width=max(1, round(draw(rng, kind['width']))),
        demand=demand,
        expected_ms=max(int(work_ms * off), 1),
        after=(number - 1,) if number else (),
        gang=kind.get('gang', False),
        checkpoints=kind.get('checkpoints', False),
        rack=wanted['rack'] if is_near else '',
    )
