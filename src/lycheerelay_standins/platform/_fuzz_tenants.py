"""Load and faults of fuzz runs whose cells have tenants."""

import asyncio
import random
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING, Any, Final, NamedTuple, final

from lycheerelay._hashing import number_of
from lycheerelay._registry import Registry
from lycheerelay.serving import NO_ANSWER
from lycheerelay.workflow import FINAL_PHASES

from ._callers import GATEWAY_TIMEOUT, NO_RESPONSE, KeyedCaller
from ._cell import STORE_ADDRESS, PlatformCell
from ._fuzz_faults import Inject
from ._network import HTTP_UNAVAILABLE
from ._tenant_load import PUBLIC_QUEUE, SMALL_STEP, TenantKeys
from ._tenants import Credential

if TYPE_CHECKING:
    from ._fuzz import FuzzRun

TENANT_FAULTS: Final[Registry[str, Inject]] = Registry('tenant fault')
TOO_MANY_REQUESTS: Final = 429
PUBLIC_SHARE: Final = 0.1
HALF: Final = 0.5
# Share of probes at the VM in question, and of those that ask for a state.
PROBE_SHARE: Final = 0.7
# Probes go on until revocation is certain, including that behind a hindrance.
PROBE_S: Final = 14
SURGE_FACTORS: Final = (4, 8)


@final
class TenantLoad(TenantKeys):
    """Load of the tenants of a fuzz run, and changes of their settings."""

    def __init__(self, run: 'FuzzRun') -> None:
        """Draw from a generator of its own."""
        rng = random.Random(number_of(f'tenant load:{run.seed}'))
        super().__init__(run.cell, rng)
        self.run = run
        self.entries = run.cell.entries
        self.caller = KeyedCaller(run.cell)

    async def submit(
        self,
        body: dict[str, Any],
        work_ms: int,
        deadly: Collection[str] = (),
        tenant: str = '',
    ) -> str:
        """Submit a job of a tenant, again if the outcome is unknown."""
        is_public = self.rng.random() < PUBLIC_SHARE
        credential = self.draw_credential(tenant or self.draw_tenant())
        queue = PUBLIC_QUEUE if is_public else 'batch'
        vm = self.pick_vm()
        name, reply = await self.caller.submit(
            vm, body, credential, queue, work_ms=work_ms, deadly=deadly
        )
        self.run.jobs.append(name)
        if reply.status in {NO_RESPONSE, GATEWAY_TIMEOUT}:
            await self.caller.submit(
                self.pick_vm(), body, credential, queue, job_id=name
            )
        return name

    async def abandon(self, body: dict[str, Any]) -> None:
        """Submit a job of a tenant once, and cancel it.

        Another tenant cancels it as well, before or after that.
        """
        tenant = self.draw_tenant()
        credential = self.draw_credential(tenant)
        vm = self.pick_vm()
        name, _ = await self.caller.submit(vm, body, credential)
        foreign = self.caller.call(
            self.pick_vm(),
            'DELETE',
            f'/batch/{name}',
            self.draw_credential(self.draw_tenant()),
        )
        own = self.cancel(name)
        calls = [own, foreign] if self.rng.random() < HALF else [foreign, own]
        for call in calls:
            await call

    async def cancel(self, name: str) -> None:
        """Cancel a job with a key that its tenant holds."""
        await self.caller.cancel(
            self.pick_vm(), name, self.key_of(name), self._queue_of(name)
        )

    async def state(self, name: str) -> str:
        """Return the phase of a job, with a key that its tenant holds."""
        return await self.caller.state(
            self.pick_vm(), name, self.key_of(name), self._queue_of(name)
        )

    async def settle(self, names: list[str], within_s: float) -> dict[str, str]:
        """Wait until jobs are final; return the last phase of each."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + within_s
        phases = dict.fromkeys(names, '')
        while loop.time() < deadline_s:
            for name in names:
                if phases[name] not in FINAL_PHASES:
                    phases[name] = await self.state(name)
            if all(phase in FINAL_PHASES for phase in phases.values()):
                break
            await asyncio.sleep(0.5)
        return phases

    async def probe(self, vm: str, credential: Credential) -> None:
        """Call mostly one VM with a key for a while, whatever it answers."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + PROBE_S
        probes = []
        while loop.time() < until_s:
            probed = vm if self.rng.random() < PROBE_SHARE else self.pick_vm()
            if probed in self.entries:
                probes.append(
                    asyncio.create_task(self._probe_once(probed, credential))
                )
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))
        await asyncio.gather(*probes)

    async def _probe_once(self, vm: str, credential: Credential) -> None:
        names = self.jobs_of(credential.tenant)
        if names and self.rng.random() < PROBE_SHARE:
            name = self.rng.choice(names)
            await self.caller.state(vm, name, credential.key)
            return
        body = {'spec': 'x', 'steps': [SMALL_STEP]}
        delay_s = self.rng.choice((0, 0, 2))
        name, _ = await self.caller.submit(
            vm, body, credential, body_delay_s=delay_s
        )
        self.run.jobs.append(name)

    def pick_vm(self) -> str:
        """Return a random VM."""
        return self.rng.choice(sorted(self.entries))

    def _queue_of(self, name: str) -> str:
        return 'batch' if self.cell.audit.jobs[name].tenant else PUBLIC_QUEUE


