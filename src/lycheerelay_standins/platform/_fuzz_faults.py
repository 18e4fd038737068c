"""Faults of a fuzz run, injected into the emulated platform."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Final

from lycheerelay._registry import Registry

from ._cell import STORE_ADDRESS
from ._environment import RESTART_CLOCKS_MS
from ._worker import Shape

if TYPE_CHECKING:
    from ._fuzz import FuzzRun

# The registration of a silent worker has expired after this time.
REGISTRATION_EXPIRY_S: Final = 6

Inject = Callable[['FuzzRun'], Coroutine[Any, Any, None]]
FAULTS: Final[Registry[str, Inject]] = Registry('fault')
# Jobs whose tasks are over 500 on each worker.
PILED_JOBS: Final = 35
PILED_WORK_MS: Final = 4000
LONG_CUT_S: Final = 330
# Jobs that are cancelled although nothing says that they were accepted.
ABANDONED_JOBS: Final = 8


@FAULTS.register('kill')
async def kill(run: 'FuzzRun') -> None:
    """Kill a VM and restart it."""
    vm = run.pick_vm()
    if len(run.cell.entries) > 1:
        run.cell.kill_vm(vm)
        await run.pause()
        run.cell.start_vm(vm)


@FAULTS.register('kill_all')
async def kill_all(run: 'FuzzRun') -> None:
    """Kill every VM, then restart them together."""
    names = sorted(run.cell.entries)
    for vm in names:
        run.cell.kill_vm(vm)
    for vm in names:
        run.cell.start_vm(vm)
    await run.pause()


async def _cut_links(run: 'FuzzRun', *pairs: tuple[str, str]) -> None:
    run.cell.net.cuts.update(pairs)
    await run.pause()
    run.cell.net.cuts.difference_update(pairs)


@FAULTS.register('store_cut')
async def store_cut(run: 'FuzzRun') -> None:
    """Disconnect a VM from the store."""
    await _cut_links(run, (run.pick_vm(), STORE_ADDRESS))


@FAULTS.register('worker_cut')
async def worker_cut(run: 'FuzzRun') -> None:
    """Disconnect a worker from every VM and the store."""
    worker = run.pick_worker()
    await _cut_links(run, ('*', worker), (worker, STORE_ADDRESS))


@FAULTS.register('worker_vm_cut')
async def worker_vm_cut(run: 'FuzzRun') -> None:
    """Disconnect up to two workers from one VM."""
    vm = run.pick_vm()
    count = min(2, len(run.cell.workers))
    workers = run.rng.sample(sorted(run.cell.workers), count)
    await _cut_links(run, *((vm, worker) for worker in workers))


@FAULTS.register('vm_cut')
async def vm_cut(run: 'FuzzRun') -> None:
    """Disconnect a VM from everything."""
    vm = run.pick_vm()
    await _cut_links(run, (vm, '*'), ('*', vm))


@FAULTS.register('store_down')
async def store_down(run: 'FuzzRun') -> None:
    """Make the store refuse every call."""
    run.cell.net.refusing.add(('*', STORE_ADDRESS))
    await run.pause()
    run.cell.net.refusing.discard(('*', STORE_ADDRESS))


@FAULTS.register('store_refuses')
async def refuse_appends(run: 'FuzzRun') -> None:
    """Make the store refuse every append as malformed."""
    run.cell.store.refuses_appends = True
    await run.pause()
    run.cell.store.refuses_appends = False


@FAULTS.register('wide')
async def wide(run: 'FuzzRun') -> None:
    """Submit a job whose progress takes several records; kill the owner."""
    # A VM that has just started refuses it, as it does other jobs.
    handing_in = asyncio.create_task(run.submit_wide_job())
    await asyncio.sleep(run.rng.uniform(0, 2))
    await kill(run)
    await asyncio.wait({handing_in})


@FAULTS.register('abandoned')
async def abandon(run: 'FuzzRun') -> None:
    """Execute hand-ins late while their callers cancel the jobs elsewhere."""
    run.cell.net.late[STORE_ADDRESS] = (0.5, 1, 6)
    await asyncio.gather(*(run.abandon_job() for _ in range(ABANDONED_JOBS)))
    run.cell.net.late.pop(STORE_ADDRESS, None)


@FAULTS.register('store_slow')
async def store_slow(run: 'FuzzRun') -> None:
    """Delay the responses of the store."""
    run.cell.net.slow[STORE_ADDRESS] = 240
    await run.pause()
    run.cell.net.slow.pop(STORE_ADDRESS, None)


@FAULTS.register('store_lost')
async def store_lost(run: 'FuzzRun') -> None:
    """Drop responses of the store, or execute its calls late."""
    run.cell.net.lost[STORE_ADDRESS] = 0.35
    run.cell.net.late[STORE_ADDRESS] = (0.2, 1, 6)
    await run.pause()
    run.cell.net.lost.pop(STORE_ADDRESS, None)
    run.cell.net.late.pop(STORE_ADDRESS, None)


@FAULTS.register('applied_late')
async def applied_late(run: 'FuzzRun') -> None:
    """Make workers execute some calls late and without a response."""
    for address in run.cell.addresses.values():
        run.cell.net.late[address] = (0.15, 2, 12)
    await run.pause()
    for address in run.cell.addresses.values():
        run.cell.net.late.pop(address, None)


@FAULTS.register('crash')
async def crash(run: 'FuzzRun') -> None:
    """Crash a worker and start a new one at its address."""
    if len(run.cell.workers) > 2:
        worker = run.cell.workers[run.pick_worker()]
        address = run.cell.addresses[worker.worker_id]
        run.cell.crash_worker(worker)
        await run.pause()
        run.cell.add_worker(Shape('cpu'), address)


@FAULTS.register('leave')
async def leave(run: 'FuzzRun') -> None:
    """Crash a worker for good."""
    if len(run.cell.workers) > 2:
        run.cell.crash_worker(run.cell.workers[run.pick_worker()])


@FAULTS.register('long_cut')
async def long_cut(run: 'FuzzRun') -> None:
    """Disconnect a worker for longer than it is remembered."""
    worker = run.pick_worker()
    cut = {('*', worker), (worker, STORE_ADDRESS)}
    run.cell.net.cuts.update(cut)
    await asyncio.sleep(LONG_CUT_S)
    run.cell.net.cuts.difference_update(cut)


@FAULTS.register('pile_ends')
async def pile_ends(run: 'FuzzRun') -> None:
    """Let many short tasks end while the store refuses every call."""
    steps = [{'count': 100, 'cpu': 1, 'memMb': 1, 'estimatedMs': 1000}]
    for _ in range(PILED_JOBS):
        vm = run.rng.choice(_configured_vms(run))
        body = {'spec': 'x', 'steps': steps}
        name, _ = await run.cell.submit(vm, body, work_ms=PILED_WORK_MS)
        run.jobs.append(name)
    await asyncio.sleep(run.rng.uniform(2, 4))
    await store_down(run)


def _configured_vms(run: 'FuzzRun') -> list[str]:
    entries = run.cell.entries.items()
    return sorted(name for name, entry in entries if entry.config.table)


@FAULTS.register('restart')
async def restart(run: 'FuzzRun') -> None:
    """Crash workers; each starts again under its id within two seconds."""
    for _ in range(run.rng.randint(1, 4)):
        if not run.cell.workers:
            return
        worker = run.cell.workers[run.pick_worker()]
        run.cell.crash_worker(worker)
        await asyncio.sleep(run.rng.uniform(0, 2))
        # Its first registration may be late.
        cut = {(worker.worker_id, STORE_ADDRESS)}
        run.cell.net.cuts.update(run.rng.choice((cut, set())))
        run.cell.restart_worker(worker, run.rng.choice(RESTART_CLOCKS_MS))
        await asyncio.sleep(run.rng.uniform(0, 1))
        run.cell.net.cuts.difference_update(cut)


@FAULTS.register('deadly')
async def deadly(run: 'FuzzRun') -> None:
    """Submit a job with a task that crashes the workers that start it."""
    await run.submit_job(is_deadly=True)


@FAULTS.register('shrink')
async def shrink(run: 'FuzzRun') -> None:
    """Shrink the capacity of a worker for a while, several times."""
    for _ in range(run.rng.randint(1, 3)):
        worker = run.cell.workers[run.pick_worker()]
        worker.stop_duration_s = run.rng.choice((0.1, 0.9))
        worker.resize(Shape('cpu', run.rng.choice((1000, 4000, 8000))))
        await run.pause()
        worker.resize(Shape('cpu'))


@FAULTS.register('deal_anew')
async def reassign_partitions(run: 'FuzzRun') -> None:
    """Reassign the partitions of every group several times."""
    for _ in range(run.rng.randint(1, 3)):
        run.cell.store.reassign_partitions()
        await asyncio.sleep(run.rng.uniform(0, 1))


@FAULTS.register('revoke')
async def revoke(run: 'FuzzRun') -> None:
    """Revoke the ownership at once."""
    run.cell.store.revoke('seat')


@FAULTS.register('unlisted')
async def expire_registrations(run: 'FuzzRun') -> None:
    """Let all registrations expire while the store is down; kill the owner."""
    refusing = ('*', STORE_ADDRESS)
    run.cell.net.refusing.add(refusing)
    await asyncio.sleep(REGISTRATION_EXPIRY_S)
    vm = run.pick_vm()
    if len(run.cell.entries) > 1:
        run.cell.kill_vm(vm)
    run.cell.net.refusing.discard(refusing)
    await run.pause()
    if vm not in run.cell.entries:
        run.cell.start_vm(vm)


@FAULTS.register('history')
async def history(run: 'FuzzRun') -> None:
    """Delete the history of every topic."""
    for topic in list(run.cell.store.topics):
        run.cell.store.truncate_history(topic)


@FAULTS.register('grey')
async def grey(run: 'FuzzRun') -> None:
    """Make the runs of a worker fail or hang."""
    worker = run.cell.workers[run.pick_worker()]
    worker.hangs = run.rng.choice((True, False))
    worker.fails = not worker.hangs
    await run.pause()
    worker.hangs = False
    worker.fails = False


@FAULTS.register('answers_broken')
async def answers_broken(run: 'FuzzRun') -> None:
    """Close the connection in place of some answers of the workers."""
    for address in run.cell.addresses.values():
        run.cell.net.broken[address] = 0.3
    await run.pause()
    run.cell.net.broken.clear()


@FAULTS.register('config_storm')
async def config_storm(run: 'FuzzRun') -> None:
    """Publish configurations in quick succession."""
    for _ in range(run.rng.randint(5, 15)):
        run.cell.configure()
        await asyncio.sleep(run.rng.uniform(0.1, 0.5))
