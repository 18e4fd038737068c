"""Run days with tenants on the platform stand-in, in virtual time."""

import asyncio
import json
import sys
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import pytest
from result import Ok

from lycheerelay._resources import Resources
from lycheerelay.serving import _caller_checks
from lycheerelay.serving._config_freshness import ConfigFreshness
from lycheerelay.serving._credentials import EVERYONE
from lycheerelay.workflow._tenants import TenantAccount
from lycheerelay_standins.platform import (
    CellShape,
    Credential,
    FreezableLoop,
    KeyedCaller,
    PlatformCell,
    QueueShape,
    Shape,
    TenantShape,
    fuzz,
    run_virtual,
)
from platform_days import STORE, job, step

SHAPE = CellShape(
    workers=(Shape('cpu'),) * 3,
    queues=(
        QueueShape('batch', 'cpu'),
        QueueShape('open', 'cpu', 3, None, True),
    ),
    tenants=(TenantShape('a', ('ka', 'kb')), TenantShape('b', ('kc',))),
)
# A day logs thousands of lines.
pytestmark = pytest.mark.usefixtures('disable_logging')
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


def rules(broken: Iterable[str]) -> set[str]:
    """Return the rules that were broken."""
    return {line.partition(':')[0] for line in broken}


def accept_every_key(patch: pytest.MonkeyPatch) -> None:
    """Let every caller in."""
    patch.setattr(
        _caller_checks, 'identify', lambda *args, **kwargs: Ok(EVERYONE)
    )


def trust_any_age(patch: pytest.MonkeyPatch) -> None:
    """Trust the configuration however old it is."""
    patch.setattr(ConfigFreshness, 'is_current', lambda self, now_ms: True)


def ignore_quotas(patch: pytest.MonkeyPatch) -> None:
    """Start whatever fits on the workers."""
    patch.setattr(
        TenantAccount, 'count_startable', lambda self, demand: sys.maxsize
    )


def keep_checks(patch: pytest.MonkeyPatch) -> None:
    """Disable nothing."""


Disable = Callable[[pytest.MonkeyPatch], None]


def trust_every_key(patch: pytest.MonkeyPatch) -> None:
    """Check a key only once, by a configuration of any age."""
    trust_any_age(patch)
    patch.setattr(_caller_checks, 'is_revoked', lambda identity, table: False)


Hinder = Callable[[PlatformCell, Iterable[str]], None]


def cut(cell: PlatformCell, vms: Iterable[str]) -> None:
    """Disconnect VMs from the store."""
    cell.net.cuts.update((vm, STORE) for vm in vms)


def freeze(cell: PlatformCell, vms: Iterable[str]) -> None:
    """Suspend VMs."""
    for vm in vms:
        cell.freeze_vm(vm)


def fail_reads(cell: PlatformCell, vms: Iterable[str]) -> None:
    """Let the store refuse to read the configuration, and do all else."""
    cell.net.failing_reads.update(dict.fromkeys(vms, 503))