class Hindrance(NamedTuple):
    """Way in which a VM fails to learn of a new version."""

    begin: Callable[[PlatformCell, str], object]
    end: Callable[[PlatformCell, str], object]


def _make_cut(*ends: tuple[str, str]) -> Hindrance:
    """Return a cut of links; `{vm}` stands for the VM."""

    def pairs(vm: str) -> set[tuple[str, str]]:
        return {(origin.format(vm=vm), to.format(vm=vm)) for origin, to in ends}

    return Hindrance(
        lambda cell, name: cell.net.cuts.update(pairs(name)),
        lambda cell, name: cell.net.cuts.difference_update(pairs(name)),
    )


def _make_reads_fail(vm: str, status: int) -> Hindrance:
    """Return a failure of reads of the configuration; all other calls work."""
    return Hindrance(
        lambda cell, name: cell.net.failing_reads.update(
            {vm.format(vm=name): status}
        ),
        lambda cell, name: cell.net.failing_reads.pop(vm.format(vm=name), None),
    )


def _freeze_all(cell: PlatformCell, vm: str) -> None:
    for name in cell.entries:
        cell.freeze_vm(name)


def _thaw_all(cell: PlatformCell, vm: str) -> None:
    for name in cell.entries:
        cell.thaw_vm(name)


# Two of the hindrances suspend the VM, which is the hardest case.
HINDRANCES: Final = (
    ('none', Hindrance(lambda cell, vm: None, lambda cell, vm: None)),
    ('vm_cut_from_store', _make_cut(('{vm}', STORE_ADDRESS))),
    ('all_cut_from_store', _make_cut(('*', STORE_ADDRESS))),
    ('vm_cut', _make_cut(('{vm}', '*'), ('*', '{vm}'))),
    ('vm_reads_refused', _make_reads_fail('{vm}', HTTP_UNAVAILABLE)),
    ('vm_reads_throttled', _make_reads_fail('{vm}', TOO_MANY_REQUESTS)),
    ('all_reads_refused', _make_reads_fail('*', HTTP_UNAVAILABLE)),
    ('all_reads_silent', _make_reads_fail('*', NO_ANSWER)),
    ('vm_frozen', Hindrance(PlatformCell.freeze_vm, PlatformCell.thaw_vm)),
    ('vm_frozen', Hindrance(PlatformCell.freeze_vm, PlatformCell.thaw_vm)),
    ('all_frozen', Hindrance(_freeze_all, _thaw_all)),
)


@TENANT_FAULTS.register('key_withdrawn')
async def key_withdrawn(run: 'FuzzRun') -> None:
    """Revoke a key in use, mostly while a VM cannot learn of it."""
    load = run.tenants()
    vm = load.pick_vm()
    credential = load.pick_credential()
    name, hindrance = load.rng.choice(HINDRANCES)
    run.injected.append(name)
    probes = asyncio.create_task(load.probe(vm, credential))
    await asyncio.sleep(load.rng.uniform(0, 1))
    hindrance.begin(run.cell, vm)
    await asyncio.sleep(load.rng.uniform(0, 2))
    load.revoke(credential)
    await asyncio.sleep(load.rng.uniform(0.5, 9))
    hindrance.end(run.cell, vm)
    await probes


@TENANT_FAULTS.register('quota_dropped')
async def quota_dropped(run: 'FuzzRun') -> None:
    """Lower a quota far below what runs, and restore it."""
    load = run.tenants()
    tenant = load.drop_quota()
    await run.pause()
    await run.pause()
    load.restore_quota(tenant)


@TENANT_FAULTS.register('tenant_surge')
async def tenant_surge(run: 'FuzzRun') -> None:
    """Let a tenant send a multiple of its usual load for a while."""
    load = run.tenants()
    tenant = load.rng.choice(sorted(load.original))
    factor = load.rng.uniform(*SURGE_FACTORS)
    rate = load.original[tenant].weight * (factor - 1)
    until_s = asyncio.get_running_loop().time() + load.rng.uniform(1, 8)
    while asyncio.get_running_loop().time() < until_s:
        await asyncio.sleep(load.rng.expovariate(rate))
        asyncio.create_task(run.submit_job(tenant=tenant))
