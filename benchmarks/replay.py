"""Replay patterns of load through the workflow core in virtual time.

Each pattern is a file in benchmarks/loads. The table tells, for each kind of
job, the share on time, late, failed and refused, and the wait for the first
start; and, for each pool, the share of cores and accelerators in use and the
share of the work that was thrown away. `--plot FILE` draws the same as SVG.
"""

import argparse
import random
import tomllib
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

from replay_load import (
    MS,
    DrawnTruth,
    Load,
    arrivals,
    draw_job,
    listings,
)
from replay_plot import Bar, draw_bars

from lycheerelay.rehearsal import Simulation
from lycheerelay.workflow import (
    ORDERS,
    VALUE_EXPIRY_FACTOR,
    CellState,
    JobPhase,
    RunOutcome,
    lateness_ms,
    objective_ms,
    predict_waits,
    predicted_wait_ms,
)

LOADS: Final = Path(__file__).parent / 'loads'
# As the core keeps room by default.
RESERVING: Final = 5
# After the last arrival a replay goes on for as long again.
TAIL: Final = 2


class Setting(NamedTuple):
    """Name what is compared."""

    order: str
    reserving: int


class Outcome(NamedTuple):
    """Tell what became of one job; times in ms; no phase: refused."""

    kind: str
    phase: JobPhase | None
    wait_ms: int
    took_ms: int
    objective_ms: int


class Result(NamedTuple):
    """Tell what became of a replay."""

    outcomes: tuple[Outcome, ...]
    used: dict[str, float]
    wasted: dict[str, float]
    errors_ms: tuple[int, ...]


class KindRow(NamedTuple):
    """Sum up the jobs of one kind."""

    kind: str
    jobs: int
    in_time: float
    late: float
    failed: float
    refused: float
    wait_p50_ms: int
    wait_p99_ms: int


class Usage:
    """Add up the share of cores and accelerators in use."""

    def __init__(self, play: Simulation) -> None:
        """Start with nothing seen."""
        self.play = play
        self.sums: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()

    def see(self) -> None:
        """Add what is in use now."""
        for worker in self.play.cell.workers.values():
            used = worker.capacity.minus(worker.free)
            pairs = zip(used._fields, used, worker.capacity, strict=True)
            for name, amount, whole in pairs:
                if whole and name in {'cores_milli', 'accelerators'}:
                    key = f'{worker.pool} {name.partition("_")[0]}'
                    self.sums[key] += amount / whole
                    self.counts[key] += 1

    def shares(self) -> dict[str, float]:
        """Return the mean shares."""
        return {key: self.sums[key] / self.counts[key] for key in self.sums}


def play_load(load: Load, setting: Setting) -> Result:
    """Play a load to its end and return what became of its jobs."""
    rng = random.Random(load['seed'])
    truth = DrawnTruth(load, rng)
    cell = CellState(
        1,
        0,
        order=setting.order,
        reserving_steps=setting.reserving,
    )
    play = Simulation(cell, truth)
    truth.play = play
    for entry in listings(load):
        play.add_worker(entry)
    truth.choose_unwell(list(play.workers))
    refused: list[Outcome] = []
    for kind in load['kinds']:
        for arrival_ms in arrivals(rng, load, kind):
            play.at(arrival_ms, _arrive, play, truth, kind, refused)
    for wave in load.get('cancels', ()):
        play.at(wave['at'] * MS, _cancel_wave, play, rng, wave)
    usage = Usage(play)
    play.on_tick = usage.see
    until_ms = int(load['length_s'] * MS)
    play.run(until_ms * TAIL, lambda: _is_over(play, until_ms))
    outcomes = (*_outcomes(play), *refused)
    errors_ms = tuple(_prediction_errors(play, truth))
    return Result(outcomes, usage.shares(), _wasted(play), errors_ms)


def _is_over(play: Simulation, until_ms: int) -> bool:
    jobs = play.cell.jobs.values()
    return play.now_ms > until_ms and all(job.is_final for job in jobs)


def _arrive(
    play: Simulation,
    truth: DrawnTruth,
    kind: dict[str, Any],
    refused: list[Outcome],
) -> None:
    spec = draw_job(truth.rng, truth, kind, play.now_ms)
    points = predict_waits(play.cell, play.now_ms).get(spec.pool, ())
    wait_ms = predicted_wait_ms(spec, points)
    if lateness_ms(spec, wait_ms):
        refused.append(Outcome(spec.queue, None, 0, 0, 0))
        return
    truth.predicted_ms[spec.job_id] = wait_ms
    play.submit(spec)


