"""Callers with keys, and faults of tenants, in soaks of real processes."""

import asyncio
import random
import signal
from typing import TYPE_CHECKING, Final, final

from lycheerelay._clock import MS_PER_SECOND
from lycheerelay._hashing import number_of
from lycheerelay._registry import Registry

from ._audit import SubmittedJob
from ._audit_tenants import ObservedCall
from ._network import HTTP_UNAVAILABLE
from ._soak_cell import EntryProcess, job_body
from ._soak_faults import Inject
from ._tenant_load import SMALL_STEP, TenantKeys
from ._tenants import Credential

if TYPE_CHECKING:
    from ._soak import Soak

SOAK_TENANT_FAULTS: Final[Registry[str, Inject]] = Registry('tenant soak fault')
# Share of probes that ask for the state of a job.
STATE_SHARE: Final = 0.7
PROBE_INTERVAL_S: Final = (0.05, 0.4)


@final
class SoakTenants(TenantKeys):
    """Keys of the callers of a soak; their responses go to the auditor."""

    def __init__(self, soak: 'Soak') -> None:
        """Draw from a generator of its own."""
        rng = random.Random(number_of(f'soak tenants:{soak.seed}'))
        super().__init__(soak.cell, rng)
        self.soak = soak

    def draw_caller(self) -> Credential:
        """Return the tenant and the key of a caller; none without tenants."""
        if not self.original:
            return Credential('', '')
        return self.draw_credential(self.draw_tenant())

    def check_call(
        self, vm: str, credential: Credential, status: int, sent_ms: int
    ) -> None:
        """Report the response to a call."""
        since_ms = sent_ms - self.cell.shape.bounds.config_apply_ms
        call = ObservedCall(
            vm,
            credential.key,
            credential.tenant,
            status,
            sent_ms,
            self.cell.now_ms(),
            self.cell.is_in_contact(vm, since_ms),
        )
        self.cell.audit.tenants.check_call(call)

    async def probe(
        self, vm: str, credential: Credential, done: asyncio.Event
    ) -> None:
        """Call a VM with a key, whatever it answers, until `done` is set."""
        async with asyncio.TaskGroup() as probes:
            while not done.is_set():
                probes.create_task(self._probe_once(vm, credential))
                await asyncio.sleep(self.rng.uniform(*PROBE_INTERVAL_S))

    async def _probe_once(self, vm: str, credential: Credential) -> None:
        names = self.jobs_of(credential.tenant)
        if names and self.rng.random() < STATE_SHARE:
            name = self.rng.choice(names)
            await self.soak.query_state(vm, name, credential.key)
            return
        submitted = SubmittedJob(
            job_body([SMALL_STEP]), 'cpu', 3, tenant=credential.tenant
        )
        name = f'{self.rng.getrandbits(64):016x}'
        await self.soak.submit(vm, name, submitted, credential)


@SOAK_TENANT_FAULTS.register('key_withdrawn')
async def key_withdrawn(soak: 'Soak') -> None:
    """Revoke a key in use, mostly while VMs cannot learn of it."""
    vm = soak.pick_vm()
    credential = soak.tenants.pick_credential()
    done = asyncio.Event()
    probes = asyncio.create_task(soak.tenants.probe(vm.name, credential, done))
    await asyncio.sleep(0.5)
    await _revoke_behind(soak, vm, credential)
    await asyncio.sleep(1)
    done.set()
    await probes


async def _revoke_behind(
    soak: 'Soak', vm: EntryProcess, credential: Credential
) -> None:
    """Revoke a key while no VM, one VM or all VMs cannot learn of it."""
    rng = soak.rng
    everyone = list(soak.cell.vms.values())
    name = rng.choice(sorted(HINDRANCES))
    soak.injected.append(name)
    hindrance = HINDRANCES[name]
    hindered = rng.choice(([vm], everyone))
    await hindrance(soak, hindered, is_over=False)
    # A read in progress may still return the revocation.
    await asyncio.sleep(rng.uniform(0, 2))
    soak.tenants.revoke(credential)
    # Half of the hindrances last until the key must not be used any more.
    bound_s = soak.cell.shape.bounds.revocation_ms / MS_PER_SECOND
    await asyncio.sleep(rng.uniform(0, 2 * bound_s))
    await hindrance(soak, hindered, is_over=True)


async def _do_nothing(
    soak: 'Soak', vms: list[EntryProcess], *, is_over: bool
) -> None:
    """Let every VM learn of the revocation."""


async def _freeze(
    soak: 'Soak', vms: list[EntryProcess], *, is_over: bool
) -> None:
    for vm in vms:
        await vm.send(signal.SIGCONT if is_over else signal.SIGSTOP)


async def _silence_store(
    soak: 'Soak', vms: list[EntryProcess], *, is_over: bool
) -> None:
    for vm in vms:
        proxy = soak.cell.store_proxies[vm.name]
        proxy.drops_all = True
        if is_over:
            proxy.clear_faults()


async def _fail_reads(
    soak: 'Soak', vms: list[EntryProcess], *, is_over: bool
) -> None:
    """Fail only the reads of the configuration, at all VMs."""
    if is_over:
        soak.net.failing_reads.clear()
    else:
        soak.net.failing_reads['*'] = HTTP_UNAVAILABLE


HINDRANCES: Final = {
    'known_everywhere': _do_nothing,
    'reads_failed': _fail_reads,
    'store_silenced': _silence_store,
    'suspended': _freeze,
}


@SOAK_TENANT_FAULTS.register('quota_dropped')
async def quota_dropped(soak: 'Soak') -> None:
    """Lower a quota far below what runs, and restore it."""
    tenants = soak.tenants
    tenant = tenants.drop_quota()
    await soak.pause()
    await soak.pause()
    tenants.restore_quota(tenant)
