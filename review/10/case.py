"""Cancel a job of 4,000 running tasks."""

import asyncio
import sys
import time
from pathlib import Path

from cell_2 import BROKEN, HELD, NOT_RUN, OK, CaseCell, main

from lycheerelay_standins.platform import CellShape, Shape

WORKERS = 8
WIDE = 4000
# As wide as the widest steps of the site.
NARROW = 44
WORK_MS = 200_000
JOB = 'c' * 16
# Bounds of the site: `cancel_ms` and `stopTimeoutMs`.
BOUND_S = 3.0 + 0.9
FILL_S = 50
WATCHED_S = 20
CLOCK_TICKS_PER_S = 100


def running(case: CaseCell) -> int:
    """Return how many tasks are at work."""
    return sum(len(worker.runs) for worker in case.cell.workers.values())


def processor_s(case: CaseCell) -> float:
    """Return the processor time of the busiest VM, its owner's."""
    times = []
    for vm in case.cell.vms.values():
        if vm.process is not None:
            fields = Path(f'/proc/{vm.process.pid}/stat').read_text().split()
            times.append(int(fields[13]) + int(fields[14]))
    return max(times) / CLOCK_TICKS_PER_S


async def scenario(case: CaseCell, trouble: bool) -> int:
    """Return whether all tasks have ended some time after the cancelling."""
    await asyncio.sleep(1)
    tasks = WIDE if trouble else NARROW
    step = {'count': tasks, 'cpu': 100, 'memMb': 1, 'estimatedMs': WORK_MS}
    await case.submit(JOB, [step], WORK_MS)
    until_s = time.monotonic() + FILL_S
    while running(case) < tasks and time.monotonic() < until_s:
        await asyncio.sleep(0.5)
    case.note(f'{running(case)} tasks are at work on {WORKERS} workers')
    if running(case) < tasks:
        return NOT_RUN
    await asyncio.sleep(3)
    owner_s = processor_s(case)
    own_s = time.process_time()
    status, _ = await case.call('DELETE', case.job_url(case.vms[0], JOB))
    acknowledged_s = time.monotonic()
    case.note(f'DELETE {JOB} at {case.vms[0]}: {status}')
    if status != OK:
        return NOT_RUN
    late = 0
    while time.monotonic() < acknowledged_s + WATCHED_S:
        await asyncio.sleep(0.5)
        passed_s = time.monotonic() - acknowledged_s
        case.note(f'{passed_s:.1f} s after the answer {running(case)} run')
        if passed_s > BOUND_S and not late:
            late = running(case)
        if not running(case):
            break
    passed_s = time.monotonic() - acknowledged_s
    owner_s = processor_s(case) - owner_s
    own_s = time.process_time() - own_s
    case.note(
        f'of these {passed_s:.1f} s the owner used {owner_s:.1f} s of a '
        f'processor, all stand-ins together {own_s:.1f} s of another'
    )
    if not late:
        return HELD
    case.note(f'UNASKED: {late} tasks run on after {BOUND_S} s')
    return BROKEN


if __name__ == '__main__':
    worker = Shape('cpu', cores_milli=128_000)
    sys.exit(main(scenario, CellShape(vms=3, workers=(worker,) * WORKERS)))
