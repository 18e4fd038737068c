"""Check the order `short`: due times by work, shares reduced by the wait.

Guards against short jobs that starve behind the large jobs of their team, and
against teams over their share that wait without limit.
"""

from lycheerelay._jobs import JobSpec, Kind
from lycheerelay._order import aged_share_of, due_by_work, share_of
from lycheerelay._order_queues import NORMAL
from lycheerelay._state import JobInfo, ShardState, TaskInfo


def make_job(job_id, run_ms=1000, tasks=1, accepted_ms=0, deadline_ms=0):
    spec = JobSpec(
        job_id,
        't',
        'w',
        Kind.BATCH,
        tasks,
        expected_run_ms=run_ms,
        deadline_ms=deadline_ms,
    )
    return JobInfo(spec, accepted_ms, [TaskInfo() for _ in range(tasks)])


def test_less_work_is_due_earlier_but_age_takes_precedence():
    small, large = make_job('a.1', 1000), make_job('a.2', 60_000, tasks=8)
    assert due_by_work(small) == 100
    assert due_by_work(large) == 48_000
    late = make_job('a.3', 1000, accepted_ms=48_000)
    assert due_by_work(large) < due_by_work(late)


def test_allowance_is_bounded_and_an_earlier_deadline_applies():
    assert due_by_work(make_job('a.1', 10**9)) == 600_000
    assert due_by_work(make_job('a.1', 10**9, deadline_ms=5)) == 5


class FakeWaitingJobs:
    def __init__(self, entry):
        self.entry = entry

    def first_of(self, band, team):
        return self.entry


class FakeEntry:
    def __init__(self, spec):
        self.spec = spec


def test_share_decreases_the_longer_the_first_job_waits(monkeypatch):
    state = ShardState('a', 'p', 'e1')
    job = make_job('a.1', accepted_ms=1000)
    state.jobs['a.1'] = job
    state.waiting = FakeWaitingJobs(FakeEntry(job.spec))
    monkeypatch.setattr(
        type(state.ledger), 'dominant_share', lambda ledger, team: 0.6
    )
    state.synced_ms = 1000
    assert aged_share_of(state, NORMAL, 't') == share_of(state, NORMAL, 't')
    state.synced_ms = 2000
    assert aged_share_of(state, NORMAL, 't') == 0.6 * 500 / 1500
