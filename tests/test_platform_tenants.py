"""Run days with tenants on the platform stand-in, in virtual time."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

from lycheerelay_standins.platform import (
    CellShape,
    Credential,
    FreezableLoop,
    KeyedCaller,
    PlatformCell,
    QueueShape,
    Shape,
    TenantShape,
    run_virtual,
)
from platform_days import job, step

SHAPE = CellShape(
    workers=(Shape('cpu'),) * 3,
    queues=(
        QueueShape('batch', 'cpu'),
        QueueShape('open', 'cpu', 3, None, True),
    ),
    tenants=(TenantShape('a', ('ka', 'kb')), TenantShape('b', ('kc',))),
)
CREDENTIAL = Credential('a', 'ka')
Day = Callable[[PlatformCell, KeyedCaller], Coroutine[Any, Any, None]]


def play(day: Day, shape: CellShape = SHAPE) -> PlatformCell:
    """Run a day on a new cell with tenants and return the cell."""

    async def whole() -> PlatformCell:
        cell = PlatformCell(shape)
        await cell.begin()
        await day(cell, KeyedCaller(cell))
        await cell.finish()
        return cell

    cell: PlatformCell = run_virtual(whole(), FreezableLoop())
    return cell


def test_a_cell_without_tenants_has_the_configuration_of_before() -> None:
    """Neither `tenants` nor `public` turns on what only tenants ask for."""

    async def day(cell: PlatformCell, caller: KeyedCaller) -> None:
        _, raw = cell.store.partition('keyed.op').newest['config']
        fields = json.loads(raw)
        assert set(fields) == {'version', 'routes', 'services', 'limits'}
        assert 'public' not in fields['routes'][0]

    play(day, CellShape(workers=(Shape('cpu'),)))


def test_a_frozen_vm_handles_later_what_arrived_meanwhile() -> None:
    """Otherwise no day would show what a VM does with a call it slept over."""

    async def day(cell: PlatformCell, caller: KeyedCaller) -> None:
        vm = next(name for name in cell.entries if name != cell.owner())
        table = cell.entries[vm].config.table
        cell.freeze_vm(vm)
        sent_ms = cell.now_ms()
        call = asyncio.create_task(caller.submit(vm, job(step(1)), CREDENTIAL))
        cell.configure()
        await asyncio.sleep(3)
        assert cell.entries[vm].config.table is table
        assert not call.done()
        cell.thaw_vm(vm)
        await call
        assert sent_ms + 3000 <= cell.now_ms() < sent_ms + 3500
        await asyncio.sleep(2)
        newest = cell.entries[vm].config.table
        assert newest is not None and newest.version == 2

    play(day)
