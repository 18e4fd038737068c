"""One wide job keeps every job of the cell from starting."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import Cell, run_case  # noqa: E402

# Workers of the size of those of `emfield`.
ROOM = {'cpu': 128000, 'memMb': 524288, 'gpus': 8}
WORKERS = 8
SMALL = [{'count': 2, 'cpu': 1000, 'memMb': 500, 'estimatedMs': 500}]
# All of its tasks fit at once, and leave room for the small jobs.
WIDE = [{'count': 9000, 'cpu': 100, 'memMb': 100, 'estimatedMs': 3000}]
LARGE = f'{0xFFF:016x}'
# A job may have nothing running for 3 s, after 4 calm ones.
WAIT_S = 20


async def play(cell: Cell, with_trouble: bool) -> None:
    """Hand in small jobs, with one wide job among them."""
    await cell.begin(vms=2, workers=WORKERS, room=ROOM)
    await _hand_in(cell, 'before', 0xD00)
    await asyncio.sleep(3)
    if with_trouble:
        status = await cell.submit(cell.vms[0], LARGE, WIDE, 3)
        cell.record.note(f'the wide job was answered with {status}')
        await asyncio.sleep(1)
    await _hand_in(cell, 'after', 0xE00)
    await asyncio.sleep(WAIT_S)
    used = sum(len(worker.runs) for worker in cell.workers)
    cell.record.note(
        f'{used} tasks run; {cell.store.refused_large} appends '
        'were refused as their record is too large'
    )
    for name in cell.accepted:
        await cell.state(cell.vms[1], name)
        if name == LARGE:
            continue
        begun = [task for task in cell.runs if task.startswith(name)]
        if not begun and not used:
            cell.broken.append(
                f'LOST: {name} was accepted; for {WAIT_S} s nothing of it has '
                'run, though its turn has come and all workers are empty'
            )


async def _hand_in(cell: Cell, when: str, first: int) -> None:
    for number in range(5):
        name = f'{first + number:016x}'
        vm = cell.vms[number % len(cell.vms)]
        while await cell.submit(vm, name, SMALL, 0.5) != 200:
            await asyncio.sleep(0.5)
    cell.record.note(f'small jobs {when}: {time.ctime()}')


sys.exit(run_case(play, FOLDER))
