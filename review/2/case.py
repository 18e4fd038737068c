"""A job that was completed is run again by the next owner."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import Cell, run_case  # noqa: E402

# How long the deployment keeps the states of jobs.
STATUS_S = int(os.environ.get('STATUS_S', '12'))
# The owner drops a completed job this long after status_s, at the latest.
DROPPED_AFTER_S = 60 + 10 + 5
ROOM = {'cpu': 16000, 'memMb': 65536, 'gpus': 0}
STEPS = [{'count': 2, 'cpu': 1000, 'memMb': 500, 'estimatedMs': 500}]


async def play(cell: Cell, with_trouble: bool) -> None:
    """Complete three jobs, wait, and kill the process of the owner."""
    await cell.begin(vms=2, workers=2, room=ROOM)
    names = [f'00000000000000a{number}' for number in range(3)]
    for name in names:
        while await cell.submit(cell.vms[0], name, STEPS, 0.5) != 200:
            await asyncio.sleep(0.5)
    await asyncio.sleep(2)
    for name in names:
        while (await cell.state(cell.vms[1], name))[1] != 'completed':
            await asyncio.sleep(0.5)
    await asyncio.sleep(STATUS_S + DROPPED_AFTER_S)
    owner = cell.owner()
    if with_trouble and owner is not None:
        cell.record.note(f'SIGKILL to {owner.name}, which is the owner')
        await owner.kill()
        await asyncio.sleep(3.5)
        await owner.start()
    await asyncio.sleep(8)
    for name in names:
        await cell.state(cell.vms[1], name)
    cell.check_twice()


sys.exit(run_case(play, FOLDER, STATUS_S))
