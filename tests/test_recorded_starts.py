"""Test that no task is started before its assignment is in the store.

Guards against starts that were decided while an earlier record of their job
was on its way: a successor that does not know them runs their tasks again.
"""

import asyncio
from typing import Any

import orjson

from lycheerelay.serving import Reply
from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    Request,
    Shape,
)
from platform_days import STORE, job, play, step

APPEND_S = 0.09
SMALL_WORKERS = CellShape(workers=(Shape('cpu', 2000),) * 3)


def _unrecorded_starts(cell: PlatformCell) -> list[str]:
    """Return a list that grows by each start that the store does not know."""
    found: list[str] = []
    check_start = cell.audit.check_start

    def check(worker: Any, request: dict[str, Any], now_ms: int) -> Any:
        job_id, _, index, member = request['task'].rsplit('.', 3)
        _, raw = cell.store.partition('keyed.progress').newest[job_id]
        recorded = {
            (row[1], task[0], task[2])
            for row in orjson.loads(raw)['steps']
            for task in row[3]
        }
        if (int(index), int(member), request['run']) not in recorded:
            found.append(f'{request["task"]} run {request["run"]}')
        return check_start(worker, request, now_ms)

    cell.audit.check_start = check  # type: ignore[method-assign]
    return found


def _delay_appends(cell: PlatformCell) -> Any:
    async def handle(request: Request) -> Reply:
        if request.path.endswith('/log-append'):
            await asyncio.sleep(APPEND_S)
        return await cell.store.handle(request)

    return handle


def test_every_start_is_recorded_first_while_the_store_is_slow() -> None:
    async def scenario(cell: PlatformCell) -> None:
        cell.net.listen(STORE, 'store', _delay_appends(cell))
        for number, address in enumerate(cell.addresses.values()):
            cell.net.slow[address] = 25 * number
        unrecorded = _unrecorded_starts(cell)
        body = job(step(16))
        names = []
        for _ in range(4):
            name, _ = await cell.submit('vm-0', body, work_ms=230)
            names.append(name)
            await asyncio.sleep(0.17)
        assert set((await cell.settle(names, 40)).values()) == {'completed'}
        assert unrecorded == []

    play(scenario, SMALL_WORKERS)
