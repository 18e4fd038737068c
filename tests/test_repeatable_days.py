"""Test that an emulated day is the same each time it is played.

Guards against tests whose verdict depends on the order in which a process
iterates over sets of strings.
"""

import os
import subprocess
import sys

import pytest

PLAY = """
import asyncio, logging
from lycheerelay_standins.platform import (
    CellShape, PlatformCell, Shape, run_virtual
)

logging.disable(logging.CRITICAL)

async def day():
    cell = PlatformCell(CellShape(workers=(Shape('cpu'),) * 12, seed=24))
    await cell.begin()
    for address in cell.addresses.values():
        cell.net.broken[address] = 0.2
    step = {'count': 6, 'cpu': 1000, 'memMb': 100, 'estimatedMs': 500}
    for _ in range(20):
        await cell.submit('vm-0', {'spec': '', 'steps': [step]})
        await asyncio.sleep(0.25)
    await cell.finish()
    return cell

print(run_virtual(day()).audit.runs)
"""


def _play(hash_seed: int) -> str:
    return subprocess.run(
        [sys.executable, '-c', PLAY],
        env={**os.environ, 'PYTHONHASHSEED': str(hash_seed)},
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    ).stdout


@pytest.mark.parametrize('hash_seed', [39, 55])
def test_a_day_does_not_depend_on_the_hash_seed(hash_seed: int) -> None:
    """Every run begins and ends at the same time on the same worker."""
    expected = _play(1)
    assert 'ObservedRun' in expected
    assert _play(hash_seed) == expected
