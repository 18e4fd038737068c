"""Compare the scheduler core with common simple scheduling policies.

Every scenario has a single pool with both kinds of worker, so none exercises
placement across pools. All times are virtual and reproducible for a seed,
except the cost figures, which are real time spent inside `step`.
"""

import argparse
import gc
import json
from concurrent.futures import ProcessPoolExecutor
from statistics import median
from typing import Final, NamedTuple

from _decide_late import DelayedChargeSimulation
from _decide_load import Scenario
from _decide_scenarios import make_scenarios
from _decide_world import PoolSimulation

from lycheerelay._jobs import Kind
from lycheerelay._policy import Limits, Policy, WorkloadPolicy

POLICIES: Final = {
    'lycheerelay': ('fair', 'leftover', PoolSimulation),
    'short': ('short', 'leftover', PoolSimulation),
    'first_fit': ('age', 'first_fit', PoolSimulation),
    'worst_fit': ('age', 'worst_fit', PoolSimulation),
    'round_robin': ('age', 'round_robin', PoolSimulation),
    'random': ('age', 'random', PoolSimulation),
    'fifo': ('fifo', 'first_fit', PoolSimulation),
    'late_charge': ('fair', 'leftover', DelayedChargeSimulation),
}
DEFAULT_POLICIES: Final = (
    'lycheerelay',
    'first_fit',
    'worst_fit',
    'round_robin',
    'random',
    'fifo',
)
COLUMNS: Final = (
    'wait_p50_ms',
    'wait_p99_ms',
    'urgent_wait_max_ms',
    'packing',
    'bound_ratio',
    'refused',
    'overbooked',
    'preempted',
    'decision_p50_us',
    'decision_p99_us',
    'tick_p99_us',
    'decisions_per_s',
    'core_bytes',
)

Figures = dict[str, float]
Spread = dict[str, list[float]]
Results = dict[str, dict[str, Spread]]


class Case(NamedTuple):
    """Identify one run by scenario, policy and seed."""

    scenario: str
    policy: str
    seed: int
    quick: bool


def main() -> None:
    """Run the selected scenarios; print a table and one line of JSON."""
    options = read_options()
    names = options.scenario or list(make_scenarios(options.quick))
    policies = options.policy or list(DEFAULT_POLICIES)
    cases = [
        Case(name, policy, seed, options.quick)
        for name in names
        for policy in policies
        for seed in options.seeds
    ]
    with ProcessPoolExecutor(options.processes) as pool:
        runs = dict(zip(cases, pool.map(run_case, cases), strict=True))
    results: Results = {}
    for name in names:
        for policy in policies:
            spread = summarize(
                [
                    runs[Case(name, policy, seed, options.quick)]
                    for seed in options.seeds
                ],
            )
            results.setdefault(name, {})[policy] = spread
            print_row(name, policy, spread)
    print(json.dumps({'seeds': options.seeds, 'results': results}))


def run_case(case: Case) -> Figures:
    """Run one case; called in a worker process."""
    scenario = make_scenarios(case.quick)[case.scenario]
    return run_once(scenario, case.policy, case.seed)


def read_options() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--scenario', action='append')
    parser.add_argument('--policy', action='append', choices=POLICIES)
    parser.add_argument('--seeds', type=int, nargs='+', default=[1, 2, 3])
    parser.add_argument('--quick', action='store_true')
    parser.add_argument('--processes', type=int, default=3)
    return parser.parse_args()


def run_once(scenario: Scenario, name: str, seed: int) -> dict[str, float]:
    """Run one scenario under one policy and seed."""
    order, fit, simulation = POLICIES[name]
    workload = WorkloadPolicy(
        'work',
        Kind.BATCH,
        'pool',
        fit,
        max_attempts=1000,
        max_wait_ms=scenario.max_wait_ms,
    )
    limits = Limits(
        max_waiting_tasks=1_000_000,
        order=order,
        fit=fit,
        fit_seed=seed,
    )
    policy = Policy(1, scenario.teams, (workload,), (), limits)
    gc.collect()
    return simulation(scenario, policy, seed).run().summary()


def summarize(runs: list[dict[str, float]]) -> dict[str, list[float]]:
    """Return median, minimum and maximum of each figure over the seeds."""
    spread = {}
    for figure in runs[0]:
        values = [run[figure] for run in runs]
        spread[figure] = [
            round(value, 4)
            for value in (median(values), min(values), max(values))
        ]
    return spread


def print_row(
    name: str,
    policy: str,
    spread: dict[str, list[float]],
) -> None:
    """Print the figures of one scenario and policy as a table."""
    print(f'{name} / {policy}')
    for column in COLUMNS:
        middle, low, high = spread[column]
        print(f'  {column:<20} {middle:>14,.3f}  [{low:,.3f} .. {high:,.3f}]')


if __name__ == '__main__':
    main()
