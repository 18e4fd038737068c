"""Keep the ownership whatever others register in the store.

Replays entries of another product, kept up to date, whose addresses answer nobody.
Guards against one owner after the other that hands over because of them.
"""

import asyncio
from typing import Final

from lycheerelay_standins.platform import CellShape, PlatformCell, Shape
from platform_days import play

WORKERS: Final = 10
FOREIGN: Final = 12
HEARTBEAT_S: Final = 1.5
WATCH_S: Final = 30
SHAPE: Final = CellShape(workers=(Shape('cpu'),) * WORKERS)


async def register_foreign(cell: PlatformCell) -> None:
    """Write entries of a service that no configuration names."""
    sequence = 0
    while True:
        sequence += 1
        for number in range(FOREIGN):
            entry = {
                'service': 'mail-relay',
                'address': f'10.8.0.{number + 1}:80',
                'zone': 'a',
                'state': 'ready',
                'sequence': sequence,
                'capacity': {'cpu': 4000, 'memMb': 8192, 'gpus': 0},
                'labels': ['m', 'r9-1'],
            }
            cell.store.put('keyed.servers', f'm-{number}', entry)
        await asyncio.sleep(HEARTBEAT_S)


def test_foreign_registrations_make_the_owner_hand_over() -> None:
    """Nobody can reach them, so another owner would do no better."""

    async def scenario(cell: PlatformCell) -> None:
        owner = cell.owner()
        writer = asyncio.create_task(register_foreign(cell))
        owners = set()
        for _ in range(WATCH_S):
            await asyncio.sleep(1)
            owners.add(cell.owner())
        writer.cancel()
        assert owners == {owner}

    play(scenario, SHAPE)
