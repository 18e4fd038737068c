"""A caller cancels a job whose hand-in had no answer, and the job runs later.

The store loses the answers to the hand-in and carries it out some seconds later.
Until then the cancelling is acknowledged as that of a job that does not exist.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from cell_3 import Cell, run_case  # noqa: E402

from lycheerelay.serving import Reply  # noqa: E402
from lycheerelay_standins.platform._network import Request  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
JOB = '00000000000000f1'
OTHER = '00000000000000f2'
# The store carries out a call without an answer 1 to 6 s later.
LATE_S = 6
CANCEL_S = 3
CONTACT_S = 3
# Until it ends, the other job takes all capacity, so that the task starts when the
# store has been sound for far longer than `contactMs`.
OTHER_MS = 14_000
BLOCKER = {'count': 2, 'cpu': 16000, 'memMb': 500, 'estimatedMs': OTHER_MS}
STEP = {'count': 1, 'cpu': 1000, 'memMb': 500, 'estimatedMs': 500}


class LossyStore:
    """Lose the answers to appends that name a job, and execute them late."""

    def __init__(self, cell: Cell) -> None:
        """Serve the store of a cell without faults at first."""
        self.cell = cell
        self.handle_soundly = cell.store.handle
        self.is_lossy = False

    async def handle(self, request: Request) -> Reply:
        """Answer one call, or carry it out late without an answer."""
        is_append = request.path.endswith('/log-append')
        if not (self.is_lossy and is_append and JOB.encode() in request.body):
            return await self.handle_soundly(request)
        self.cell.record.write('the store loses the answer to an append')
        await asyncio.sleep(LATE_S)
        await self.handle_soundly(request)
        self.cell.record.write('the store has carried out that append')
        # The channel returns nothing further.
        await asyncio.sleep(60)
        return Reply(503)


async def case() -> bool:
    """Return whether the rule was broken."""
    cell = Cell(FOLDER)
    for _ in range(2):
        cell.add_worker('desk')
    cell.configure({'check': 'desk'})
    store = LossyStore(cell)
    cell.store.handle = store.handle  # type: ignore[method-assign]
    async with cell:
        await asyncio.sleep(2)
        await cell.submit('check', OTHER, BLOCKER, OTHER_MS)
        await asyncio.sleep(1)
        cell.work_ms[JOB] = 500
        body = {'spec': 'x', 'steps': [STEP]}
        store.is_lossy = HAS_TROUBLE
        status, _ = await cell.call('POST', f'/check/{JOB}', body, 1)
        store.is_lossy = False
        cancelled, _ = await cell.call('DELETE', f'/check/{JOB}', None, 2)
        acknowledged_s = time.monotonic()
        if cancelled not in {200, 410}:
            raise RuntimeError('the cancelling was not acknowledged')
        await asyncio.sleep(OTHER_MS / 1000 + 6)
        await cell.state('check', JOB)
        delays_s = [start[0] - acknowledged_s for start in cell.starts_of(JOB)]
        cell.record.write(
            f'the hand-in got {status}, the cancelling {cancelled}; starts '
            f'after so many s: {[round(delay_s, 1) for delay_s in delays_s]}'
        )
        limit_s = max(CANCEL_S, LATE_S + CONTACT_S)
        return any(delay_s > limit_s for delay_s in delays_s)


if __name__ == '__main__':
    sys.exit(run_case(case))
