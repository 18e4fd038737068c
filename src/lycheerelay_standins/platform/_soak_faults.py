"""Faults of a soak, injected by signals, proxies and the store."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Final

from lycheerelay._registry import Registry

from ._crowd import CROWDS, Crowd
from ._environment import RESTART_CLOCKS_MS
from ._soak_cell import STORE_NAME

if TYPE_CHECKING:
    from ._soak import Soak

# Faults that are drawn only if they are asked for, so that the faults of earlier
# seeds stay as they were.
OPTIONAL_SOAK_FAULTS: Final = frozenset(('unlisted', 'crowd', 'abandoned'))
# Jobs that are cancelled although nothing says that they were accepted.
ABANDONED_JOBS: Final = 10
# Clients of each kind in a crowd.
CROWD_SIZE: Final = 40
# Jobs of the crowd have ids that no other caller draws.
CROWD_IDS: Final = 1 << 40
# The registration of a silent worker has expired after this time.
REGISTRATION_EXPIRY_S: Final = 6

# Kinds whose clients hand in no job: the auditor knows of all that are accepted.
UNACCEPTED_CROWDS: Final = sorted(
    set(CROWDS) - {'large_jobs', 'finished_bodies'}
)

Inject = Callable[['Soak'], Coroutine[Any, Any, None]]
SOAK_FAULTS: Final[Registry[str, Inject]] = Registry('soak fault')


@SOAK_FAULTS.register('kill')
async def kill(soak: 'Soak') -> None:
    """Kill a VM and restart it."""
    vm = soak.pick_vm()
    await vm.send(signal.SIGKILL)
    await soak.pause()
    await vm.start()


@SOAK_FAULTS.register('kill_all')
async def kill_all(soak: 'Soak') -> None:
    """Kill every VM, then restart them together."""
    for vm in soak.cell.vms.values():
        await vm.send(signal.SIGKILL)
    for vm in soak.cell.vms.values():
        await vm.start()


@SOAK_FAULTS.register('leave')
async def leave(soak: 'Soak') -> None:
    """Shut down a VM with open connections, then restart it."""
    vm = soak.pick_vm()
    await vm.send(signal.SIGTERM)
    await vm.start()


@SOAK_FAULTS.register('freeze')
async def freeze(soak: 'Soak') -> None:
    """Suspend a VM and resume it."""
    vm = soak.pick_vm()
    await vm.send(signal.SIGSTOP)
    await soak.pause()
    await vm.send(signal.SIGCONT)


@SOAK_FAULTS.register('reload')
async def reload(soak: 'Soak') -> None:
    """Make a VM reload its settings."""
    vm = soak.pick_vm()
    if vm.process is not None and vm.is_running:
        vm.process.send_signal(signal.SIGHUP)


@SOAK_FAULTS.register('store_cut')
async def store_cut(soak: 'Soak') -> None:
    """Abort a VM's connections to the store and refuse new ones."""
    proxy = soak.cell.store_proxies[soak.pick_vm().name]
    proxy.refusing = True
    proxy.reset()
    await soak.pause()
    proxy.refusing = False


@SOAK_FAULTS.register('store_silent')
async def store_silent(soak: 'Soak') -> None:
    """Drop the bytes between a VM and the store, in one or both directions."""
    proxy = soak.cell.store_proxies[soak.pick_vm().name]
    proxy.drops_all = soak.rng.choice((True, False))
    proxy.drops_requests = not proxy.drops_all
    await soak.pause()
    proxy.clear_faults()


@SOAK_FAULTS.register('store_down')
async def store_down(soak: 'Soak') -> None:
    """Disconnect every VM from the store."""
    proxies = list(soak.cell.store_proxies.values())
    for proxy in proxies:
        proxy.refusing = True
        proxy.reset()
    await soak.pause()
    for proxy in proxies:
        proxy.refusing = False


@SOAK_FAULTS.register('unlisted')
async def expire_registrations(soak: 'Soak') -> None:
    """Let all registrations expire while the store is down; kill a VM."""
    proxies = list(soak.cell.store_proxies.values())
    for proxy in proxies:
        proxy.refusing = True
        proxy.reset()
    await asyncio.sleep(REGISTRATION_EXPIRY_S)
    vm = soak.pick_vm()
    await vm.send(signal.SIGKILL)
    for proxy in proxies:
        proxy.refusing = False
    await soak.pause()
    await vm.start()


