"""Answer the questions of all VMs at the owner: states and counts of jobs."""

from typing import Any, Final, final

from .._clock import Clock
from ..workflow import JobInfo, JobPhase
from ._caller_checks import CallerChecks
from ._cancellations import cancel_key
from ._cell_room import CellRoom
from ._credentials import EVERYONE, Identity
from ._doubtful_jobs import DoubtfulJobs
from ._owner import Owner
from ._state_query import StateQuery
from ._tenant_admission import Applicant
from ._wait_forecast import encode_waits

# Field of an answer of the owner whose newer configuration lacks the key.
REVOKED_FIELD: Final = 'key_revoked'
# Fields of an answer of the owner about room for a large job, and for the
# cancellation of a job that is not known.
ROOM_FIELD: Final = 'has_room'
CANCEL_ROOM_FIELD: Final = 'has_cancel_room'
# Field of an answer of the owner with the time for which the store may still execute
# the hand-in of a job that is not known.
DOUBT_FIELD: Final = 'doubtful_ms'


@final
class OwnerAnswers:
    """Answer questions about the cell while this VM is the owner."""

    def __init__(
        self, clock: Clock, checks: CallerChecks, doubts: DoubtfulJobs
    ) -> None:
        """Start as a VM that is not the owner."""
        self.clock = clock
        self.checks = checks
        self.doubts = doubts
        self.owner: Owner | None = None
        self.cell_room = CellRoom(0)

    async def state(self, query: StateQuery) -> dict[str, Any] | None:
        """Return a job's phase; None if this VM is not serving.

        The phase in the result is None if the job is not known, or not visible
        to the caller.
        """
        job_id, identity = query.job_id, query.identity
        owner = self.owner
        if owner is None or not owner.can_answer(job_id):
            return None
        if self.checks.is_revoked(identity, job_id):
            return {'phase': None, REVOKED_FIELD: True, **_published(owner)}
        job = owner.cell.find_job(job_id)
        if job is None and not query.held_only:
            if not await _catch_up(owner):
                return None
            job = owner.cell.find_job(job_id)
        job = _hide_job(job, identity)
        if query.waits and job is not None:
            await owner.results.wait(job)
        phase: JobPhase | None = None if job is None else job.visible_phase
        answer = {
            'phase': phase,
            **_published(owner, None if job else query.applicant),
        }
        if job is not None:
            return answer
        doubtful_ms = self.doubts.remaining_ms(job_id, identity)
        if doubtful_ms:
            answer[DOUBT_FIELD] = doubtful_ms
        return {**answer, **self._keep_room(owner, query)}

    def waiting(
        self, queue: str, identity: Identity = EVERYONE
    ) -> dict[str, Any] | None:
        """Count the waiting jobs of a queue; None if this VM is not serving.

        Jobs that are not visible to the caller are not counted.
        """
        owner = self.owner
        if owner is None or not owner.is_serving:
            return None
        if self.checks.is_revoked(identity, queue):
            return {'waiting': 0, REVOKED_FIELD: True, **_published(owner)}
        waiting = sum(
            1
            for job in owner.cell.jobs.values()
            if job.spec.queue == queue
            and not job.started
            and not job.is_final
            and identity.may_access(job.spec)
        )
        return {'waiting': waiting, **_published(owner)}

    def _keep_room(self, owner: Owner, query: StateQuery) -> dict[str, bool]:
        """Tell whether there is room for what a caller asks of an unknown job."""
        room = {}
        if query.steps:
            room[ROOM_FIELD] = self._admit(owner, query.job_id, query.steps)
        if query.cancels:
            room[CANCEL_ROOM_FIELD] = owner.expiry.early.admit(
                query.job_id,
                cancel_key(query.job_id, query.identity),
                query.identity,
                self.clock.now_ms(),
            )
        return room

    def _admit(self, owner: Owner, job_id: str, steps: int) -> bool:
        held = {
            name: len(job.spec.steps) for name, job in owner.cell.jobs.items()
        }
        return self.cell_room.admit(job_id, steps, held, self.clock.now_ms())


def _hide_job(job: JobInfo | None, identity: Identity) -> JobInfo | None:
    """Return a job only if the caller may access it."""
    is_hidden = job is not None and not identity.may_access(job.spec)
    return None if is_hidden else job


async def _catch_up(owner: Owner) -> bool:
    """Return whether an owner has read all jobs and is still serving."""
    return await owner.catching_up.run() and owner.is_serving


def _published(
    owner: Owner, applicant: Applicant | None = None
) -> dict[str, Any]:
    """Return what each answer of the owner tells other VMs.

    An answer with waits but without rows would clear the rows of its receiver.
    """
    rows = owner.tenants.published(applicant)
    return {'waits': encode_waits(owner.waits), **rows}
