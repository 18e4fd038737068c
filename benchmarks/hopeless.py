"""Compare the time of a scheduling cycle with and without gangs that cannot run.

Times are processor time. The cell has 271 workers in use and steps that wait for them;
the gangs are wider than the pool. `unfiltered` plans them as others are planned.
"""

import argparse
import time
from collections.abc import Callable
from statistics import fmean, median
from unittest import mock

from lycheerelay._resources import Resources
from lycheerelay.workflow import (
    CellState,
    StepSpec,
    WorkerKey,
    WorkerListing,
    WorkflowSpec,
    dispatch,
    list_worker,
    submit,
)
from lycheerelay.workflow._hopeless import HopelessFilter

NS_PER_US = 1000
WORKERS = 271
WAITING = 60
CYCLE_MS = 20
WARM_UP_CYCLES = 100
CYCLES = 300
ROOM = Resources(128_000, 524_288, 8)
TASK = Resources(62_000, 250_000, 8)
LONG_MS = 10**6


def build_cell(gangs: int) -> CellState:
    """Return a cell whose workers are in use, with steps that wait."""
    cell = CellState(fence=1, previous_orders_expire_ms=0)
    cell.loaded = True
    for number in range(WORKERS):
        key = WorkerKey(f'w-{number}')
        listing = WorkerListing(
            key, 'w:80', 'pool', 'a', 'r1', frozenset(), ROOM, False
        )
        list_worker(cell, listing, 0)
        worker = cell.workers[key]
        worker.enrolled = True
        worker.synced = True
    hand_in(cell, 'long', StepSpec(WORKERS, TASK, LONG_MS), 1)
    dispatch(cell, 0)
    cell.outbox.clear()
    for number in range(gangs):
        gang = StepSpec(WORKERS + 1, TASK, 600, gang=True)
        hand_in(cell, f'gang-{number}', gang, 10 + number)
    for number in range(WAITING):
        shape = StepSpec(2, TASK, 600, gang=bool(number % 2))
        hand_in(cell, f'job-{number}', shape, 10_000 + number)
    return cell


def hand_in(cell: CellState, name: str, shape: StepSpec, offset: int) -> None:
    """Add a job of one step."""
    submit(
        cell,
        WorkflowSpec(name, 'q', 'pool', 'x', (shape,), 3, 2.0, 1000, offset),
        offset,
    )


def measure(gangs: int) -> list[float]:
    """Return the time of each cycle after the first ones, in us."""
    cell = build_cell(gangs)
    times_us = []
    for cycle in range(WARM_UP_CYCLES + CYCLES):
        now_ms = (cycle + 1) * CYCLE_MS
        for worker in cell.workers.values():
            worker.last_contact_ms = now_ms
        begun_ns = time.process_time_ns()
        dispatch(cell, now_ms)
        times_us.append((time.process_time_ns() - begun_ns) / NS_PER_US)
        cell.outbox.clear()
    return times_us[WARM_UP_CYCLES:]


def measure_unfiltered(gangs: int) -> list[float]:
    """Return the times of cycles that plan all gangs."""
    with mock.patch.object(HopelessFilter, 'contains', return_value=False):
        return measure(gangs)


CASES: dict[str, Callable[[int], list[float]]] = {
    'filtered': measure,
    'unfiltered': measure_unfiltered,
}


def main() -> None:
    """Print the times of each case, without and with gangs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--gangs', type=int, default=500)
    options = parser.parse_args()
    for name, run in CASES.items():
        for gangs in (0, options.gangs):
            times_us = run(gangs)
            print(
                f'{name}, {gangs} gangs: median {median(times_us):.0f} us, '
                f'mean {fmean(times_us):.0f} us, longest {max(times_us):.0f} us'
            )


if __name__ == '__main__':
    main()