@pytest.mark.parametrize('is_owner', [True, False])
@pytest.mark.parametrize(
    ('hinder', 'hinders_all', 'disable', 'rule'),
    [
        (cut, False, keep_checks, set()),
        (cut, True, keep_checks, set()),
        (fail_reads, False, keep_checks, set()),
        (fail_reads, True, keep_checks, set()),
        (freeze, False, keep_checks, set()),
        (freeze, True, keep_checks, set()),
        # The owner knows of the revocation unless its reads fail, too.
        (fail_reads, True, trust_any_age, {'CONFIG'}),
        (freeze, True, trust_every_key, {'CONFIG'}),
    ],
)
def test_no_vm_serves_a_revoked_key(
    hinder: Hinder,
    hinders_all: bool,
    is_owner: bool,
    disable: Disable,
    rule: set[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A VM that cannot know of the revocation refuses the key in time."""
    disable(monkeypatch)

    async def day(cell: PlatformCell, caller: KeyedCaller) -> None:
        vm = next(
            name
            for name in sorted(cell.entries)
            if (name == cell.owner()) is is_owner
        )
        name, _ = await caller.submit(vm, job(step(1)), CREDENTIAL)
        hinder(cell, cell.entries if hinders_all else (vm,))
        # A read in progress may still return the revocation.
        await asyncio.sleep(2)
        cell.tenants.withdraw_key('ka')
        calls = []
        for _ in range(60):
            await asyncio.sleep(0.1)
            calls.append(asyncio.create_task(caller.state(vm, name, 'ka')))
        cell.net.cuts.clear()
        cell.net.failing_reads.clear()
        for other in cell.entries:
            cell.thaw_vm(other)
        await asyncio.gather(*calls)
        await asyncio.sleep(5)
        assert await caller.state(vm, name, 'ka') == '401'
        assert await caller.state(vm, name, 'kb') == 'completed'

    assert rules(play(day).audit.broken) == rule


def test_a_vm_serves_keys_for_a_while_after_its_last_contact() -> None:
    """Refusing earlier than necessary would turn short cuts into outages."""

    async def day(cell: PlatformCell, caller: KeyedCaller) -> None:
        vm = next(name for name in cell.entries if name != cell.owner())
        name, _ = await caller.submit(vm, job(step(1)), CREDENTIAL)
        await asyncio.sleep(5)
        cell.net.cuts.add((vm, STORE))
        for _ in range(30):
            assert await caller.state(vm, name, 'ka') == 'completed'
            await asyncio.sleep(0.095)

    assert play(day).audit.broken == []


@pytest.mark.parametrize(
    ('disable', 'rule'), [(keep_checks, set()), (ignore_quotas, {'QUOTA'})]
)
def test_a_quota_holds_while_it_drops_and_owners_change(
    disable: Disable, rule: set[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The next owner counts what runs, and starts nothing above the quota."""
    disable(monkeypatch)
    limited = TenantShape('a', ('ka',), quota=Resources(12_000))

    async def day(cell: PlatformCell, caller: KeyedCaller) -> None:
        names = []
        for number in range(8):
            vm = f'vm-{number % 3}'
            body = job(step(4, cpu=2000), step(2, gang=True, after=[0]))
            name, _ = await caller.submit(vm, body, CREDENTIAL, work_ms=2000)
            names.append(name)
        await asyncio.sleep(1)
        cell.tenants.set_quota('a', Resources(4000))
        await asyncio.sleep(4)
        owner = cell.owner()
        cell.kill_vm(owner)
        cell.start_vm(owner)
        await asyncio.sleep(8)
        cell.tenants.set_quota('a', Resources(12_000))
        await asyncio.sleep(40)
        for name in names:
            assert await caller.state('vm-0', name, 'ka') == 'completed'

    cell = play(day, SHAPE._replace(tenants=(limited,)))
    assert rules(cell.audit.broken) == rule


def test_a_quota_holds_while_no_vm_can_read_the_configuration() -> None:
    """An owner that cannot know a lowered quota must not use an old one."""
    limited = TenantShape('a', ('ka',), quota=Resources(12_000))

    async def day(cell: PlatformCell, caller: KeyedCaller) -> None:
        body = job(step(4, cpu=2000))
        for _ in range(6):
            await caller.submit('vm-0', body, CREDENTIAL, work_ms=2000)
        fail_reads(cell, cell.entries)
        await asyncio.sleep(2)
        cell.tenants.set_quota('a', Resources(2000))
        await asyncio.sleep(8)

    cell = play(day, SHAPE._replace(tenants=(limited,)))
    assert cell.audit.broken == []


@pytest.mark.parametrize('seed', range(1, 7))
def test_a_random_day_with_tenants_keeps_every_promise(seed: int) -> None:
    """Keys, quotas and load of tenants change under random faults."""
    result = fuzz(seed, with_tenants=True)
    assert result.jobs > 20
    assert result.broken == ()
    assert result.unfinished == ()


@pytest.mark.parametrize(
    ('disable', 'rule', 'faults'),
    [
        (accept_every_key, 'ROUTE', ()),
        (trust_any_age, 'CONFIG', ('key_withdrawn',)),
        (ignore_quotas, 'QUOTA', ()),
    ],
)
def test_a_random_day_shows_a_missing_check(
    disable: Disable,
    rule: str,
    faults: tuple[str, ...],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Days that pass without a check would prove nothing about it."""
    disable(monkeypatch)
    assert any(
        rule in rules(fuzz(seed, faults, with_tenants=True).broken)
        for seed in range(1, 7)
    )
