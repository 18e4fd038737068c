"""Replay load patterns through the workflow core in virtual time.

Each pattern is a file in benchmarks/loads. For each kind of job, the table
shows the shares in time, late, failed and refused, and the wait for the first
start. For each pool, it shows the shares of cores and accelerators in use and
the share of work that was lost. `--plot FILE` draws the shares in time and late
as SVG.
"""

import argparse
import random
import tomllib
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

from replay_load import (
    MS_PER_S,
    DrawnRunModel,
    Load,
    arrival_times_ms,
    draw_job,
    worker_listings,
)
from replay_plot import Bar, draw_bars
from replay_tenants import (
    Arrival,
    relabelled,
    tenant_arrivals,
    tenant_name,
    tenant_policies,
)

from lycheerelay.rehearsal import ADVICE_QUEUES, Simulation
from lycheerelay.workflow import (
    VALUE_EXPIRY_FACTOR,
    CellState,
    JobPhase,
    Policies,
    RunOutcome,
    dispatch,
    lateness_ms,
    objective_ms,
    predict_waits,
    predicted_wait_ms,
)

LOADS: Final = Path(__file__).parent / 'loads'
# A replay may take this multiple of the load's length, so that open jobs can
# end after the last arrival.
MAX_DURATION_FACTOR: Final = 2


class JobResult(NamedTuple):
    """Hold the result of one job; a refused job has no phase."""

    kind: str
    phase: JobPhase | None
    wait_ms: int
    took_ms: int
    objective_ms: int
    tenant: str = ''


class ReplayResult(NamedTuple):
    """Hold the job results and the resource usage of one replay."""

    job_results: tuple[JobResult, ...]
    used: dict[str, float]
    wasted: dict[str, float]
    errors_ms: tuple[int, ...]


class Summary(NamedTuple):
    """Summarize the jobs of one name; results are shares of `jobs`."""

    name: str
    jobs: int
    in_time: float
    late: float
    failed: float
    refused: float
    wait_p50_ms: int
    wait_p99_ms: int


class UsageSampler:
    """Sample the shares of cores and accelerators in use."""

    def __init__(self, simulation: Simulation) -> None:
        """Start without samples."""
        self.simulation = simulation
        self.sums: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()

    def sample(self) -> None:
        """Add the current usage of every worker."""
        for worker in self.simulation.cell.workers.values():
            used = worker.capacity.minus(worker.free)
            pairs = zip(used._fields, used, worker.capacity, strict=True)
            for name, amount, total in pairs:
                if total and name in {'cores_milli', 'accelerators'}:
                    key = f'{worker.pool} {name.partition("_")[0]}'
                    self.sums[key] += amount / total
                    self.counts[key] += 1

    def shares(self) -> dict[str, float]:
        """Return the mean share for each pool and resource."""
        return {key: self.sums[key] / self.counts[key] for key in self.sums}


def simulate_load(
    load: Load,
    policies: Policies,
    decide: Callable[[CellState, int], int] = dispatch,
) -> ReplayResult:
    """Simulate a load to its end."""
    rng = random.Random(load['seed'])
    model = DrawnRunModel(load, rng)
    cell = CellState(1, 0, policies=policies)
    simulation = Simulation(
        cell, model, advice_queues=load.get('advice_queues', ADVICE_QUEUES)
    )
    simulation.decide = decide
    model.simulation = simulation
    for entry in worker_listings(load):
        simulation.add_worker(entry)
    model.choose_impaired(list(simulation.workers))
    refused: list[JobResult] = []
    if 'tenants' in load:
        cell.tenants.window_ms = int(load['tenants']['window_s'] * MS_PER_S)
        cell.tenants.configure(1, tenant_policies(load))
    for arrival in _arrivals(rng, load, model):
        simulation.at(
            arrival.at_ms, _submit_arrival, simulation, model, arrival, refused
        )
    for mass_cancel in load.get('cancels', ()):
        simulation.at(
            mass_cancel['at'] * MS_PER_S,
            _cancel_jobs,
            simulation,
            rng,
            mass_cancel,
        )
    sampler = UsageSampler(simulation)
    simulation.on_tick = sampler.sample
    until_ms = int(load['length_s'] * MS_PER_S)
    simulation.run(
        until_ms * MAX_DURATION_FACTOR, lambda: _is_over(simulation, until_ms)
    )
    job_results = (*_job_results(simulation), *refused)
    errors_ms = tuple(_prediction_errors(simulation, model))
    return ReplayResult(
        job_results, sampler.shares(), _wasted_shares(simulation), errors_ms
    )


