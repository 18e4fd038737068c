"""Run random load with random faults and audit every guarantee."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Final, NamedTuple, final

from lycheerelay._hashing import number_of
from lycheerelay._registry import Registry
from lycheerelay.workflow import FINAL_PHASES

from ._cell import STORE_ADDRESS, PlatformCell
from ._environment import RESTART_CLOCKS_MS, CellShape, QueueShape
from ._virtual_time import run_virtual
from ._worker import Shape

LOAD_S: Final = 25
FINAL_TIMEOUT_S: Final = 90
CANCEL_SHARE: Final = 0.2
STEP_VARIANTS: Final[tuple[dict[str, Any], ...]] = (
    {},
    {},
    {},
    {'gang': True, 'count': 2},
    {'speculative': True},
)
Inject = Callable[['FuzzRun'], Coroutine[Any, Any, None]]
FAULTS: Final[Registry[str, Inject]] = Registry('fault')
FAULT_DURATION_S: Final = (0.5, 6)
# Faults that are drawn only if they are asked for, so that the days of earlier
# seeds stay as they were.
OPTIONAL_FAULTS: Final = (
    'answers_broken',
    'config_storm',
    'deadly',
    'restart',
    'shrink',
)


class FuzzResult(NamedTuple):
    """Violations, unfinished jobs and counts of one fuzz run."""

    seed: int
    broken: tuple[str, ...]
    unfinished: tuple[str, ...]
    jobs: int
    faults: tuple[str, ...]


@final
class FuzzRun:
    """One fuzz run: a cell, random load and random faults."""

    def __init__(self, seed: int, only: tuple[str, ...] = ()) -> None:
        """Draw the shape of the cell; `only` restricts the faults."""
        self.seed = seed
        self.rng = random.Random(number_of(f'fuzz:{seed}'))
        self.only = only or tuple(
            name for name in FAULTS if name not in OPTIONAL_FAULTS
        )
        self.jobs: list[str] = []
        self.injected: list[str] = []
        advice: dict[str, float] = {
            'decisionMs': 20,
            'periodMs': 1,
            'validityMs': 2000,
        }
        advised = self.rng.choice((None, advice))
        self.cell = PlatformCell(
            CellShape(
                vms=self.rng.randint(2, 4),
                workers=(Shape('cpu'),) * self.rng.randint(3, 6),
                queues=(QueueShape('batch', 'cpu', 3, advised),),
                seed=seed,
            ),
        )

    async def run(self) -> FuzzResult:
        """Inject faults under load, remove them, wait for the jobs."""
        await self.cell.begin()
        load = asyncio.create_task(self._generate_load())
        fault_task = asyncio.create_task(self._inject_faults())
        await asyncio.sleep(LOAD_S)
        load.cancel()
        await fault_task
        self._clear_faults()
        phases = await self.cell.settle(self._accepted(), FINAL_TIMEOUT_S)
        await self.cell.finish()
        open_jobs = [
            f'{name}: {phase}'
            for name, phase in phases.items()
            if phase not in FINAL_PHASES
        ]
        return FuzzResult(
            self.seed,
            tuple(self.cell.audit.broken),
            tuple(open_jobs),
            len(self.jobs),
            tuple(self.injected),
        )

    def pick_vm(self) -> str:
        """Return a random VM, which is the owner in half of the cases."""
        owner = self.cell.owner()
        names = sorted(self.cell.entries)
        if owner and self.rng.choice((True, False)):
            return owner
        return self.rng.choice(names)

    def pick_worker(self) -> str:
        """Return a random worker id."""
        return self.rng.choice(sorted(self.cell.workers))

    async def pause(self) -> None:
        """Wait for the random duration of a fault."""
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))

    def _accepted(self) -> list[str]:
        submitted_jobs = self.cell.audit.jobs
        return [name for name in self.jobs if submitted_jobs[name].accepted]

    async def _generate_load(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(3))
            asyncio.create_task(self.submit_job())

    async def submit_job(self, is_deadly: bool = False) -> None:
        """Submit a random job; a deadly one has a task that crashes workers."""
        steps = self._steps()
        body = {'spec': 'x', 'steps': steps}
        vm = self.rng.choice(sorted(self.cell.entries))
        work_ms = self.rng.choice((200, 800, 3000))
        deadly = self._pick_deadly(steps) if is_deadly else ()
        name, outcome = await self.cell.submit(
            vm, body, work_ms=work_ms, deadly=deadly
        )
        self.jobs.append(name)
        if outcome.status.value == 'unknown_outcome':
            again = self.rng.choice(sorted(self.cell.entries))
            await self.cell.submit(again, body, job_id=name, deadly=deadly)
        if self.rng.random() < CANCEL_SHARE:
            await asyncio.sleep(self.rng.uniform(0, 3))
            chosen = self.rng.choice(sorted(self.cell.entries))
            if self.cell.audit.jobs[name].accepted:
                await self.cell.cancel(chosen, name)

    def _steps(self) -> list[dict[str, Any]]:
        steps = []
        for number in range(self.rng.randint(1, 3)):
            step: dict[str, Any] = {
                'count': self.rng.randint(1, 5),
                'cpu': self.rng.choice((1000, 4000, 8000)),
                'memMb': 1000,
                'estimatedMs': 500,
            }
            if number and self.rng.choice((True, False)):
                step['after'] = [number - 1]
            step.update(self.rng.choice(STEP_VARIANTS))
            steps.append(step)
        return steps

    def _pick_deadly(self, steps: list[dict[str, Any]]) -> tuple[str, ...]:
        number = self.rng.randrange(len(steps))
        member = self.rng.randrange(steps[number]['count'])
        return (f'{number}.{member}',)

    async def _inject_faults(self) -> None:
        running_faults = []
        for _ in range(self.rng.randint(2, 7)):
            await asyncio.sleep(self.rng.uniform(0, LOAD_S / 7))
            name = self.rng.choice(self.only)
            self.injected.append(name)
            running_faults.append(asyncio.create_task(FAULTS[name](self)))
        await asyncio.gather(*running_faults)

    def _clear_faults(self) -> None:
        net = self.cell.net
        for impairment in (
            net.cuts,
            net.refusing,
            net.lost,
            net.broken,
            net.late,
            net.slow,
        ):
            impairment.clear()


@FAULTS.register('kill')
async def kill(run: FuzzRun) -> None:
    """Kill a VM and restart it."""
    vm = run.pick_vm()
    if len(run.cell.entries) > 1:
        run.cell.kill_vm(vm)
        await run.pause()
        run.cell.start_vm(vm)


@FAULTS.register('kill_all')
async def kill_all(run: FuzzRun) -> None:
    """Kill every VM, then restart them together."""
    names = sorted(run.cell.entries)
    for vm in names:
        run.cell.kill_vm(vm)
    for vm in names:
        run.cell.start_vm(vm)
    await run.pause()


async def _cut_links(run: FuzzRun, *pairs: tuple[str, str]) -> None:
    run.cell.net.cuts.update(pairs)
    await run.pause()
    run.cell.net.cuts.difference_update(pairs)


@FAULTS.register('store_cut')
async def store_cut(run: FuzzRun) -> None:
    """Disconnect a VM from the store."""
    await _cut_links(run, (run.pick_vm(), STORE_ADDRESS))


@FAULTS.register('worker_cut')
async def worker_cut(run: FuzzRun) -> None:
    """Disconnect a worker from every VM and the store."""
    worker = run.pick_worker()
    await _cut_links(run, ('*', worker), (worker, STORE_ADDRESS))


@FAULTS.register('worker_vm_cut')
async def worker_vm_cut(run: FuzzRun) -> None:
    """Disconnect up to two workers from one VM."""
    vm = run.pick_vm()
    count = min(2, len(run.cell.workers))
    workers = run.rng.sample(sorted(run.cell.workers), count)
    await _cut_links(run, *((vm, worker) for worker in workers))


@FAULTS.register('vm_cut')
async def vm_cut(run: FuzzRun) -> None:
    """Disconnect a VM from everything."""
    vm = run.pick_vm()
    await _cut_links(run, (vm, '*'), ('*', vm))


@FAULTS.register('store_down')
async def store_down(run: FuzzRun) -> None:
    """Make the store refuse every call."""
    run.cell.net.refusing.add(('*', STORE_ADDRESS))
    await run.pause()
    run.cell.net.refusing.discard(('*', STORE_ADDRESS))


@FAULTS.register('store_slow')
async def store_slow(run: FuzzRun) -> None:
    """Delay the responses of the store."""
    run.cell.net.slow[STORE_ADDRESS] = 240
    await run.pause()
    run.cell.net.slow.pop(STORE_ADDRESS, None)


@FAULTS.register('store_lost')
async def store_lost(run: FuzzRun) -> None:
    """Drop responses of the store, or execute its calls late."""
    run.cell.net.lost[STORE_ADDRESS] = 0.35
    run.cell.net.late[STORE_ADDRESS] = (0.2, 1, 6)
    await run.pause()
    run.cell.net.lost.pop(STORE_ADDRESS, None)
    run.cell.net.late.pop(STORE_ADDRESS, None)


@FAULTS.register('applied_late')
async def applied_late(run: FuzzRun) -> None:
    """Make workers execute some calls late and without a response."""
    for address in run.cell.addresses.values():
        run.cell.net.late[address] = (0.15, 2, 12)
    await run.pause()
    for address in run.cell.addresses.values():
        run.cell.net.late.pop(address, None)


@FAULTS.register('crash')
async def crash(run: FuzzRun) -> None:
    """Crash a worker and start a new one at its address."""
    if len(run.cell.workers) > 2:
        worker = run.cell.workers[run.pick_worker()]
        address = run.cell.addresses[worker.worker_id]
        run.cell.crash_worker(worker)
        await run.pause()
        run.cell.add_worker(Shape('cpu'), address)


@FAULTS.register('restart')
async def restart(run: FuzzRun) -> None:
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
async def deadly(run: FuzzRun) -> None:
    """Submit a job with a task that crashes the workers that start it."""
    await run.submit_job(is_deadly=True)


@FAULTS.register('shrink')
async def shrink(run: FuzzRun) -> None:
    """Shrink the capacity of a worker for a while, several times."""
    for _ in range(run.rng.randint(1, 3)):
        worker = run.cell.workers[run.pick_worker()]
        worker.stop_duration_s = run.rng.choice((0.1, 0.9))
        worker.resize(Shape('cpu', run.rng.choice((1000, 4000, 8000))))
        await run.pause()
        worker.resize(Shape('cpu'))


@FAULTS.register('deal_anew')
async def reassign_partitions(run: FuzzRun) -> None:
    """Reassign the partitions of every group several times."""
    for _ in range(run.rng.randint(1, 3)):
        run.cell.store.reassign_partitions()
        await asyncio.sleep(run.rng.uniform(0, 1))


@FAULTS.register('revoke')
async def revoke(run: FuzzRun) -> None:
    """Revoke the ownership at once."""
    run.cell.store.revoke('seat')


@FAULTS.register('history')
async def history(run: FuzzRun) -> None:
    """Delete the history of every topic."""
    for topic in list(run.cell.store.topics):
        run.cell.store.truncate_history(topic)


@FAULTS.register('grey')
async def grey(run: FuzzRun) -> None:
    """Make the runs of a worker fail or hang."""
    worker = run.cell.workers[run.pick_worker()]
    worker.hangs = run.rng.choice((True, False))
    worker.fails = not worker.hangs
    await run.pause()
    worker.hangs = False
    worker.fails = False


@FAULTS.register('answers_broken')
async def answers_broken(run: FuzzRun) -> None:
    """Close the connection in place of some answers of the workers."""
    for address in run.cell.addresses.values():
        run.cell.net.broken[address] = 0.3
    await run.pause()
    run.cell.net.broken.clear()


@FAULTS.register('config_storm')
async def config_storm(run: FuzzRun) -> None:
    """Publish configurations in quick succession."""
    for _ in range(run.rng.randint(5, 15)):
        run.cell.configure()
        await asyncio.sleep(run.rng.uniform(0.1, 0.5))


def fuzz(seed: int, only: tuple[str, ...] = ()) -> FuzzResult:
    """Run the fuzzer with a seed in virtual time."""

    async def execute() -> FuzzResult:
        return await FuzzRun(seed, only).run()

    result: FuzzResult = run_virtual(execute())
    return result
