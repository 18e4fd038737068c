"""Hold the cancellations of jobs that the owner does not know.

Load: the store executes hand-ins seconds after their callers have given up and have
cancelled the jobs. Other callers cancel ids that nobody ever hands in.
"""

from collections import Counter
from collections.abc import Iterator
from typing import Final, NamedTuple, final

from ..workflow import WorkflowSpec
from ._credentials import Identity

# A cancellation takes up to 650 bytes at the owner, so that these take 6.5 MB.
MAX_CANCELS: Final = 10_000
# Part of them that the callers of one tenant may have.
TENANT_PARTS: Final = 4
# Time from an admission until the owner has read the cancellation, at most.
ADMISSION_MS: Final = 10_000


class EarlyCancel(NamedTuple):
    """Caller of a cancellation, and when the owner read it, in ms."""

    identity: Identity
    read_ms: int


class CancelAdmission(NamedTuple):
    """Tenant whose caller may store a cancellation; time in ms."""

    tenant: str | None
    expires_ms: int


@final
class EarlyCancels:
    """Hold cancellations without a job by the keys of their records."""

    def __init__(self, max_cancels: int = MAX_CANCELS) -> None:
        """Start without any."""
        self.max_cancels = max_cancels
        self.by_job: dict[str, dict[str, EarlyCancel]] = {}
        self.counts: Counter[str | None] = Counter()
        self.admissions: dict[str, CancelAdmission] = {}

    @property
    def count(self) -> int:
        """Return how many are held or admitted."""
        return self.counts.total()

    def admit(
        self, job_id: str, key: str, identity: Identity, now_ms: int
    ) -> bool:
        """Return whether a cancellation may be stored, and keep room for it.

        One whose record replaces another of the same key needs no room.
        """
        self._drop_admissions(now_ms)
        if key in self.admissions or key in self.by_job.get(job_id, {}):
            return True
        tenant = identity.tenant
        is_full = self.count >= self.max_cancels
        if is_full or self.counts[tenant] >= self._limit_of(tenant):
            return False
        self.admissions[key] = CancelAdmission(tenant, now_ms + ADMISSION_MS)
        self.counts[tenant] += 1
        return True

    def note(
        self, job_id: str, key: str, identity: Identity, now_ms: int
    ) -> None:
        """Hold a cancellation that was read, whether there is room or not."""
        self.forget(job_id, key)
        self._drop_admission(key)
        held = self.by_job.setdefault(job_id, {})
        held[key] = EarlyCancel(identity, now_ms)
        self.counts[identity.tenant] += 1

    def forget(self, job_id: str, key: str) -> None:
        """Forget a cancellation whose record is deleted or replaced."""
        held = self.by_job.get(job_id, {})
        cancel = held.pop(key, None)
        if cancel is not None:
            self._discount(cancel.identity.tenant)
        if not held:
            self.by_job.pop(job_id, None)

    def keys_of(self, job_id: str) -> tuple[str, ...]:
        """Return the keys of the records that are held for a job."""
        return tuple(self.by_job.get(job_id, ()))

    def covers(self, spec: WorkflowSpec) -> bool:
        """Return whether a caller who may access the job has cancelled it."""
        held = self.by_job.get(spec.job_id, {})
        return any(cancel.identity.may_access(spec) for cancel in held.values())

    def read_before(self, limit_ms: int) -> Iterator[tuple[str, str]]:
        """Return the jobs and keys of those that were read before a time."""
        for job_id, held in self.by_job.items():
            for key, cancel in held.items():
                if cancel.read_ms < limit_ms:
                    yield job_id, key

    def _limit_of(self, tenant: str | None) -> int:
        # One tenant does not keep the others from cancelling.
        parts = TENANT_PARTS if tenant else 1
        return self.max_cancels // parts

    def _drop_admissions(self, now_ms: int) -> None:
        while self.admissions:
            # All last equally long, so the first one expires first.
            key = next(iter(self.admissions))
            if self.admissions[key].expires_ms > now_ms:
                return
            self._drop_admission(key)

    def _drop_admission(self, key: str) -> None:
        admission = self.admissions.pop(key, None)
        if admission is not None:
            self._discount(admission.tenant)

    def _discount(self, tenant: str | None) -> None:
        self.counts[tenant] -= 1
        if not self.counts[tenant]:
            self.counts.pop(tenant)