def _is_over(simulation: Simulation, until_ms: int) -> bool:
    jobs = simulation.cell.jobs.values()
    return simulation.now_ms > until_ms and all(job.is_final for job in jobs)


def _arrivals(
    rng: random.Random, load: Load, model: DrawnRunModel
) -> Iterator[Arrival]:
    if 'tenants' in load:
        arrivals = tenant_arrivals(load)
        has_labels = 'labels' in load['tenants']
        yield from relabelled(arrivals, load) if has_labels else arrivals
        return
    for kind in load['kinds']:
        for arrival_ms in arrival_times_ms(rng, load, kind):
            yield Arrival(arrival_ms, kind, '', model.job_rng)


def _submit_arrival(
    simulation: Simulation,
    model: DrawnRunModel,
    arrival: Arrival,
    refused: list[JobResult],
) -> None:
    spec = draw_job(arrival.draws, model, arrival.kind, simulation.now_ms)
    spec = spec._replace(tenant=arrival.tenant)
    points = predict_waits(simulation.cell, simulation.now_ms).get(
        spec.pool, ()
    )
    wait_ms = predicted_wait_ms(spec, points)
    if lateness_ms(spec, wait_ms):
        refused.append(JobResult(spec.queue, None, 0, 0, 0, spec.tenant))
        return
    model.predicted_ms[spec.job_id] = wait_ms
    simulation.submit(spec)


def _cancel_jobs(
    simulation: Simulation, rng: random.Random, mass_cancel: dict[str, Any]
) -> None:
    for job in list(simulation.cell.jobs.values()):
        if not job.is_final and rng.random() < mass_cancel['share']:
            simulation.cancel(job.spec.job_id)


def _job_results(simulation: Simulation) -> Iterator[JobResult]:
    for job in simulation.cell.jobs.values():
        spec = job.spec
        ended_ms = job.finalized_ms if job.is_final else simulation.now_ms
        started_ms = simulation.first_start_ms.get(
            spec.job_id, simulation.now_ms
        )
        yield JobResult(
            spec.queue,
            job.phase,
            started_ms - spec.accepted_ms,
            ended_ms - spec.accepted_ms,
            objective_ms(spec),
            spec.tenant,
        )


def _prediction_errors(
    simulation: Simulation, model: DrawnRunModel
) -> Iterator[int]:
    """Yield actual minus predicted wait of jobs with a predicted wait."""
    for job_id, wait_ms in model.predicted_ms.items():
        if wait_ms:
            spec = simulation.cell.jobs[job_id].spec
            started_ms = simulation.first_start_ms.get(
                job_id, simulation.now_ms
            )
            yield started_ms - spec.accepted_ms - wait_ms


def _wasted_shares(simulation: Simulation) -> dict[str, float]:
    total: Counter[str] = Counter()
    lost: Counter[str] = Counter()
    for record in simulation.history:
        spec = simulation.cell.jobs[record.run.task.job_id].spec
        step = spec.steps[record.run.task.step]
        took_ms = record.ended_ms - record.begun_ms
        work = max(step.demand.cores_milli, 1) * took_ms
        total[spec.pool] += work
        is_saved = record.outcome is RunOutcome.STOPPED and step.checkpoints
        if record.outcome is not RunOutcome.DONE and not is_saved:
            lost[spec.pool] += work
    return {pool: lost[pool] / total[pool] for pool in total}


