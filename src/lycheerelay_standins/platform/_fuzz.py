"""Play random days with random faults and judge every promise."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Final, NamedTuple, final

from lycheerelay._hashing import number_of
from lycheerelay._registry import Registry
from lycheerelay.workflow import FINAL_PHASES

from ._cell import STORE, PlatformCell
from ._surroundings import CellShape, QueueShape
from ._virtual_time import run_virtual
from ._worker import Shape

DAY_S: Final = 25
SETTLE_S: Final = 90
CANCEL_SHARE: Final = 0.2
SPECIALS: Final[tuple[dict[str, Any], ...]] = (
    {},
    {},
    {},
    {'gang': True, 'count': 2},
    {'speculative': True},
)
Inject = Callable[['Day'], Coroutine[Any, Any, None]]
FAULTS: Final[Registry[str, Inject]] = Registry('fault')
HOLDING_S: Final = (0.5, 6)


class FuzzResult(NamedTuple):
    """Tell what one day came to."""

    seed: int
    broken: tuple[str, ...]
    unfinished: tuple[str, ...]
    jobs: int
    faults: tuple[str, ...]


@final
class Day:
    """Hold one random day."""

    def __init__(self, seed: int, only: tuple[str, ...] = ()) -> None:
        """Draw the cell's shape; `only` restricts the faults."""
        self.seed = seed
        self.rng = random.Random(number_of(f'fuzz:{seed}'))
        self.only = only or tuple(FAULTS)
        self.jobs: list[str] = []
        self.seen: list[str] = []
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

    async def play(self) -> FuzzResult:
        """Play the day, heal everything and wait for the jobs."""
        await self.cell.begin()
        load = asyncio.create_task(self._load())
        trouble = asyncio.create_task(self._trouble())
        await asyncio.sleep(DAY_S)
        load.cancel()
        await trouble
        self._heal()
        phases = await self.cell.settle(self._accepted(), SETTLE_S)
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
            tuple(self.seen),
        )

    def a_vm(self) -> str:
        """Draw a VM, the owner half of the time."""
        owner = self.cell.owner()
        names = sorted(self.cell.entries)
        if owner and self.rng.choice((True, False)):
            return owner
        return self.rng.choice(names)

    def a_worker(self) -> str:
        """Draw a worker."""
        return self.rng.choice(sorted(self.cell.workers))

    async def pause(self) -> None:
        """Let a fault last for a while."""
        await asyncio.sleep(self.rng.uniform(*HOLDING_S))

    def _accepted(self) -> list[str]:
        truths = self.cell.audit.jobs
        return [name for name in self.jobs if truths[name].accepted]

    async def _load(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(3))
            asyncio.create_task(self._one_job())

    async def _one_job(self) -> None:
        body = {'spec': 'x', 'steps': self._steps()}
        vm = self.rng.choice(sorted(self.cell.entries))
        work_ms = self.rng.choice((200, 800, 3000))
        name, outcome = await self.cell.submit(vm, body, work_ms=work_ms)
        self.jobs.append(name)
        if outcome.status.value == 'unknown_outcome':
            again = self.rng.choice(sorted(self.cell.entries))
            await self.cell.submit(again, body, job_id=name)
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
            step.update(self.rng.choice(SPECIALS))
            steps.append(step)
        return steps

    async def _trouble(self) -> None:
        lasting = []
        for _ in range(self.rng.randint(2, 7)):
            await asyncio.sleep(self.rng.uniform(0, DAY_S / 7))
            name = self.rng.choice(self.only)
            self.seen.append(name)
            lasting.append(asyncio.create_task(FAULTS[name](self)))
        await asyncio.gather(*lasting)

    def _heal(self) -> None:
        net = self.cell.net
        for harm in (net.cuts, net.refusing, net.lost, net.late, net.slow):
            harm.clear()


@FAULTS.register('kill')
async def kill(day: Day) -> None:
    """Kill a VM and start it again."""
    vm = day.a_vm()
    if len(day.cell.entries) > 1:
        day.cell.kill_vm(vm)
        await day.pause()
        day.cell.start_vm(vm)


