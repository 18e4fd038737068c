"""Run many VMs, some with slow links, on the platform stand-in."""

import asyncio

from lycheerelay_standins.platform import CellShape, PlatformCell, Shape
from platform_days import job, play, step


async def fill(cell: PlatformCell, jobs: int) -> list[str]:
    """Submit short jobs with long payloads."""
    body = {**job(step(1)), 'spec': 'x' * 6000}
    return [(await cell.submit('vm-0', body))[0] for _ in range(jobs)]


def test_a_cell_loads_over_a_slow_link() -> None:
    """A page that takes longer than the call timeout is read completely."""

    async def scenario(cell: PlatformCell) -> None:
        names = await fill(cell, 120)
        for vm in sorted(cell.entries):
            cell.kill_vm(vm)
        cell.start_vm('vm-8', link_mbps=5)
        await asyncio.sleep(8)
        assert cell.owner() == 'vm-8'
        assert await cell.settle(names[:3], 30)

    play(scenario)


def test_a_takeover_that_does_not_load_is_handed_over() -> None:
    """A VM that cannot load the cell in time must not block the ownership."""

    async def scenario(cell: PlatformCell) -> None:
        names = await fill(cell, 120)
        for vm in sorted(cell.entries):
            cell.kill_vm(vm)
        cell.start_vm('vm-8')
        cell.net.bytes_per_s['vm-8'] = 20_000
        await asyncio.sleep(4)
        assert not cell.owner()
        cell.start_vm('vm-9', link_mbps=20)
        await asyncio.sleep(6)
        assert cell.owner() == 'vm-9'
        phases = await cell.settle(names[:3], 30)
        assert set(phases.values()) == {'completed'}

    play(scenario)


def test_a_vm_with_a_slow_link_claims_ownership_last() -> None:
    """A VM with a slow link claims the ownership only if no other VM does."""

    async def scenario(cell: PlatformCell) -> None:
        for number in range(4, 9):
            cell.start_vm(f'vm-{number}', link_mbps=5)
        cell.start_vm('vm-9', link_mbps=10)
        await asyncio.sleep(1)
        for moment in range(3):
            before = cell.owner()
            assert before in {'vm-0', 'vm-1', 'vm-2'}
            await asyncio.sleep(moment * 0.13)
            cell.kill_vm(before)
            await asyncio.sleep(3)
        assert cell.owner() == 'vm-9'

    play(scenario)


def test_a_new_owner_learns_of_members_without_partitions() -> None:
    """Members without partitions are not listed by the group but send hellos.

    A new owner must learn of them, too.
    """

    async def scenario(cell: PlatformCell) -> None:
        await asyncio.sleep(6)
        before = cell.owner()
        assert len(cell.entries[before].peers.live_peers()) == 19
        cell.kill_vm(before)
        await asyncio.sleep(9)
        after = cell.owner()
        assert after not in {'', before}
        known = set(cell.entries[after].peers.live_peers())
        hosts = {entry.settings.host for entry in cell.entries.values()}
        hosts.discard(cell.entries[after].settings.host)
        assert {f'{host}:3' for host in hosts} <= known

    play(scenario, CellShape(vms=20, workers=(Shape('cpu'),) * 3))
