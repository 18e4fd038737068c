"""Generate seeded job arrivals and worker lists for the scenarios."""

import random
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

from lycheerelay._events import WorkerSpec
from lycheerelay._jobs import JobSpec, Kind
from lycheerelay._policy import TeamPolicy
from lycheerelay._resources import Resources

GB: Final = 1024
POOL: Final = 'pool'
PARETO_SHAPE: Final = 1.6
MAX_MEAN_FACTOR: Final = 20.0
MAX_ESTIMATE_FACTOR: Final = 10.0


class Arrival(NamedTuple):
    """Hold a job with its actual run time and outcome for each task."""

    at_ms: int
    spec: JobSpec
    run_ms: tuple[int, ...]
    fails: tuple[bool, ...]


class JobTemplate(NamedTuple):
    """Describe the values from which similar jobs are drawn."""

    weight: float
    cores: tuple[int, ...]
    gb_per_core: int
    run_ms: int
    accelerators: tuple[int, ...] = (0,)
    tasks: tuple[int, ...] = (1,)
    kind: Kind = Kind.BATCH
    checkpointable: bool = False
    idempotent: bool = True


class Scenario(NamedTuple):
    """Describe one scenario; all times are virtual."""

    name: str
    workers: tuple[WorkerSpec, ...]
    teams: tuple[TeamPolicy, ...]
    arrivals: Callable[[random.Random], Iterator[Arrival]]
    horizon_ms: int
    warmup_ms: int = 0
    max_wait_ms: int = 1_000_000_000
    cancel_at_ms: int = 0
    cancel_share: float = 0.0
    restart_every_ms: int = 0


def make_workers(
    groups: tuple[tuple[int, int, int, int, int], ...],
    slots: int = 8,
    connections: int = 64,
) -> tuple[WorkerSpec, ...]:
    """Return workers of groups (count, cores, GB, accelerators, rack size)."""
    specs = []
    for group, (count, cores, gb, accelerators, rack) in enumerate(groups):
        capacity = Resources(
            cores * 1000,
            gb * GB,
            accelerators,
            slots,
            connections,
        )
        for number in range(count):
            specs.append(
                WorkerSpec(
                    f'w{group}-{number}',
                    POOL,
                    'a',
                    f'r{group}-{number // rack}',
                    f'10.{group}.0.{number}:80',
                    capacity,
                ),
            )
    return tuple(specs)


def make_teams(count: int) -> tuple[TeamPolicy, ...]:
    """Return teams of which every fourth has a double share."""
    return tuple(
        TeamPolicy(f't{number}', 2 if number % 4 == 0 else 1, 1_000_000)
        for number in range(count)
    )


def bounded_pareto(rng: random.Random, mean: float) -> float:
    """Draw from a bounded Pareto distribution with about the given mean."""
    scale = mean * (PARETO_SHAPE - 1) / PARETO_SHAPE
    return min(scale * rng.paretovariate(PARETO_SHAPE), mean * MAX_MEAN_FACTOR)


def draw_job(
    rng: random.Random,
    templates: tuple[JobTemplate, ...],
    teams: int,
    at_ms: int,
    name: str,
    urgent_share: float = 0.02,
    fail_share: float = 0.02,
) -> Arrival:
    """Draw one job whose expected run time is off by up to a factor of ten."""
    template = rng.choices(templates, [entry.weight for entry in templates])[0]
    cores = rng.choice(template.cores)
    tasks = rng.choice(template.tasks)
    mean_ms = bounded_pareto(rng, template.run_ms)
    estimate_factor = MAX_ESTIMATE_FACTOR ** rng.uniform(-1, 1)
    # Squaring the uniform draw lets a few teams submit most of the work.
    team = int(rng.random() ** 2 * teams)
    urgent = rng.random() < urgent_share and template.kind is Kind.BATCH
    spec = JobSpec(
        f'a.{name}',
        f't{team}',
        'work',
        template.kind,
        1 if urgent else tasks,
        cores * 1000,
        cores * template.gb_per_core * GB,
        rng.choice(template.accelerators),
        rng.choice((1, 1, 2, 4)),
        max(1, int(mean_ms * estimate_factor)),
        urgent=urgent,
        idempotent=template.idempotent,
        checkpointable=template.checkpointable,
    )
    runs = tuple(
        max(50, int(mean_ms * rng.uniform(0.7, 1.3))) for _ in range(spec.tasks)
    )
    fails = tuple(rng.random() < fail_share for _ in range(spec.tasks))
    return Arrival(at_ms, spec, runs, fails)


def arrival_times(
    rng: random.Random,
    per_second: float,
    start_ms: int,
    end_ms: int,
) -> Iterator[int]:
    """Yield arrival times in ms with heavy-tailed gaps."""
    at_ms = float(start_ms)
    while True:
        at_ms += bounded_pareto(rng, 1000 / per_second)
        if at_ms >= end_ms:
            return
        yield int(at_ms)
