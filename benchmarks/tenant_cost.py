"""Compare the time of a scheduling decision by the number of tenants.

The jobs of a load are the same for each number; only their tenants differ. Times
are processor time, and each ratio is to the same seed without tenants.
"""

import argparse
import time
from statistics import fmean, median

from replay import read_load, simulate_load, without_surge

from lycheerelay.workflow import CellState, Policies, dispatch

NS_PER_US = 1000


class DecisionTimer:
    """Measure each scheduling cycle with waiting steps."""

    def __init__(self) -> None:
        """Start without measured cycles."""
        self.times_us: list[float] = []
        self.waiting = 0

    def decide(self, cell: CellState, now_ms: int) -> int:
        """Run a cycle and measure its processor time."""
        waiting = sum(bool(step.waiting) for step in cell.open_steps.values())
        begun_ns = time.process_time_ns()
        started = dispatch(cell, now_ms)
        took_ns = time.process_time_ns() - begun_ns
        if waiting:
            self.times_us.append(took_ns / NS_PER_US)
            self.waiting += waiting
        return started


def main() -> None:
    """Print the times for each seed and number of tenants."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--load', default='tenants')
    parser.add_argument('--tenants', type=int, nargs='+', default=[0, 20, 94])
    parser.add_argument('--order', default='fair')
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--surge', action='store_true')
    options = parser.parse_args()
    load = read_load(options.load, None)
    if not options.surge:
        load = without_surge(load)
    policies = Policies(tenant_order=options.order)
    for number in range(options.seeds):
        base_us = 0.0
        for labels in options.tenants:
            timer = DecisionTimer()
            settings = {**load['tenants'], 'labels': labels}
            seed = load['seed'] + number
            simulate_load(
                {**load, 'tenants': settings, 'seed': seed},
                policies,
                timer.decide,
            )
            mean_us = fmean(timer.times_us)
            base_us = base_us or mean_us
            ordered = sorted(timer.times_us)
            print(
                f'seed {seed}, {labels:3} tenants: {len(ordered)} cycles,'
                f' {timer.waiting / len(ordered):.1f} steps waiting,'
                f' mean {mean_us:.0f} us, p50 {median(ordered):.0f} us,'
                f' p99 {ordered[len(ordered) * 99 // 100]:.0f} us,'
                f' ratio {mean_us / base_us:.3f}',
                flush=True,
            )


if __name__ == '__main__':
    main()
