"""Kill the owner of a cell whose restoring takes more than eight seconds."""

import asyncio
import json
import statistics
import sys
import time

from cell_2 import BROKEN, HELD, NOT_RUN, QUEUE, CaseCell, main

from lycheerelay.platform._decode import decode_job
from lycheerelay.workflow import CellState, QueuePolicy, submit
from lycheerelay_standins.platform import CellShape, Shape

# Tasks of most jobs go on for the whole case, each step after the one before.
LONG_MS = 150_000
STEPS = 100
# The jobs are as many as a process of this machine opens in this time.
OPENING_S = 11
LONGEST_FILL_S = 45
# Some tasks end all the time, on the workers of one rack.
SHORT_MS = 4000
SHORT_JOBS = 8
SHORT_RACK = 'r1-2'
TAKEOVERS = 6
# No takeover begins after the first time, and none is waited for after the second.
LAST_KILL_S = 92
LATEST_S = 110
LOADED = '"message":"takeover_loaded"'


def chain(expected_ms: int, label: str = '') -> list[dict[str, object]]:
    """Return a chain of small steps."""
    step = {'count': 1, 'cpu': 400, 'memMb': 10, 'estimatedMs': expected_ms}
    if label:
        step['requirements'] = label
    return [
        {**step, 'after': [number - 1]} if number else step
        for number in range(STEPS)
    ]


def count_jobs() -> int:
    """Return how many jobs take OPENING_S to open, as an owner opens them."""
    policy = QueuePolicy(QUEUE, 'cpu')
    raw = json.dumps({'spec': 'x', 'steps': chain(LONG_MS)}).encode()
    spec = decode_job(raw, '0' * 16, policy, 0).ok_value
    taken_s = []
    for _ in range(5):
        begun_s = time.process_time()
        submit(CellState(1, 0), spec, 0)
        taken_s.append(time.process_time() - begun_s)
    return int(OPENING_S / statistics.median(taken_s))


def count_loaded(case: CaseCell) -> int:
    """Return how many takeovers have come to their end."""
    logs = [vm.log.read_text() for vm in case.cell.vms.values()]
    return sum(log.count(LOADED) for log in logs)


def doubled(case: CaseCell) -> list[str]:
    """Return the tasks that two workers ran at the same time."""
    broken = case.cell.audit.broken
    return [text for text in broken if text.startswith('TWICE')]


async def fill(case: CaseCell) -> None:
    """Hand in jobs, each after the one before is known to the owner."""
    for number in range(SHORT_JOBS):
        name = f'{0xF000 + number:016x}'
        await case.submit(name, chain(SHORT_MS, SHORT_RACK), SHORT_MS)
    until_s = time.monotonic() + LONGEST_FILL_S
    vm = case.vms[0]
    for number in range(count_jobs()):
        name = f'{number:016x}'
        await case.submit(name, chain(LONG_MS), LONG_MS, quiet=True)
        await case.call('GET', case.job_url(vm, name))
        if time.monotonic() > until_s:
            break
    case.note(f'{len(case.accepted)} jobs of {STEPS} steps were accepted')


async def take_over(case: CaseCell) -> bool:
    """Kill the owner and wait for the next one; return whether it came."""
    loaded = count_loaded(case)
    await case.kill(case.owner())
    begun_s = time.monotonic()
    while count_loaded(case) == loaded:
        if time.monotonic() - case.begun_s > LATEST_S:
            return False
        await asyncio.sleep(0.2)
    case.note(f'an owner serves {time.monotonic() - begun_s:.1f} s after that')
    await asyncio.sleep(3)
    return True


async def scenario(case: CaseCell, trouble: bool) -> int:
    """Return whether no task runs on two workers at the same time."""
    await asyncio.sleep(1)
    await fill(case)
    await asyncio.sleep(3)
    running = sum(len(worker.runs) for worker in case.cell.workers.values())
    case.note(
        f'{running} tasks are at work on {len(case.cell.workers)} workers'
    )
    if not running:
        return NOT_RUN
    for _ in range(TAKEOVERS):
        if doubled(case) or time.monotonic() - case.begun_s > LAST_KILL_S:
            break
        if not trouble:
            await asyncio.sleep(10)
        elif not await take_over(case):
            break
    for text in doubled(case)[:20]:
        case.note(text)
    case.note(f'{len(doubled(case))} tasks ran on two workers at the same time')
    return BROKEN if doubled(case) else HELD


if __name__ == '__main__':
    workers = (Shape('cpu', rack='r1-1'),) * 6
    # These have room for tasks that are started again.
    workers += (Shape('cpu', cores_milli=128_000, rack=SHORT_RACK),) * 2
    sys.exit(main(scenario, CellShape(vms=3, workers=workers)))
