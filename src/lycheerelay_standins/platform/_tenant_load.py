"""Draw the tenants of a cell, and the keys with which callers use it."""

import random
from typing import Final

from lycheerelay._hashing import number_of
from lycheerelay._resources import Resources

from ._environment import CellShape, Environment, QueueShape
from ._tenants import Credential, TenantShape

PUBLIC_QUEUE: Final = 'open'
# Shares of submissions without a key, with an unknown one and with a revoked one.
MISSING_KEY_SHARE: Final = 0.02
UNKNOWN_KEY_SHARE: Final = 0.05
REVOKED_KEY_SHARE: Final = 0.1
UNKNOWN_KEY: Final = 'unknown'
# Share of tenants with a quota.
LIMITED_SHARE: Final = 0.8
JOBS_PER_S: Final = 3
# Demand of the largest task of the load.
MIN_QUOTA_CORES_MILLI: Final = 8000
# Shares of what runs to which a quota drops, and the lowest one.
DROPPED_SHARES: Final = (0.05, 0.3)
MIN_DROPPED_MILLI: Final = 1000
# Task of a call that only probes a key.
SMALL_STEP: Final = {'count': 1, 'cpu': 1000, 'memMb': 100, 'estimatedMs': 500}


def add_tenants(shape: CellShape, seed: int) -> CellShape:
    """Return the shape with 5 to 20 tenants of uneven size, by the seed."""
    rng = random.Random(number_of(f'tenants:{seed}'))
    sizes = [rng.paretovariate(1) for _ in range(rng.randint(5, 20))]
    capacity = sum(worker.cores_milli for worker in shape.workers)
    tenants = tuple(
        _draw_tenant(rng, f't-{number}', size / sum(sizes), capacity)
        for number, size in enumerate(sizes)
    )
    queue = shape.queues[0]
    open_queue = QueueShape(PUBLIC_QUEUE, queue.pool, is_public=True)
    return shape._replace(tenants=tenants, queues=(queue, open_queue))


def _draw_tenant(
    rng: random.Random, name: str, share: float, capacity: int
) -> TenantShape:
    keys = tuple(f'{name}-key-{number}' for number in range(rng.randint(1, 3)))
    cores = int(share * capacity * rng.uniform(0.4, 1.6))
    is_limited = rng.random() < LIMITED_SHARE
    quota = Resources(max(cores, MIN_QUOTA_CORES_MILLI) if is_limited else 0)
    return TenantShape(name, keys, share * JOBS_PER_S * 1.2, quota)


class TenantKeys:
    """Draw keys of the tenants of a cell, and revoke them."""

    def __init__(self, cell: Environment, rng: random.Random) -> None:
        """Draw from a generator of its own."""
        self.cell = cell
        self.book = cell.tenants
        self.rng = rng
        self.original = dict(self.book.shapes)
        self.revoked: list[Credential] = []
        self.key_count = 0

    def draw_tenant(self) -> str:
        """Return a tenant, the larger ones more often."""
        names = sorted(self.original)
        weights = [self.original[name].weight for name in names]
        return self.rng.choices(names, weights)[0]

    def draw_credential(self, tenant: str) -> Credential:
        """Return what a caller sends, which is mostly a key in force."""
        draw = self.rng.random()
        if draw < MISSING_KEY_SHARE:
            return Credential(tenant, '')
        if draw < UNKNOWN_KEY_SHARE:
            return Credential(tenant, UNKNOWN_KEY)
        if draw < REVOKED_KEY_SHARE and self.revoked:
            return self.rng.choice(self.revoked)
        return Credential(tenant, self.rng.choice(self._keys(tenant)))

    def pick_credential(self) -> Credential:
        """Return a random key in force and its tenant."""
        tenant = self.draw_tenant()
        return Credential(tenant, self.rng.choice(self._keys(tenant)))

    def revoke(self, credential: Credential) -> None:
        """Remove a key; a tenant without another one gets a new one."""
        keys = self._keys(credential.tenant)
        if credential.key not in keys:
            return
        self.revoked.append(credential)
        if len(keys) > 1:
            self.book.withdraw_key(credential.key)
        else:
            self.key_count += 1
            self.book.replace_key(credential.key, f'new-key-{self.key_count}')

    def drop_quota(self) -> str:
        """Lower the quota of the tenant with the most cores in use.

        Return its name.
        """
        tenants = self.cell.audit.tenants
        name = max(
            self.book.shapes,
            key=lambda tenant: tenants.used_by(tenant).cores_milli,
        )
        used = tenants.used_by(name).cores_milli
        lowered = int(used * self.rng.uniform(*DROPPED_SHARES))
        self.book.set_quota(name, Resources(max(lowered, MIN_DROPPED_MILLI)))
        return name

    def restore_quota(self, name: str) -> None:
        """Give a tenant the quota that it had at first."""
        self.book.set_quota(name, self.original[name].quota)

    def key_of(self, job_id: str) -> str:
        """Return a key of a job's tenant; none for jobs of public queues."""
        tenant = self.cell.audit.jobs[job_id].tenant
        # The first key is in force for the longest time.
        return self._keys(tenant)[0] if tenant else ''

    def jobs_of(self, tenant: str) -> list[str]:
        """Return the accepted jobs of a tenant."""
        return [
            name
            for name, submitted in self.cell.audit.jobs.items()
            if submitted.tenant == tenant and submitted.accepted
        ]

    def _keys(self, tenant: str) -> tuple[str, ...]:
        return self.book.shapes[tenant].keys
