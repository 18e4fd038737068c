"""Check calls and starts against the guarantees about tenants."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import zip_longest
from typing import Any, Final, NamedTuple, final

from lycheerelay._resources import Resources

from ._tenants import TenantBounds, TenantShape

OK: Final = 200
UNAUTHORIZED: Final = 401
LIMITED_AMOUNTS: Final = ('cores_milli', 'memory_mb', 'accelerators')


class TenantVersion(NamedTuple):
    """Tenants of a version, and the time at which the store confirmed it."""

    number: int
    confirmed_ms: int
    tenants: tuple[TenantShape, ...]

    def find_holder(self, key: str) -> str | None:
        """Return the tenant that holds a key in this version."""
        for tenant in self.tenants:
            if key in tenant.keys:
                return tenant.name
        return None


class ObservedCall(NamedTuple):
    """A call to a queue that is not public, as its caller saw it.

    `tenant` is the tenant of its job. `is_in_contact` says whether the VM has
    had an uninterrupted path to the store from `configApplyMs` before the call
    until its response.
    """

    vm: str
    key: str
    tenant: str
    status: int
    sent_ms: int
    answered_ms: int
    is_in_contact: bool


class OpenRun(NamedTuple):
    """A run that its worker may still hold, and its demand."""

    run: Any
    demand: Resources


@final
@dataclass
class TenantAudit:
    """Report violations of the rules about tenants in `broken`.

    ROUTE: a call succeeds with a key that no version held, or that another
    tenant than that of its job holds. CONFIG: a call succeeds that was sent
    more than `revocationMs` after its key was revoked, or is refused by a VM in
    contact with the store though its key is in force for more than
    `configApplyMs`. QUOTA: a start exceeds the quota of its tenant by more than
    the overage and the task itself.
    """

    broken: list[str]
    bounds: TenantBounds = TenantBounds()
    versions: list[TenantVersion] = field(default_factory=list)
    open_runs: dict[str, list[OpenRun]] = field(default_factory=dict)

    def confirm_version(
        self, number: int, confirmed_ms: int, tenants: Iterable[TenantShape]
    ) -> None:
        """Record a version that the store has confirmed."""
        version = TenantVersion(number, confirmed_ms, tuple(tenants))
        self.versions.append(version)

    def versions_between(
        self, from_ms: int, until_ms: int
    ) -> list[TenantVersion]:
        """Return the versions that were the newest at any time of a span."""
        following = zip_longest(self.versions, self.versions[1:])
        return [
            version
            for version, successor in following
            if version.confirmed_ms <= until_ms
            and (successor is None or successor.confirmed_ms >= from_ms)
        ]

    def check_call(self, call: ObservedCall) -> None:
        """Check the response to a call."""
        if call.status == OK:
            self._check_success(call)
        elif call.status == UNAUTHORIZED and call.is_in_contact:
            self._check_refusal(call)

    def _check_success(self, call: ObservedCall) -> None:
        oldest_ms = call.sent_ms - self.bounds.revocation_ms
        recent = self.versions_between(oldest_ms, call.answered_ms)
        holders = _find_holders(recent, call.key)
        if call.tenant in holders:
            return
        ever = _find_holders(
            self.versions_between(0, call.answered_ms), call.key
        )
        if call.tenant not in ever:
            self._report(
                'ROUTE', call, f'succeeded, the key is held by {sorted(ever)}'
            )
            return
        self._report('CONFIG', call, 'succeeded with a revoked key')

    def _check_refusal(self, call: ObservedCall) -> None:
        oldest_ms = call.sent_ms - self.bounds.config_apply_ms
        recent = self.versions_between(oldest_ms, call.answered_ms)
        if recent and all(version.find_holder(call.key) for version in recent):
            self._report('CONFIG', call, 'was refused with a key in force')

    def _report(self, rule: str, call: ObservedCall, text: str) -> None:
        last = max(
            (
                version.number
                for version in self.versions
                if version.find_holder(call.key)
            ),
            default=0,
        )
        self.broken.append(
            f'{rule}: a call of {call.tenant} at {call.vm}, sent at '
            f'{call.sent_ms}, answered at {call.answered_ms}, {text}; '
            f'last version with the key: {last}'
        )

    def check_start(
        self, run: Any, tenant: str, demand: Resources, now_ms: int
    ) -> None:
        """Check a start that a worker executes, and record the run."""
        runs = [
            other
            for other in self.open_runs.get(tenant, ())
            if other.run.ended_ms < 0
        ]
        runs.append(OpenRun(run, demand))
        self.open_runs[tenant] = runs
        quotas = self._quotas_in_force(tenant, now_ms)
        used = sum_demands(runs)
        for name in LIMITED_AMOUNTS:
            limits = [getattr(quota, name) for quota in quotas]
            # Without a version that has the tenant, there is no quota to check.
            if 0 in limits or not limits:
                continue
            allowed = max(limits) * (1 + self.bounds.quota_overage)
            amount = getattr(used, name)
            if amount > allowed + getattr(demand, name):
                self.broken.append(
                    f'QUOTA: {run.name} #{run.number} at {now_ms} brings '
                    f'{tenant} to {amount} of {max(limits)} {name}'
                )

    def used_by(self, tenant: str) -> Resources:
        """Return what a tenant has running on all workers."""
        return sum_demands(
            other
            for other in self.open_runs.get(tenant, ())
            if other.run.ended_ms < 0
        )

    def _quotas_in_force(self, tenant: str, now_ms: int) -> list[Resources]:
        oldest_ms = now_ms - self.bounds.config_apply_ms
        return [
            shape.quota
            for version in self.versions_between(oldest_ms, now_ms)
            for shape in version.tenants
            if shape.name == tenant
        ]


def _find_holders(versions: list[TenantVersion], key: str) -> set[str]:
    holders = {version.find_holder(key) for version in versions}
    return {holder for holder in holders if holder is not None}


def sum_demands(runs: Iterable[OpenRun]) -> Resources:
    """Return the demand of all runs."""
    used = Resources()
    for open_run in runs:
        used = used.plus(open_run.demand)
    return used


def step_demand(step: dict[str, Any]) -> Resources:
    """Return what a task of a submitted step occupies on its worker."""
    return Resources(
        cores_milli=0 if step.get('fills') else step.get('cpu', 0),
        memory_mb=step.get('memMb', 0),
        accelerators=step.get('gpus', 0),
    )
