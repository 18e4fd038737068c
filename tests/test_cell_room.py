"""Admit large jobs as far as the memory of the owner goes.

Guards against an owner that runs out of memory under jobs that are each inside all
limits, and against a refusal of ordinary ones.
"""

import asyncio

from lycheerelay.serving import RequestStatus
from lycheerelay.serving.connections import CellRoom
from lycheerelay_standins.platform import CellShape, PlatformCell, Shape
from platform_days import job, play, step

# With 96 MB there is room for 16,777 steps.
MEMORY_MB = 96
ONE_WORKER = CellShape(workers=(Shape('cpu'),))


def test_large_jobs_are_admitted_without_an_end() -> None:
    """A replay of ten jobs of 5,000 steps, of which the owner reads each late."""
    room = CellRoom(MEMORY_MB)
    held: dict[str, int] = {}
    admitted = []
    for number in range(10):
        name = str(number)
        if room.admit(name, 5000, held, now_ms=number * 100):
            admitted.append(name)
        if number == 5:
            held['0'] = 5000
    assert admitted == ['0', '1', '2']
    held = {'1': 5000}
    assert room.admit('10', 5000, held, now_ms=20_000)


def test_a_repeated_question_takes_room_twice() -> None:
    """The same job is counted once."""
    room = CellRoom(MEMORY_MB)
    assert all(room.admit('a', 9000, {}, now_ms=0) for _ in range(5))
    assert room.admit('b', 7000, {}, now_ms=0)
    assert not room.admit('c', 7000, {}, now_ms=0)


def test_a_job_larger_than_the_memory_never_starts() -> None:
    """It is admitted alone."""
    room = CellRoom(MEMORY_MB)
    assert room.admit('a', 20_000, {}, now_ms=0)
    assert not room.admit('b', 500, {}, now_ms=0)


def test_every_vm_admits_large_jobs() -> None:
    """The owner decides for all VMs; ordinary and accepted jobs are not refused."""

    async def scenario(cell: PlatformCell) -> None:
        for entry in cell.entries.values():
            entry.handler.answers.cell_room = CellRoom(MEMORY_MB)
        large = job(*({'count': 1, 'cpu': 9} for _ in range(5900)))
        names = {}
        for number in range(4):
            name, outcome = await cell.submit(f'vm-{number % 3}', large)
            names[name] = outcome.status
            await asyncio.sleep(1)
        assert list(names.values()) == [
            RequestStatus.OK,
            RequestStatus.OK,
            RequestStatus.BUSY,
            RequestStatus.BUSY,
        ]
        first = next(iter(names))
        _, again = await cell.submit('vm-1', large, job_id=first)
        assert again.status is RequestStatus.OK
        _, ordinary = await cell.submit('vm-2', job(step(1)))
        assert ordinary.status is RequestStatus.OK
        for name in names:
            await cell.cancel('vm-0', name)

    play(scenario, ONE_WORKER)
