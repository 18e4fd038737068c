"""Keep the ownership whatever others register in the store.

Replays entries of another product, kept up to date, whose addresses answer nobody.
Guards against one owner after the other that hands over because of them, or because
no VM reaches the workers.
"""

import asyncio
from typing import Final

import pytest

from lycheerelay.serving import Reply
from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    Request,
    Shape,
)
from platform_days import job, play, step

WORKERS: Final = 10
FOREIGN: Final = 12
HEARTBEAT_S: Final = 1.5
WATCH_S: Final = 30
# The limit starts at 1.5 s and doubles; an owner is found within some seconds.
MAX_HANDOVERS: Final = 6
SHAPE: Final = CellShape(workers=(Shape('cpu'),) * WORKERS)


async def register_foreign(cell: PlatformCell, service: str) -> None:
    """Write entries of workers that no owner has ever reached."""
    sequence = 0
    while True:
        sequence += 1
        for number in range(FOREIGN):
            entry = {
                'service': service,
                'address': f'10.8.0.{number + 1}:80',
                'zone': 'a',
                'state': 'ready',
                'sequence': sequence,
                'capacity': {'cpu': 4000, 'memMb': 8192, 'gpus': 0},
                'labels': ['m', 'r9-1'],
            }
            cell.store.put('keyed.servers', f'm-{number}', entry)
        await asyncio.sleep(HEARTBEAT_S)


async def answer_anything(request: Request) -> Reply:
    """Answer as a server that is no worker."""
    return Reply(404, b'{}')


def claims(cell: PlatformCell) -> int:
    """Return how often the ownership was claimed."""
    return cell.store.partition('keyed.lock').end


@pytest.mark.parametrize('service', ['mail-relay', 'cpu'])
@pytest.mark.parametrize('answers', [False, True])
def test_foreign_registrations_make_the_owner_hand_over(
    service: str, answers: bool
) -> None:
    """Nobody can reach them, so another owner would do no better."""

    async def scenario(cell: PlatformCell) -> None:
        if answers:
            for number in range(FOREIGN):
                address = f'10.8.0.{number + 1}:80'
                cell.net.listen(address, f'm-{number}', answer_anything)
        owner = cell.owner()
        writer = asyncio.create_task(register_foreign(cell, service))
        owners = set()
        for _ in range(WATCH_S):
            await asyncio.sleep(1)
            owners.add(cell.owner())
        assert owners == {owner}
        # A later owner has the record of those that have answered.
        cell.kill_vm(owner)
        await asyncio.sleep(5)
        owner = cell.owner()
        await asyncio.sleep(WATCH_S)
        assert cell.owner() == owner
        writer.cancel()

    play(scenario, SHAPE)


def test_a_task_of_a_lost_worker_waits_beside_foreign_registrations() -> None:
    """It starts again once the leases of its worker are over."""

    async def scenario(cell: PlatformCell) -> None:
        writer = asyncio.create_task(register_foreign(cell, 'mail-relay'))
        await asyncio.sleep(6)
        name, _ = await cell.submit('vm-0', job(step(1)), work_ms=4000)
        await asyncio.sleep(1)
        (host,) = (w for w in cell.workers.values() if w.runs)
        cell.crash_worker(host)
        assert await cell.settle([name], 25) == {name: 'completed'}
        writer.cancel()

    play(scenario, SHAPE)


def test_an_owner_without_its_workers_stays_the_owner() -> None:
    """A VM that cannot reach them from its first moment on hands over."""

    async def scenario(cell: PlatformCell) -> None:
        first = cell.owner()
        others = sorted(set(cell.entries) - {first})
        for worker in cell.workers:
            cell.net.cuts.add((others[0], worker))
        cell.kill_vm(first)
        await asyncio.sleep(15)
        assert cell.owner() == others[1]

    play(scenario, SHAPE)


def test_the_ownership_goes_round_while_no_vm_reaches_the_workers() -> None:
    """The owners hand over less and less often, and work goes on afterwards."""

    async def scenario(cell: PlatformCell) -> None:
        before = claims(cell)
        cuts = {(vm, worker) for vm in cell.entries for worker in cell.workers}
        cell.net.cuts.update(cuts)
        await asyncio.sleep(2 * WATCH_S)
        assert claims(cell) - before <= MAX_HANDOVERS
        cell.net.cuts.clear()
        await asyncio.sleep(3)
        name, _ = await cell.submit('vm-0', job(step(1)))
        assert await cell.settle([name], 25) == {name: 'completed'}

    play(scenario, SHAPE)
