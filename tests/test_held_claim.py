"""Fold what an earlier owner wrote before a held claim reached the log."""

from lycheerelay._commands import StartTask
from lycheerelay._core import step
from lycheerelay._events import Recorded
from lycheerelay._jobs import JobSpec, JobState, Kind, TaskState
from lycheerelay._records import Accepted, Ended, Intended, Start, TermTaken
from lycheerelay._state import ShardState

SPEC = JobSpec('a.1', 't', 'desk', Kind.BATCH)
INTENT = Intended('desk', 2, 'a.1', (Start(0, 1, 'w1', 'boot'),), 10)
DONE = Ended('desk', 'a.1', 0, 1, TaskState.DONE, 0, 'ok', 20)


def fold(state, *records, held=False):
    commands = []
    for record in records:
        commands += step(state, Recorded(record, held), 100)[1]
    return commands


def claimant():
    """Return a node that took term 3 while the log was down."""
    state = ShardState('a', 'desk', 'e2@1')
    fold(state, TermTaken('desk', 2, 'e1@1', 0), Accepted('desk', SPEC, 5))
    fold(state, TermTaken('desk', 3, 'e2@1', 8), held=True)
    assert state.is_owner
    assert state.log_term == 2
    return state


def test_intent_before_the_claim_on_the_log_counts_but_is_not_sent():
    state = claimant()
    commands = fold(state, INTENT)
    assert not any(isinstance(command, StartTask) for command in commands)
    assert state.jobs['a.1'].tasks[0].state is TaskState.INTENDED
    fold(state, DONE)
    assert state.jobs['a.1'].state is JobState.DONE


def test_intent_after_the_claim_on_the_log_is_void():
    state = claimant()
    fold(state, TermTaken('desk', 3, 'e2@1', 8))
    assert state.log_term == 3
    fold(state, INTENT)
    assert state.jobs['a.1'].tasks[0].state is TaskState.QUEUED


def test_intent_of_the_claimant_replaces_an_unsent_one_shown_before():
    later = INTENT._replace(term=3, starts=(Start(0, 1, 'w2', 'boot'),))
    claim = TermTaken('desk', 3, 'e2@1', 8)
    owner = claimant()
    fold(owner, later, held=True)
    fold(owner, INTENT, claim, later)
    witness = ShardState('a', 'desk', 'e3@1')
    fold(witness, TermTaken('desk', 2, 'e1@1', 0), Accepted('desk', SPEC, 5))
    fold(witness, INTENT, claim, later)
    for state in (owner, witness):
        task = state.jobs['a.1'].tasks[0]
        assert (task.worker, task.attempt) == ('w2', 1)
    fold(witness, INTENT._replace(starts=(Start(0, 2, 'w1', 'boot'),)))
    assert witness.jobs['a.1'].tasks[0].worker == 'w2'
