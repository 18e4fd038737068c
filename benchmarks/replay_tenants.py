"""Draw the jobs of the tenants of a load.

A load with `tenants` has `count` tenants of uneven size; each sends its part of
every kind of job. With `surge`, one of them sends `x` times its jobs for a time.
"""

import random
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from replay_load import MS_PER_S, Load

from lycheerelay.workflow.tenants import TenantPolicy


class Arrival(NamedTuple):
    """Hold one job that is sent; `draws` is the source of its properties."""

    at_ms: float
    kind: dict[str, Any]
    tenant: str
    draws: random.Random


def tenant_name(number: int) -> str:
    """Return the name of the tenant of a rank, counted from 1."""
    return f'tenant{number}'


def tenant_sizes(load: Load, count: int) -> dict[str, float]:
    """Return the part of each of some tenants of all jobs."""
    sizes = {
        tenant_name(number): number ** -load['tenants']['skew']
        for number in range(1, count + 1)
    }
    total = sum(sizes.values())
    return {name: size / total for name, size in sizes.items()}


def tenant_policies(load: Load) -> list[TenantPolicy]:
    """Return the tenants with weights in proportion to their usual rates."""
    per_s = sum(kind['per_s'] for kind in load['kinds'])
    settings = load['tenants']
    count = settings.get('labels', settings['count'])
    return [
        TenantPolicy(name, size * settings['headroom'] * per_s)
        for name, size in tenant_sizes(load, count).items()
    ]


def tenant_arrivals(load: Load) -> Iterator[Arrival]:
    """Yield the jobs of all tenants.

    Each tenant and kind has its own source of draws, and a surge a further one.
    So the other jobs are the same with and without the surge.
    """
    surge = load['surge']
    begin_ms = surge['at'] * MS_PER_S
    end_ms = begin_ms + surge['for_s'] * MS_PER_S
    sizes = tenant_sizes(load, load['tenants']['count'])
    for name, size in sizes.items():
        for kind in load['kinds']:
            source = f'{load["seed"]} {name} {kind["name"]}'
            usual = Stream(kind, name, size * kind['per_s'])
            yield from usual.draw(source, 0, load['length_s'] * MS_PER_S)
            if surge['x'] > 1 and name == tenant_name(surge['tenant']):
                added = usual._replace(per_s=usual.per_s * (surge['x'] - 1))
                yield from added.draw(f'{source} surge', begin_ms, end_ms)


class Stream(NamedTuple):
    """Describe the jobs of one kind that a tenant sends."""

    kind: dict[str, Any]
    tenant: str
    per_s: float

    def draw(
        self, source: str, begin_ms: float, end_ms: float
    ) -> Iterator[Arrival]:
        """Yield the jobs of a time."""
        draws = random.Random(source)
        time_ms = begin_ms
        while True:
            time_ms += draws.expovariate(self.per_s) * MS_PER_S
            if time_ms >= end_ms:
                return
            job_draws = random.Random(draws.random())
            yield Arrival(time_ms, self.kind, self.tenant, job_draws)


def relabelled(arrivals: Iterable[Arrival], load: Load) -> Iterator[Arrival]:
    """Yield the same jobs for `labels` other tenants, with 0 for none."""
    rng = random.Random(load['seed'])
    sizes = tenant_sizes(load, load['tenants']['labels']) or {'': 1}
    for arrival in arrivals:
        names = rng.choices(list(sizes), list(sizes.values()))
        yield arrival._replace(tenant=names[0])