def _cancel_wave(
    play: Simulation, rng: random.Random, wave: dict[str, Any]
) -> None:
    for job in list(play.cell.jobs.values()):
        if not job.is_final and rng.random() < wave['share']:
            play.cancel(job.spec.job_id)


def _outcomes(play: Simulation) -> Iterator[Outcome]:
    for job in play.cell.jobs.values():
        spec = job.spec
        ended_ms = job.finalized_ms if job.is_final else play.now_ms
        begun_ms = play.first_start_ms.get(spec.job_id, play.now_ms)
        yield Outcome(
            spec.queue,
            job.phase,
            begun_ms - spec.accepted_ms,
            ended_ms - spec.accepted_ms,
            objective_ms(spec),
        )


def _prediction_errors(play: Simulation, truth: DrawnTruth) -> Iterator[int]:
    """Yield wait less prediction, for jobs of which a wait was predicted."""
    for job_id, wait_ms in truth.predicted_ms.items():
        if wait_ms:
            spec = play.cell.jobs[job_id].spec
            begun_ms = play.first_start_ms.get(job_id, play.now_ms)
            yield begun_ms - spec.accepted_ms - wait_ms


def _wasted(play: Simulation) -> dict[str, float]:
    whole: Counter[str] = Counter()
    lost: Counter[str] = Counter()
    for record in play.history:
        spec = play.cell.jobs[record.run.task.job_id].spec
        step = spec.steps[record.run.task.step]
        took_ms = record.ended_ms - record.begun_ms
        work = max(step.demand.cores_milli, 1) * took_ms
        whole[spec.pool] += work
        is_saved = record.how is RunOutcome.STOPPED and step.checkpoints
        if record.how is not RunOutcome.DONE and not is_saved:
            lost[spec.pool] += work
    return {pool: lost[pool] / whole[pool] for pool in whole}


def sum_up(outcomes: Iterable[Outcome]) -> Iterator[KindRow]:
    """Sum the outcomes up by kind; cancelled jobs are left out."""
    kinds: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        if outcome.phase is not JobPhase.CANCELLED:
            kinds.setdefault(outcome.kind, []).append(outcome)
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
        yield KindRow(
            kind,
            len(rows),
            in_time / len(rows),
            late / len(rows),
            failed / len(rows),
            refused / len(rows),
            waits[len(waits) // 2],
            waits[int(len(waits) * 0.99)],
        )


def replay(
    load: Load, setting: Setting, seeds: int
) -> tuple[list[KindRow], str]:
    """Play a load with some seeds; return its rows and what it used."""
    results = [
        play_load({**load, 'seed': load.get('seed', 1) + number}, setting)
        for number in range(seeds)
    ]
    rows = list(
        sum_up(outcome for each in results for outcome in each.outcomes),
    )
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
    return rows, ', '.join(parts)


def show(name: str, setting: Setting, rows: list[KindRow], used: str) -> None:
    """Print the table of one replay."""
    print(f'{name}, order {setting.order}, room kept for {setting.reserving}')
    for row in rows:
        print(
            f'  {row.kind:14}{row.jobs:5} jobs'
            f'  in time {row.in_time:.3f}  late {row.late:.3f}'
            f'  failed {row.failed:.3f}  refused {row.refused:.3f}'
            f'  wait p50 {row.wait_p50_ms:6} ms  p99 {row.wait_p99_ms:6} ms',
        )
    print(f'  in use: {used}')


def read_load(name: str, pool: str | None) -> Load:
    """Read a load; keep the kinds of one pool if one is named."""
    load: Load = tomllib.loads((LOADS / f'{name}.toml').read_text())
    if pool:
        load['kinds'] = [kind for kind in load['kinds'] if kind['pool'] == pool]
    return load


def main() -> None:
    """Replay the chosen loads under the chosen orders."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = sorted(path.stem for path in LOADS.glob('*.toml'))
    parser.add_argument('loads', nargs='*', default=names)
    parser.add_argument('--order', choices=sorted(ORDERS), action='append')
    parser.add_argument('--reserving', type=int, action='append')
    parser.add_argument('--pool', help='only the kinds of this pool')
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--plot', type=Path, help='SVG file to draw')
    options = parser.parse_args()
    bars: list[Bar] = []
    for name in options.loads or names:
        load = read_load(name, options.pool)
        for order in options.order or ['slack']:
            for reserving in options.reserving or [RESERVING]:
                setting = Setting(order, reserving)
                rows, used = replay(load, setting, options.seeds)
                show(name, setting, rows, used)
                label = f'{order} {reserving}'
                bars.extend(
                    Bar(f'{name}: {row.kind}', label, row.in_time, row.late)
                    for row in rows
                )
    if options.plot is not None:
        options.plot.write_text(draw_bars(bars))


if __name__ == '__main__':
    main()
