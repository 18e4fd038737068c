"""Define the question of a VM to the owner about one job."""

from typing import Any, NamedTuple

from ._credentials import EVERYONE, Identity, decode_identity
from ._tenant_admission import Applicant, decode_applicant


class StateQuery(NamedTuple):
    """Question about a job on behalf of a caller.

    With `waits`, the answer waits shortly for the end of a job that is about to end.
    With `held_only`, the store is not asked for jobs that the owner has not read yet.
    With `steps`, the answer tells whether there is room for a job of so many steps,
    and keeps it; with `cancels`, whether there is room for the cancellation of a job
    that is not known. `applicant` is the job if it is about to be submitted.
    """

    job_id: str
    identity: Identity = EVERYONE
    waits: bool = False
    held_only: bool = False
    steps: int = 0
    cancels: bool = False
    applicant: Applicant | None = None


def decode_query(body: dict[str, Any]) -> StateQuery:
    """Return the question in an internal call.

    VMs of earlier versions send fewer fields. Raise KeyError, TypeError or
    ValueError if the body is malformed.
    """
    return StateQuery(
        job_id=body['job'],
        identity=decode_identity(body),
        waits=bool(body.get('waits')),
        held_only=bool(body.get('held_only')),
        steps=int(body.get('steps') or 0),
        cancels=bool(body.get('cancels')),
        applicant=decode_applicant(body),
    )