def summarize(
    job_results: Iterable[JobResult], name_of: Callable[[JobResult], str]
) -> Iterator[Summary]:
    """Summarize job results by a name; cancelled jobs are left out."""
    kinds: dict[str, list[JobResult]] = {}
    for result in job_results:
        if result.phase is not JobPhase.CANCELLED:
            kinds.setdefault(name_of(result), []).append(result)
    for kind, rows in sorted(kinds.items()):
        done = [row for row in rows if row.phase is JobPhase.COMPLETED]
        in_time = sum(row.took_ms <= row.objective_ms for row in done)
        late = sum(
            row.objective_ms
            < row.took_ms
            <= VALUE_EXPIRY_FACTOR * row.objective_ms
            for row in done
        )
        failed = sum(row.phase is JobPhase.FAILED for row in rows)
        refused = sum(row.phase is None for row in rows)
        waits = sorted(row.wait_ms for row in rows)
        yield Summary(
            kind,
            len(rows),
            in_time / len(rows),
            late / len(rows),
            failed / len(rows),
            refused / len(rows),
            waits[len(waits) // 2],
            waits[int(len(waits) * 0.99)],
        )


class Replay(NamedTuple):
    """Hold the rows of a load by kind and by tenant, and a usage summary."""

    kinds: list[Summary]
    tenants: list[Summary]
    used: str


def replay(load: Load, policies: Policies, seeds: int) -> Replay:
    """Simulate a load for each seed."""
    results = [
        simulate_load({**load, 'seed': load.get('seed', 1) + number}, policies)
        for number in range(seeds)
    ]
    rows = [row for each in results for row in each.job_results]
    parts = [
        f'{key} {sum(each.used.get(key, 0) for each in results) / seeds:.3f}'
        for key in sorted(results[0].used)
    ]
    parts.extend(
        f'{pool} lost '
        f'{sum(each.wasted.get(pool, 0) for each in results) / seeds:.3f}'
        for pool in sorted(results[0].wasted)
    )
    errors_ms = sorted(error for each in results for error in each.errors_ms)
    if errors_ms:
        middle = errors_ms[len(errors_ms) // 2]
        parts.append(
            f'{len(errors_ms)} waits predicted, error p50 {middle} ms, '
            f'p10 {errors_ms[len(errors_ms) // 10]} ms, '
            f'p90 {errors_ms[len(errors_ms) * 9 // 10]} ms',
        )
    return Replay(
        list(summarize(rows, lambda row: row.kind)),
        list(_summarize_tenants(load, rows)),
        ', '.join(parts),
    )


def _summarize_tenants(load: Load, rows: list[JobResult]) -> Iterator[Summary]:
    """Yield a row for each tenant, and for all but the one that surges."""
    if 'tenants' not in load:
        return
    yield from summarize(rows, lambda row: row.tenant)
    surging = tenant_name(load['surge']['tenant'])
    others = [row for row in rows if row.tenant != surging]
    yield from summarize(others, lambda row: f'others {row.kind}')
    yield from summarize(
        rows, lambda row: 'surging' if row.tenant == surging else 'others'
    )


def without_surge(load: Load) -> Load:
    """Return the same load without the surge."""
    return {**load, 'surge': {**load['surge'], 'x': 1}}


def print_table(name: str, policies: Policies, result: Replay) -> None:
    """Print the table of one replay."""
    settings = ', '.join(
        f'{field} {choice}' for field, choice in policies._asdict().items()
    )
    print(f'{name}, {settings}')
    for row in (*result.kinds, *result.tenants):
        print(
            f'  {row.name:14}{row.jobs:5} jobs'
            f'  in time {row.in_time:.3f}  late {row.late:.3f}'
            f'  failed {row.failed:.3f}  refused {row.refused:.3f}'
            f'  wait p50 {row.wait_p50_ms:6} ms  p99 {row.wait_p99_ms:6} ms',
        )
    print(f'  in use: {result.used}')


def read_load(name: str, pool: str | None) -> Load:
    """Read a load; with `pool`, keep only the kinds of that pool."""
    load: Load = tomllib.loads((LOADS / f'{name}.toml').read_text())
    if pool:
        load['kinds'] = [kind for kind in load['kinds'] if kind['pool'] == pool]
    return load


def parse_policies(text: str) -> Policies:
    """Return the default policies with the changes of `NAME=VALUE,...`."""
    changes: dict[str, Any] = {}
    for part in filter(None, text.split(',')):
        name, _, choice = part.partition('=')
        default = Policies._field_defaults[name]
        changes[name] = (
            choice == 'True' if default is True else type(default)(choice)
        )
    return Policies(**changes)


def main() -> None:
    """Replay the selected loads with the selected scheduler options."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = sorted(path.stem for path in LOADS.glob('*.toml'))
    parser.add_argument('loads', nargs='*', default=names)
    parser.add_argument(
        '--policies',
        action='append',
        metavar='NAME=VALUE,...',
        help='replay with these policies, the rest as by default',
    )
    parser.add_argument('--pool', help='only the kinds of this pool')
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--plot', type=Path, help='SVG file to draw')
    options = parser.parse_args()
    bars: list[Bar] = []
    for name in options.loads or names:
        load = read_load(name, options.pool)
        for choices in options.policies or ['']:
            policies = parse_policies(choices)
            result = replay(load, policies, options.seeds)
            print_table(name, policies, result)
            if 'surge' in load:
                calm = replay(without_surge(load), policies, options.seeds)
                print_table(f'{name} without surge', policies, calm)
            label = choices or 'default'
            bars.extend(
                Bar(f'{name}: {row.name}', label, row.in_time, row.late)
                for row in result.kinds
            )
    if options.plot is not None:
        options.plot.write_text(draw_bars(bars))


if __name__ == '__main__':
    main()
