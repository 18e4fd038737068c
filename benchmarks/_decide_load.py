"""Make the seeded job streams and worker lists of the scenarios."""

import random
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

from lycheerelay._events import WorkerSpec
from lycheerelay._jobs import JobSpec, Kind
from lycheerelay._policy import TeamPolicy
from lycheerelay._resources import Resources

GB: Final = 1024
POOL: Final = 'pool'
TAIL_SHAPE: Final = 1.6
MAX_TAIL: Final = 20.0
WRONG_FACTOR: Final = 10.0


class Arrival(NamedTuple):
    """Submit a job and tell how it truly runs."""

    at_ms: int
    spec: JobSpec
    run_ms: tuple[int, ...]
    fails: tuple[bool, ...]


class Shape(NamedTuple):
    """Describe a family of jobs."""

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
    """Hold one scenario; times are virtual."""

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
    """List workers by (count, cores, GB, accelerators, rack size)."""
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
    """Name teams; every fourth holds a double share."""
    return tuple(
        TeamPolicy(f't{number}', 2 if number % 4 == 0 else 1, 1_000_000)
        for number in range(count)
    )


def heavy(rng: random.Random, mean: float) -> float:
    """Draw from a bounded Pareto distribution of about the given mean."""
    scale = mean * (TAIL_SHAPE - 1) / TAIL_SHAPE
    return min(scale * rng.paretovariate(TAIL_SHAPE), mean * MAX_TAIL)


def draw_job(
    rng: random.Random,
    shapes: tuple[Shape, ...],
    teams: int,
    at_ms: int,
    name: str,
    urgent_share: float = 0.02,
    fail_share: float = 0.02,
) -> Arrival:
    """Draw one job; declared times are wrong by up to ten times."""
    shape = rng.choices(shapes, [entry.weight for entry in shapes])[0]
    cores = rng.choice(shape.cores)
    tasks = rng.choice(shape.tasks)
    mean_ms = heavy(rng, shape.run_ms)
    wrong = WRONG_FACTOR ** rng.uniform(-1, 1)
    # Squared uniform: a few teams submit most of the work.
    team = int(rng.random() ** 2 * teams)
    urgent = rng.random() < urgent_share and shape.kind is Kind.BATCH
    spec = JobSpec(
        f'a.{name}',
        f't{team}',
        'work',
        shape.kind,
        1 if urgent else tasks,
        cores * 1000,
        cores * shape.gb_per_core * GB,
        rng.choice(shape.accelerators),
        rng.choice((1, 1, 2, 4)),
        max(1, int(mean_ms * wrong)),
        urgent=urgent,
        idempotent=shape.idempotent,
        checkpointable=shape.checkpointable,
    )
    runs = tuple(
        max(50, int(mean_ms * rng.uniform(0.7, 1.3))) for _ in range(spec.tasks)
    )
    fails = tuple(rng.random() < fail_share for _ in range(spec.tasks))
    return Arrival(at_ms, spec, runs, fails)


def poisson(
    rng: random.Random,
    per_second: float,
    start_ms: int,
    end_ms: int,
) -> Iterator[int]:
    """Draw heavy-tailed gaps between arrivals."""
    at_ms = float(start_ms)
    while True:
        at_ms += heavy(rng, 1000 / per_second)
        if at_ms >= end_ms:
            return
        yield int(at_ms)
