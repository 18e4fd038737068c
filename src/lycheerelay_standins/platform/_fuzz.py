"""Run random load with random faults and audit every guarantee."""

import asyncio
import random
from typing import Any, Final, NamedTuple, final

from lycheerelay._hashing import number_of
from lycheerelay.workflow import FINAL_PHASES

from ._cell import PlatformCell
from ._environment import CellShape, QueueShape
from ._freezing import FreezableLoop
from ._fuzz_faults import FAULTS, Inject
from ._fuzz_tenants import TENANT_FAULTS, TenantLoad
from ._tenant_load import add_tenants
from ._virtual_time import run_virtual
from ._worker import Shape

LOAD_S: Final = 25
FINAL_TIMEOUT_S: Final = 90
# Jobs wait for the quotas of their tenants.
TENANTS_FINAL_TIMEOUT_S: Final = 240
CANCEL_SHARE: Final = 0.2
# Cancellations of a job whose caller has no acknowledgement.
MAX_CANCELS: Final = 10
# Jobs are asked for after a long cut.
LONG_STATUS_MS: Final = 600_000
STEP_VARIANTS: Final[tuple[dict[str, Any], ...]] = (
    {},
    {},
    {},
    {'gang': True, 'count': 2},
    {'speculative': True},
)
FAULT_DURATION_S: Final = (0.5, 6)
# Faults that are drawn only if they are asked for, so that the days of earlier
# seeds stay as they were.
OPTIONAL_FAULTS: Final = (
    'abandoned',
    'answers_broken',
    'config_storm',
    'deadly',
    'leave',
    'long_cut',
    'pile_ends',
    'restart',
    'shrink',
    'store_refuses',
    'unlisted',
    'wide',
)
# Largest record of a run with wide jobs, whose progress takes several.
SMALL_RECORD_BYTES: Final = 1800
WIDE_STEP_TASKS: Final = (200, 400)


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

    def __init__(
        self,
        seed: int,
        only: tuple[str, ...] = (),
        with_tenants: bool = False,
    ) -> None:
        """Draw the shape of the cell; `only` restricts the faults.

        A run with tenants requires a `FreezableLoop`.
        """
        self.seed = seed
        self.rng = random.Random(number_of(f'fuzz:{seed}'))
        self.only = only or _default_faults(with_tenants)
        self.jobs: list[str] = []
        self.injected: list[str] = []
        advice: dict[str, float] = {
            'decisionMs': 20,
            'periodMs': 1,
            'validityMs': 2000,
        }
        advised = self.rng.choice((None, advice))
        shape = CellShape(
            vms=self.rng.randint(2, 4),
            workers=(Shape('cpu'),) * self.rng.randint(3, 6),
            queues=(QueueShape('batch', 'cpu', 3, advised),),
            seed=seed,
        )
        if 'wide' in self.only:
            shape = shape._replace(record_bytes=SMALL_RECORD_BYTES)
        if 'long_cut' in self.only:
            shape = shape._replace(status_ms=LONG_STATUS_MS)
        self.cell = PlatformCell(
            add_tenants(shape, seed) if with_tenants else shape
        )
        self.tenant_load = TenantLoad(self) if with_tenants else None

    async def run(self) -> FuzzResult:
        """Inject faults under load, remove them, wait for the jobs."""
        await self.cell.begin()
        load = asyncio.create_task(self._generate_load())
        fault_task = asyncio.create_task(self._inject_faults())
        await asyncio.sleep(LOAD_S)
        load.cancel()
        await fault_task
        self._clear_faults()
        phases = await self._settle()
        await self.cell.finish()
        open_jobs = [
            f'{name}: {phase}'
            for name, phase in phases.items()
            if phase not in FINAL_PHASES
        ]
        return FuzzResult(
            self.seed,
            tuple(self.cell.audit.broken) + self._refused_records(),
            tuple(open_jobs),
            len(self.jobs),
            tuple(self.injected),
        )

    def _refused_records(self) -> tuple[str, ...]:
        # Nothing that the system writes may be larger than the settings say.
        count = self.cell.store.too_large
        return (f'RECORD: {count} were too large',) if count else ()

    def tenants(self) -> TenantLoad:
        """Return the load of the tenants; raise ValueError without any."""
        if self.tenant_load is None:
            raise ValueError('this fault needs a run with tenants')
        return self.tenant_load

    async def _settle(self) -> dict[str, str]:
        if self.tenant_load is None:
            return await self.cell.settle(self._accepted(), FINAL_TIMEOUT_S)
        return await self.tenant_load.settle(
            self._accepted(), TENANTS_FINAL_TIMEOUT_S
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

    async def submit_wide_job(self) -> None:
        """Submit a job whose progress does not fit in a small record."""
        count = self.rng.randint(*WIDE_STEP_TASKS)
        step = {'count': count, 'cpu': 50, 'memMb': 10, 'estimatedMs': 3000}
        await self.submit_job(steps=[step])

    async def submit_job(
        self,
        is_deadly: bool = False,
        tenant: str = '',
        steps: list[dict[str, Any]] | None = None,
    ) -> None:
        """Submit a random job; a deadly one has a task that crashes workers.

        In a run with tenants it is that of `tenant`, or of a random one.
        """
        if steps is None:
            steps = self._steps()
        body = {'spec': 'x', 'steps': steps}
        vm = self.rng.choice(sorted(self.cell.entries))
        work_ms = self.rng.choice((200, 800, 3000))
        deadly = self._pick_deadly(steps) if is_deadly else ()
        if self.tenant_load is not None:
            name = await self.tenant_load.submit(body, work_ms, deadly, tenant)
            await self._cancel_some(name)
            return
        name, outcome = await self.cell.submit(
            vm, body, work_ms=work_ms, deadly=deadly
        )
        self.jobs.append(name)
        if outcome.status.value == 'unknown_outcome':
            again = self.rng.choice(sorted(self.cell.entries))
            await self.cell.submit(again, body, job_id=name, deadly=deadly)
        await self._cancel_some(name)

    async def _cancel_some(self, name: str) -> None:
        if self.rng.random() >= CANCEL_SHARE:
            return
        await asyncio.sleep(self.rng.uniform(0, 3))
        chosen = self.rng.choice(sorted(self.cell.entries))
        if not self.cell.audit.jobs[name].accepted:
            return
        if self.tenant_load is None:
            await self.cell.cancel(chosen, name)
        else:
            await self.tenant_load.cancel(name)

    async def abandon_job(self) -> None:
        """Submit a job once and cancel it until that is acknowledged.

        In a run with tenants, a job of theirs.
        """
        await asyncio.sleep(self.rng.uniform(0, 2))
        body = {'spec': 'x', 'steps': self._steps()}
        if self.tenant_load is not None:
            await self.tenant_load.abandon(body)
            return
        vm = self.rng.choice(sorted(self.cell.entries))
        if self.cell.entries[vm].config.table is None:
            # A VM that has just started refuses each call.
            return
        name, _ = await self.cell.submit(vm, body)
        for _ in range(MAX_CANCELS):
            await asyncio.sleep(self.rng.uniform(0, 0.5))
            other = self.rng.choice(sorted(self.cell.entries))
            await self.cell.cancel(other, name)
            if self.cell.audit.jobs[name].cancelled_ms >= 0:
                break

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
            running_faults.append(asyncio.create_task(_find_fault(name)(self)))
        await asyncio.gather(*running_faults)

    def _clear_faults(self) -> None:
        net = self.cell.net
        self.cell.store.refuses_appends = False
        for impairment in (
            net.cuts,
            net.refusing,
            net.lost,
            net.broken,
            net.late,
            net.slow,
        ):
            impairment.clear()


def _default_faults(with_tenants: bool) -> tuple[str, ...]:
    names = tuple(name for name in FAULTS if name not in OPTIONAL_FAULTS)
    if not with_tenants:
        return names
    # The faults of tenants are half of those that are drawn.
    weight = len(names) // len(tuple(TENANT_FAULTS))
    return names + tuple(TENANT_FAULTS) * weight


def _find_fault(name: str) -> Inject:
    return (TENANT_FAULTS if name in TENANT_FAULTS else FAULTS)[name]


def fuzz(
    seed: int, only: tuple[str, ...] = (), with_tenants: bool = False
) -> FuzzResult:
    """Run the fuzzer with a seed in virtual time."""

    async def execute() -> FuzzResult:
        return await FuzzRun(seed, only, with_tenants).run()

    loop = FreezableLoop() if with_tenants else None
    result: FuzzResult = run_virtual(execute(), loop)
    return result
