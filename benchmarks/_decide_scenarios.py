"""Define the scenarios of the decision benchmark."""

import random
from collections.abc import Iterator
from typing import Final

from _decide_load import (
    Arrival,
    JobTemplate,
    Scenario,
    arrival_times,
    draw_job,
    make_teams,
    make_workers,
)

from lycheerelay._jobs import JobSpec, Kind

MINUTE_MS: Final = 60_000

# Netlist checks, corner sweeps and noise runs; extraction and field solves.
CARONI_JOBS: Final = (
    JobTemplate(30, (1,), 4, 20_000),
    JobTemplate(20, (2,), 4, 120_000, tasks=(8, 16, 32), idempotent=False),
    JobTemplate(14, (4, 8), 4, 900_000, checkpointable=True),
    JobTemplate(26, (8, 16), 4, 300_000, (1,), checkpointable=True),
    JobTemplate(10, (32,), 4, 400_000, (2, 4)),
    JobTemplate(2, (64,), 4, 600_000, (8,), checkpointable=True),
    JobTemplate(3, (16,), 4, 300_000, (2,), (2, 4, 8), Kind.GANG),
)

# Listing compilation, index builds, prospectus rendering, and prints whose
# tasks start all at once.
ASSOCIATION_JOBS: Final = (
    JobTemplate(70, (1, 2, 4), 2, 6_000),
    JobTemplate(10, (8, 16), 2, 30_000, idempotent=False),
    JobTemplate(20, (2, 4), 4, 20_000, (1, 2), checkpointable=True),
    JobTemplate(3, (4,), 2, 20_000, tasks=(8, 16)),
    JobTemplate(2, (8,), 2, 20_000, tasks=(4, 8), kind=Kind.GANG),
)

PLANNED_JOBS: Final = (
    JobTemplate(60, (1,), 4, 30_000),
    JobTemplate(20, (1, 2), 4, 30_000, checkpointable=True),
    JobTemplate(10, (2,), 4, 30_000, idempotent=False),
    JobTemplate(10, (2,), 4, 30_000, (1,), checkpointable=True),
)

CARONI_WORKERS: Final = ((20, 16, 64, 0, 5), (7, 128, 512, 8, 3))
ASSOCIATION_WORKERS: Final = ((20, 64, 128, 0, 5), (7, 32, 128, 8, 3))


def caroni_arrivals(rng: random.Random) -> Iterator[Arrival]:
    """Yield a backlog at time 0, then arrivals above the capacity."""
    for number in range(500):
        yield draw_job(rng, CARONI_JOBS, 8, 0, f'b{number}')
    times = arrival_times(rng, 0.35, 1000, 40 * MINUTE_MS)
    for number, at_ms in enumerate(times):
        yield draw_job(rng, CARONI_JOBS, 8, at_ms, f'j{number}')


def association_arrivals(rng: random.Random) -> Iterator[Arrival]:
    """Yield arrivals near the capacity, with bursts from single teams."""
    end_ms = 10 * MINUTE_MS
    times = arrival_times(rng, 6.5, 0, end_ms)
    for number, at_ms in enumerate(times):
        yield draw_job(rng, ASSOCIATION_JOBS, 24, at_ms, f'j{number}')
    for wave in range(3):
        at_ms = rng.randrange(end_ms)
        for number in range(200):
            job = draw_job(
                rng, ASSOCIATION_JOBS, 24, at_ms, f'w{wave}-{number}'
            )
            team = f't{wave * 4}'
            yield job._replace(spec=job.spec._replace(team=team))


def planned_arrivals(
    rng: random.Random,
    scale: float,
    seconds: int,
) -> Iterator[Arrival]:
    """Yield jobs that fill the pool, then the planned peak with one burst."""
    yield from service_arrivals(round(94 * scale) or 1, round(2400 * scale))
    for number in range(round(9600 * scale)):
        job = draw_job(rng, PLANNED_JOBS, 94, 100, f'b{number}', 0)
        # Jobs that run at the start have already completed part of their work.
        remaining_share = rng.random()
        remaining = tuple(
            max(50, int(run * remaining_share)) for run in job.run_ms
        )
        yield job._replace(run_ms=remaining)
    times = arrival_times(rng, 320 * scale, 100, seconds * 1000)
    for number, at_ms in enumerate(times):
        yield draw_job(rng, PLANNED_JOBS, 94, at_ms, f'j{number}')
    for number in range(round(7000 * scale)):
        at_ms = 8000 + rng.randrange(1000)
        yield draw_job(rng, PLANNED_JOBS, 94, at_ms, f'u{number}')


def service_arrivals(teams: int, replicas: int) -> Iterator[Arrival]:
    """Yield services that run longer than the scenario."""
    each = replicas // teams
    for number in range(teams):
        spec = JobSpec(
            f'a.s{number}',
            f't{number}',
            'work',
            Kind.SERVICE,
            each,
            1000,
            4096,
            expected_run_ms=1_000_000_000,
            idempotent=True,
        )
        yield Arrival(0, spec, (10**10,) * each, (False,) * each)


def burst_arrivals(rng: random.Random, jobs: int) -> Iterator[Arrival]:
    """Yield services, then thousands of jobs within one second."""
    yield from service_arrivals(94, 940)
    for number in range(jobs):
        at_ms = 5000 + rng.randrange(1000)
        yield draw_job(rng, PLANNED_JOBS, 94, at_ms, f'j{number}')


def make_scenarios(quick: bool) -> dict[str, Scenario]:
    """Return all scenarios by name; quick scenarios are shorter."""
    seconds = 12 if quick else 16
    minutes = 20 if quick else 40
    planned = [
        Scenario(
            name,
            make_workers(groups, 24, 192),
            make_teams(94),
            lambda rng, scale=scale: planned_arrivals(rng, scale, seconds),
            seconds * 1000,
            5000,
            restart_every_ms=3000,
        )
        for name, scale, groups in (
            ('planned', 1.0, ((726, 16, 64, 0, 20), (254, 128, 512, 8, 10))),
            ('planned_98', 0.1, ((73, 16, 64, 0, 20), (25, 128, 512, 8, 10))),
        )
    ]
    return {
        scenario.name: scenario
        for scenario in (
            Scenario(
                'caroni',
                make_workers(CARONI_WORKERS),
                make_teams(8),
                caroni_arrivals,
                minutes * MINUTE_MS,
                cancel_at_ms=15 * MINUTE_MS,
                cancel_share=0.1,
                restart_every_ms=15 * MINUTE_MS,
            ),
            Scenario(
                'association',
                make_workers(ASSOCIATION_WORKERS),
                make_teams(24),
                association_arrivals,
                (6 if quick else 12) * MINUTE_MS,
                restart_every_ms=5 * MINUTE_MS,
            ),
            *planned,
            Scenario(
                'burst',
                make_workers(
                    ((726, 16, 64, 0, 20), (254, 128, 512, 8, 10)),
                ),
                make_teams(94),
                lambda rng: burst_arrivals(rng, 4000 if quick else 18_000),
                12_000,
                4000,
                cancel_at_ms=8000,
                cancel_share=1.0,
            ),
        )
    }
