"""Hand in one job of 1,500 steps beside small jobs, then ask for the small ones."""

import asyncio
import sys

from cell_2 import BROKEN, FINISH_S, HELD, CaseCell, main

from lycheerelay_standins.platform import CellShape, Shape

SMALL_STEP = {'count': 1, 'cpu': 500, 'memMb': 100, 'estimatedMs': 300}
SMALL_WORK_MS = 300
LARGE_STEPS = 1500
BEFORE = 3
AFTER = 5
# How long the small jobs are asked for, after FINISH_S.
ASKING_S = 20


def large_steps() -> list[dict[str, object]]:
    """Return a chain of small steps, 100 KB as a request body."""
    return [
        {**SMALL_STEP, 'after': [number - 1]} if number else SMALL_STEP
        for number in range(LARGE_STEPS)
    ]


async def scenario(case: CaseCell, trouble: bool) -> int:
    """Return whether each accepted small job is answered as completed."""
    await asyncio.sleep(1)
    before = [f'{number:016x}' for number in range(BEFORE)]
    for name in before:
        await case.submit(name, [SMALL_STEP], SMALL_WORK_MS)
    await asyncio.sleep(2)
    calls = []
    if trouble:
        calls.append(case.submit('f' * 16, large_steps(), SMALL_WORK_MS))
    after = [f'{number:016x}' for number in range(BEFORE, BEFORE + AFTER)]
    calls += [case.submit(name, [SMALL_STEP], SMALL_WORK_MS) for name in after]
    tasks = []
    for call in calls:
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(0.5)
    await asyncio.gather(*tasks)
    small = [name for name in (*before, *after) if name in case.accepted]
    case.note(f'the traffic ends; {len(small)} small jobs were accepted')
    await asyncio.sleep(FINISH_S)
    lost = await case.await_completed(small, ASKING_S)
    for name in small:
        case.note(f'run {name}: {case.runs(name) or "never started"}')
    if not lost:
        return HELD
    case.note(f'LOST: accepted, but never answered as completed: {lost}')
    return BROKEN


if __name__ == '__main__':
    shape = CellShape(vms=3, workers=(Shape('cpu'),) * 4)
    sys.exit(main(scenario, shape))