@FAULTS.register('kill_all')
async def kill_all(day: Day) -> None:
    """Kill every VM; they start again together."""
    names = sorted(day.cell.entries)
    for vm in names:
        day.cell.kill_vm(vm)
    for vm in names:
        day.cell.start_vm(vm)
    await day.pause()


async def _cut(day: Day, *pairs: tuple[str, str]) -> None:
    day.cell.net.cuts.update(pairs)
    await day.pause()
    day.cell.net.cuts.difference_update(pairs)


@FAULTS.register('store_cut')
async def store_cut(day: Day) -> None:
    """Cut a VM off from the store."""
    await _cut(day, (day.a_vm(), STORE))


@FAULTS.register('worker_cut')
async def worker_cut(day: Day) -> None:
    """Cut a worker off from every VM and the store."""
    worker = day.a_worker()
    await _cut(day, ('*', worker), (worker, STORE))


@FAULTS.register('worker_vm_cut')
async def worker_vm_cut(day: Day) -> None:
    """Cut some workers off from one VM."""
    vm = day.a_vm()
    count = min(2, len(day.cell.workers))
    workers = day.rng.sample(sorted(day.cell.workers), count)
    await _cut(day, *((vm, worker) for worker in workers))


@FAULTS.register('vm_cut')
async def vm_cut(day: Day) -> None:
    """Cut a VM off from everything."""
    vm = day.a_vm()
    await _cut(day, (vm, '*'), ('*', vm))


@FAULTS.register('store_down')
async def store_down(day: Day) -> None:
    """Let the store refuse every call."""
    day.cell.net.refusing.add(('*', STORE))
    await day.pause()
    day.cell.net.refusing.discard(('*', STORE))


@FAULTS.register('store_slow')
async def store_slow(day: Day) -> None:
    """Let the store answer slowly."""
    day.cell.net.slow[STORE] = 240
    await day.pause()
    day.cell.net.slow.pop(STORE, None)


@FAULTS.register('store_lost')
async def store_lost(day: Day) -> None:
    """Lose answers of the store, or carry its calls out late."""
    day.cell.net.lost[STORE] = 0.35
    day.cell.net.late[STORE] = (0.2, 1, 6)
    await day.pause()
    day.cell.net.lost.pop(STORE, None)
    day.cell.net.late.pop(STORE, None)


@FAULTS.register('applied_late')
async def applied_late(day: Day) -> None:
    """Let workers carry orders out late, unanswered."""
    for address in day.cell.addresses.values():
        day.cell.net.late[address] = (0.15, 2, 12)
    await day.pause()
    for address in day.cell.addresses.values():
        day.cell.net.late.pop(address, None)


@FAULTS.register('crash')
async def crash(day: Day) -> None:
    """Crash a worker; its address goes to a new one."""
    if len(day.cell.workers) > 2:
        worker = day.cell.workers[day.a_worker()]
        address = day.cell.addresses[worker.worker_id]
        day.cell.crash_worker(worker)
        await day.pause()
        day.cell.add_worker(Shape('cpu'), address)


@FAULTS.register('deal_anew')
async def deal_anew(day: Day) -> None:
    """Deal the ownership anew."""
    for _ in range(day.rng.randint(1, 3)):
        day.cell.store.deal_anew()
        await asyncio.sleep(day.rng.uniform(0, 1))


@FAULTS.register('revoke')
async def revoke(day: Day) -> None:
    """Take the owner's seat away at once."""
    day.cell.store.revoke('seat')


@FAULTS.register('history')
async def history(day: Day) -> None:
    """Delete the history of every stream."""
    for topic in list(day.cell.store.topics):
        day.cell.store.forget_history(topic)


@FAULTS.register('grey')
async def grey(day: Day) -> None:
    """Let a worker fail or stall what it runs."""
    worker = day.cell.workers[day.a_worker()]
    worker.hangs = day.rng.choice((True, False))
    worker.fails = not worker.hangs
    await day.pause()
    worker.hangs = False
    worker.fails = False


def fuzz(seed: int, only: tuple[str, ...] = ()) -> FuzzResult:
    """Play the day of a seed."""

    async def whole() -> FuzzResult:
        return await Day(seed, only).play()

    result: FuzzResult = run_virtual(whole())
    return result