@SOAK_FAULTS.register('crowd')
async def crowd(soak: 'Soak') -> None:
    """Let crowds of several kinds come to a VM, stay, and leave in turn."""
    vm = soak.pick_vm()
    address = f'{soak.cell.hosts[vm.name]}:8149'
    crowds = []
    for kind in soak.rng.sample(UNACCEPTED_CROWDS, 3):
        crowds.append(Crowd(kind, address, CROWD_SIZE, CROWD_IDS))
        await crowds[-1].send()
        await asyncio.sleep(soak.rng.uniform(0, 1))
    for one in crowds:
        await one.close()


@SOAK_FAULTS.register('store_slow')
async def store_slow(soak: 'Soak') -> None:
    """Delay the responses of the store."""
    soak.net.slow[STORE_NAME] = 200
    await soak.pause()
    soak.net.slow.pop(STORE_NAME, None)


@SOAK_FAULTS.register('store_lost')
async def store_lost(soak: 'Soak') -> None:
    """Drop responses of the store, or execute its writes late."""
    soak.net.lost[STORE_NAME] = 0.3
    soak.net.late[STORE_NAME] = (0.2, 1, 4)
    await soak.pause()
    soak.net.lost.pop(STORE_NAME, None)
    soak.net.late.pop(STORE_NAME, None)


@SOAK_FAULTS.register('abandoned')
async def abandon(soak: 'Soak') -> None:
    """Execute hand-ins late while their callers cancel the jobs elsewhere."""
    soak.net.late[STORE_NAME] = (0.5, 1, 5)
    await asyncio.gather(*(soak.abandon_job() for _ in range(ABANDONED_JOBS)))
    soak.net.late.pop(STORE_NAME, None)


@SOAK_FAULTS.register('deal_anew')
async def reassign_partitions(soak: 'Soak') -> None:
    """Reassign the partitions of every group."""
    soak.cell.store.reassign_partitions()


@SOAK_FAULTS.register('worker_silent')
async def worker_silent(soak: 'Soak') -> None:
    """Drop the bytes between a worker and every VM."""
    proxies = soak.cell.worker_proxies
    proxy = proxies[soak.rng.choice(sorted(proxies))]
    proxy.drops_all = True
    await soak.pause()
    proxy.clear_faults()


@SOAK_FAULTS.register('worker_resets')
async def worker_resets(soak: 'Soak') -> None:
    """Abort the connections to a worker several times."""
    proxies = soak.cell.worker_proxies
    proxy = proxies[soak.rng.choice(sorted(proxies))]
    for _ in range(5):
        proxy.reset()
        await asyncio.sleep(soak.rng.uniform(0, 0.4))


@SOAK_FAULTS.register('worker_slow')
async def worker_slow(soak: 'Soak') -> None:
    """Delay the bytes between a worker and every VM."""
    proxies = soak.cell.worker_proxies
    proxy = proxies[soak.rng.choice(sorted(proxies))]
    proxy.delay_s = 0.2
    await soak.pause()
    proxy.delay_s = float(0)


@SOAK_FAULTS.register('crash')
async def crash(soak: 'Soak') -> None:
    """Crash a worker permanently."""
    cell = soak.cell
    if len(cell.workers) > 2:
        cell.crash_worker(cell.workers[soak.rng.choice(sorted(cell.workers))])


@SOAK_FAULTS.register('worker_restart')
async def worker_restart(soak: 'Soak') -> None:
    """Crash workers; each starts again under its id within two seconds."""
    cell = soak.cell
    for _ in range(soak.rng.randint(1, 3)):
        if not cell.workers:
            return
        worker = cell.workers[soak.rng.choice(sorted(cell.workers))]
        proxy = cell.worker_proxies[worker.worker_id]
        cell.crash_worker(worker)
        proxy.refusing = True
        proxy.reset()
        await asyncio.sleep(soak.rng.uniform(0.05, 2))
        cell.restart_worker(worker, soak.rng.choice(RESTART_CLOCKS_MS))
        proxy.refusing = False
