"""Check that starts wait after a takeover until no old owner starts tasks.

Guards against a task that runs twice: an old owner that was cut off together
with its standby may have started a job on a worker that the new owner has not
reached yet.
"""

import pytest

from lycheerelay._commands import Append, StartTask
from lycheerelay._core import step
from lycheerelay._events import (
    LeaseHeld,
    OwnershipConfirmed,
    Recorded,
    Tick,
    WorkerListed,
    WorkerSpec,
    WorkerUnlisted,
)
from lycheerelay._jobs import JobSpec, Kind, TaskState
from lycheerelay._records import (
    Accepted,
    Ended,
    Intended,
    Start,
    TermTaken,
)
from lycheerelay._resources import Resources
from lycheerelay._state import ShardState

CAPACITY = Resources(16_000, 65_536, 0, 8, 64)
LEASE_MS = 62_000


def spec(number):
    return JobSpec(f'a.{number}', 't', 'w', Kind.BATCH)


@pytest.fixture
def state():
    state = ShardState('a', 'p', 'e2')
    for name in ('w1', 'w2', 'w3'):
        worker = WorkerSpec(name, 'p', 'a', 'r1', '127.0.0.1:1', CAPACITY)
        run(state, WorkerListed(worker))
    record(state, TermTaken('p', 1, 'e1', 0))
    record(state, Accepted('p', spec(1), 10))
    record(state, TermTaken('p', 2, 'e2', 20))
    return state


def run(state, event, now_ms=20):
    return step(state, event, now_ms)[1]


def record(state, entry, held=False):
    return run(state, Recorded(entry, held))


def grant_lease(state, *workers):
    for name in workers:
        run(state, LeaseHeld(name, 2, 'b', False, ()))


def intents(state, now_ms=30):
    return [
        command.record.job_id
        for command in run(state, Tick(), now_ms)
        if isinstance(command, Append) and isinstance(command.record, Intended)
    ]


def test_nothing_starts_without_a_majority_of_workers(state):
    grant_lease(state, 'w1')
    assert intents(state) == []


def test_known_jobs_wait_for_every_worker_and_new_ones_do_not(state):
    grant_lease(state, 'w1', 'w2')
    record(state, Accepted('p', spec(2), 25))
    assert intents(state) == ['a.2']
    grant_lease(state, 'w3')
    assert intents(state) == ['a.1']


def test_known_jobs_start_once_leases_at_an_unreachable_worker_expired(state):
    grant_lease(state, 'w1', 'w2')
    assert intents(state) == []
    run(state, OwnershipConfirmed(2, 30 + 2 * LEASE_MS - 1))
    assert intents(state) == []
    run(state, OwnershipConfirmed(2, 30 + 2 * LEASE_MS))
    assert intents(state) == ['a.1']


def test_known_jobs_start_once_the_list_drops_the_worker(state):
    grant_lease(state, 'w1', 'w2')
    run(state, WorkerUnlisted('w3'))
    assert intents(state) == ['a.1']


@pytest.mark.parametrize('held', [False, True])
def test_past_intent_counts_only_if_two_entry_vms_stored_it(state, held):
    grant_lease(state, 'w1', 'w2', 'w3')
    late = Intended('p', 1, 'a.1', (Start(0, 1, 'w3', 'b'),), 15)
    commands = record(state, late, held)
    assert not any(isinstance(command, StartTask) for command in commands)
    task = state.jobs['a.1'].tasks[0]
    assert (task.state is TaskState.INTENDED) == held
    assert intents(state) == ([] if held else ['a.1'])


@pytest.mark.parametrize('boot', ['b', 'earlier'])
def test_end_counts_only_for_the_worker_and_boot_of_the_intent(state, boot):
    grant_lease(state, 'w1', 'w2', 'w3')
    start = Start(0, 1, 'w3', 'b')
    record(state, Intended('p', 2, 'a.1', (start,), 30))
    state_of_end = TaskState.NOT_STARTED
    end = Ended('p', 'a.1', 0, 1, state_of_end, 0, '', 40, 'w3', boot)
    record(state, end)
    task = state.jobs['a.1'].tasks[0]
    assert task.may_run == (boot == 'earlier')
