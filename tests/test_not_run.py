"""Check that a refusal sets `not_run` only if no request with the id can run.

Guards against a refusal that says so while an earlier request with the same
id, still in flight, is accepted afterwards.
"""

from lycheerelay._admission import refuse
from lycheerelay._codes import Code
from lycheerelay._core import step
from lycheerelay._events import Recorded, WorkerListed, WorkerSpec
from lycheerelay._jobs import JobSpec, JobState, Kind
from lycheerelay._policy import Limits, Policy
from lycheerelay._records import Accepted, TermTaken
from lycheerelay._resources import Resources
from lycheerelay._state import ShardState

SPEC = JobSpec('a.1', 't', 'desk', Kind.BATCH)


def owner(**limits):
    policy = Policy(limits=Limits(**limits))
    state = ShardState('a', 'desk', 'e1@1', policy)
    step(state, Recorded(TermTaken('desk', 1, 'e1@1', 0)), 0)
    capacity = Resources(16_000, 65_536, 0, 8, 64)
    spec = WorkerSpec('w1', 'desk', 'a', 'r', '127.0.0.1:1', capacity)
    step(state, WorkerListed(spec), 0)
    return state


def test_temporary_refusal_allows_an_earlier_request_to_be_accepted():
    state = owner()
    state.can_keep = False
    refusal = refuse(state, SPEC, 0)
    assert (refusal.code, refusal.not_run) == (Code.NOT_KEPT, False)
    step(state, Recorded(Accepted('desk', SPEC, 0)), 0)
    assert state.jobs['a.1'].state is JobState.QUEUED


def test_full_queue_does_not_set_not_run():
    refusal = refuse(owner(max_waiting_tasks=0), SPEC, 0)
    assert (refusal.code, refusal.not_run) == (Code.OVERLOADED, False)


def test_job_that_never_fits_sets_not_run():
    refusal = refuse(owner(), SPEC._replace(cores_milli=99_000), 0)
    assert (refusal.code, refusal.not_run) == (Code.NEVER_FITS, True)
