"""Check records that precede, in the log, a claim stored on a standby.

Guards against nodes that disagree on an intent: the claimant applied its own
claim during a log outage, while the others read the earlier owner's intent
first.
"""

from lycheerelay._commands import ReadRunTable, StartTask, StopTask
from lycheerelay._core import step
from lycheerelay._events import (
    LeaseHeld,
    Recorded,
    TaskReport,
    WorkerListed,
    WorkerSpec,
)
from lycheerelay._jobs import AttemptKey, JobSpec, JobState, Kind, TaskState
from lycheerelay._records import Accepted, Ended, Intended, Start, TermTaken
from lycheerelay._resources import Resources
from lycheerelay._state import ShardState

RUNNING = TaskState.RUNNING
WORKER = WorkerSpec('w1', 'desk', 'a', 'r', '127.0.0.1:1', Resources(16_000))
SPEC = JobSpec('a.1', 't', 'desk', Kind.BATCH)
INTENT = Intended('desk', 2, 'a.1', (Start(0, 1, 'w1', 'boot'),), 10)
CLAIM = TermTaken('desk', 3, 'e2@1', 8)
DONE = Ended('desk', 'a.1', 0, 1, TaskState.DONE, 0, 'ok', 20)


def apply_records(state, *records, held=False):
    commands = []
    for record in records:
        commands += step(state, Recorded(record, held), 100)[1]
    return commands


def claimant():
    """Return a node that claimed term 3 during a log outage."""
    state = ShardState('a', 'desk', 'e2@1')
    apply_records(
        state, TermTaken('desk', 2, 'e1@1', 0), Accepted('desk', SPEC, 5)
    )
    apply_records(state, TermTaken('desk', 3, 'e2@1', 8), held=True)
    assert state.is_owner
    assert state.log_term == 2
    return state


def test_intent_before_the_claim_on_the_log_counts_but_is_not_sent():
    state = claimant()
    commands = apply_records(state, INTENT)
    assert not any(isinstance(command, StartTask) for command in commands)
    assert state.jobs['a.1'].tasks[0].state is TaskState.INTENDED
    apply_records(state, DONE)
    assert state.jobs['a.1'].state is JobState.DONE


def test_intent_after_the_claim_on_the_log_is_void():
    state = claimant()
    apply_records(state, TermTaken('desk', 3, 'e2@1', 8))
    assert state.log_term == 3
    apply_records(state, INTENT)
    assert state.jobs['a.1'].tasks[0].state is TaskState.QUEUED


def test_intent_of_the_claimant_replaces_an_unsent_one_shown_before():
    later = INTENT._replace(term=3, starts=(Start(0, 1, 'w2', 'boot'),))
    claim = TermTaken('desk', 3, 'e2@1', 8)
    owner = claimant()
    apply_records(owner, later, held=True)
    apply_records(owner, INTENT, claim, later)
    witness = ShardState('a', 'desk', 'e3@1')
    apply_records(
        witness, TermTaken('desk', 2, 'e1@1', 0), Accepted('desk', SPEC, 5)
    )
    apply_records(witness, INTENT, claim, later)
    for state in (owner, witness):
        task = state.jobs['a.1'].tasks[0]
        assert (task.worker, task.attempt) == ('w2', 1)
    apply_records(witness, INTENT._replace(starts=(Start(0, 2, 'w1', 'boot'),)))
    assert witness.jobs['a.1'].tasks[0].worker == 'w2'


def claimant_that_lags():
    """Return a claimant that has not read the last records of the log."""
    state = ShardState('a', 'desk', 'e2@1')
    step(state, WorkerListed(WORKER), 0)
    apply_records(state, TermTaken('desk', 2, 'e1@1', 0))
    apply_records(state, CLAIM, held=True)
    return state


def test_run_of_an_unread_intent_survives_a_claim_during_an_outage():
    state = claimant_that_lags()
    done = TaskReport(AttemptKey('a.1', 0, 1), TaskState.DONE, 0, 'ok')
    table = LeaseHeld('w1', 3, 'boot', False, (done,))
    _, unread = step(state, table, 10)
    assert not unread
    apply_records(state, Accepted('desk', SPEC, 5), INTENT)
    assert apply_records(state, CLAIM) == [ReadRunTable('w1')]
    _, reread = step(state, table, 20)
    assert [command.record.answer for command in reread] == ['ok']


def test_live_run_of_an_unread_intent_is_not_stopped_but_blocks_its_worker():
    state = claimant_that_lags()
    key = AttemptKey('a.1', 0, 1)
    live = LeaseHeld('w1', 3, 'boot', False, (TaskReport(key, RUNNING),))
    assert not step(state, live, 10)[1]
    assert not state.workers['w1'].is_schedulable
    apply_records(state, CLAIM)
    _, orphaned = step(state, live, 20)
    assert [type(command) for command in orphaned] == [StopTask]
