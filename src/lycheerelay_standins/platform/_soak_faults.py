"""Do harm to a soak, by signals, by proxies and in the store."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Final

from lycheerelay._registry import Registry

from ._soak_cell import STORE_NAME

if TYPE_CHECKING:
    from ._soak import Soak

Inject = Callable[['Soak'], Coroutine[Any, Any, None]]
SOAK_FAULTS: Final[Registry[str, Inject]] = Registry('fault of a soak')


@SOAK_FAULTS.register('kill')
async def kill(soak: 'Soak') -> None:
    """Kill a VM and start it again."""
    vm = soak.a_vm()
    await vm.send(signal.SIGKILL)
    await soak.pause()
    await vm.start()


@SOAK_FAULTS.register('kill_all')
async def kill_all(soak: 'Soak') -> None:
    """Kill every VM; they start again together."""
    for vm in soak.cell.vms.values():
        await vm.send(signal.SIGKILL)
    for vm in soak.cell.vms.values():
        await vm.start()


@SOAK_FAULTS.register('leave')
async def leave(soak: 'Soak') -> None:
    """Let a VM leave while channels to it are open, and come back."""
    vm = soak.a_vm()
    await vm.send(signal.SIGTERM)
    await vm.start()


@SOAK_FAULTS.register('freeze')
async def freeze(soak: 'Soak') -> None:
    """Let a VM stand still."""
    vm = soak.a_vm()
    await vm.send(signal.SIGSTOP)
    await soak.pause()
    await vm.send(signal.SIGCONT)


@SOAK_FAULTS.register('reload')
async def reload(soak: 'Soak') -> None:
    """Let a VM read its settings again."""
    vm = soak.a_vm()
    if vm.process is not None and vm.is_running:
        vm.process.send_signal(signal.SIGHUP)


@SOAK_FAULTS.register('store_cut')
async def store_cut(soak: 'Soak') -> None:
    """Break a VM's channels to the store off, and refuse new ones."""
    way = soak.cell.store_ways[soak.a_vm().name]
    way.refusing = True
    way.reset()
    await soak.pause()
    way.refusing = False


@SOAK_FAULTS.register('store_silent')
async def store_silent(soak: 'Soak') -> None:
    """Swallow what passes between a VM and the store, one way or both."""
    way = soak.cell.store_ways[soak.a_vm().name]
    way.silent = soak.rng.choice((True, False))
    way.deaf = not way.silent
    await soak.pause()
    way.heal()


@SOAK_FAULTS.register('store_down')
async def store_down(soak: 'Soak') -> None:
    """Cut every VM off from the store."""
    ways = list(soak.cell.store_ways.values())
    for way in ways:
        way.refusing = True
        way.reset()
    await soak.pause()
    for way in ways:
        way.refusing = False


@SOAK_FAULTS.register('store_slow')
async def store_slow(soak: 'Soak') -> None:
    """Let the store answer slowly."""
    soak.net.slow[STORE_NAME] = 200
    await soak.pause()
    soak.net.slow.pop(STORE_NAME, None)


@SOAK_FAULTS.register('store_lost')
async def store_lost(soak: 'Soak') -> None:
    """Lose answers of the store, or carry its writes out late."""
    soak.net.lost[STORE_NAME] = 0.3
    soak.net.late[STORE_NAME] = (0.2, 1, 4)
    await soak.pause()
    soak.net.lost.pop(STORE_NAME, None)
    soak.net.late.pop(STORE_NAME, None)


@SOAK_FAULTS.register('deal_anew')
async def deal_anew(soak: 'Soak') -> None:
    """Deal the ownership anew."""
    soak.cell.store.deal_anew()


@SOAK_FAULTS.register('worker_silent')
async def worker_silent(soak: 'Soak') -> None:
    """Swallow what passes between a worker and every VM."""
    ways = soak.cell.worker_ways
    way = ways[soak.rng.choice(sorted(ways))]
    way.silent = True
    await soak.pause()
    way.heal()


@SOAK_FAULTS.register('worker_resets')
async def worker_resets(soak: 'Soak') -> None:
    """Break channels to a worker off, again and again."""
    ways = soak.cell.worker_ways
    way = ways[soak.rng.choice(sorted(ways))]
    for _ in range(5):
        way.reset()
        await asyncio.sleep(soak.rng.uniform(0, 0.4))


@SOAK_FAULTS.register('worker_slow')
async def worker_slow(soak: 'Soak') -> None:
    """Let what passes between a worker and every VM take long."""
    ways = soak.cell.worker_ways
    way = ways[soak.rng.choice(sorted(ways))]
    way.delay_s = 0.2
    await soak.pause()
    way.delay_s = float(0)


@SOAK_FAULTS.register('crash')
async def crash(soak: 'Soak') -> None:
    """Crash a worker for good."""
    cell = soak.cell
    if len(cell.workers) > 2:
        cell.crash_worker(cell.workers[soak.rng.choice(sorted(cell.workers))])
