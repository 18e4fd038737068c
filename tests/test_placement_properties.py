"""Check the guarantees of placement over generated sequences of events.

Hypothesis derives the examples from the source text of each property, its
name included, so a reworded property is checked with other examples.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from policy_cell import Cell, job

SETTINGS = settings(derandomize=True, deadline=None, max_examples=60)

SUBMIT = st.tuples(
    st.just('submit'),
    st.fixed_dictionaries(
        {
            'team': st.sampled_from(['t0', 't1', 't2']),
            'kind': st.sampled_from(['batch', 'batch', 'gang', 'service']),
            'tasks': st.integers(1, 4),
            'cores_milli': st.sampled_from([500, 1000, 3000, 8000, 16000]),
            'memory_mb': st.sampled_from([256, 4096, 60000]),
            'accelerators': st.sampled_from([0, 0, 1, 4]),
            'connections': st.sampled_from([0, 1, 30]),
            'expected_run_ms': st.sampled_from([10, 5000, 10**7]),
            'urgent': st.booleans(),
            'idempotent': st.booleans(),
            'checkpointable': st.booleans(),
        },
    ),
)
OTHER = st.tuples(
    st.sampled_from(
        [
            'settle',
            'settle',
            'tick',
            'read_back',
            'read_one',
            'report',
            'report_late',
            'cancel',
            'run_for',
            'lose_lease',
            'hold_lease',
            'reboot',
            'unlist',
            'list',
            'lapse_time',
        ],
    ),
    st.integers(0, 7),
)
EVENTS = st.lists(st.one_of(SUBMIT, OTHER, OTHER), max_size=60)


def busy_cell(idempotent=True, checkpointable=False):
    """Return a cell with nearly all slots allocated."""
    cell = Cell()
    for _ in range(7):
        cell.submit(
            tasks=4,
            cores_milli=1500,
            expected_run_ms=10**6,
            idempotent=idempotent,
            checkpointable=checkpointable,
        )
    cell.settle(0)
    return cell


def play(cell, events):
    for what, detail in events:
        if what == 'submit':
            cell.submit(**detail)
        else:
            getattr(cell, what)(detail)
        yield


@SETTINGS
@given(EVENTS)
def test_no_order_of_events_books_a_worker_over_a_limit(events):
    cell = Cell()
    for _ in play(cell, events):
        for book in cell.state.workers.values():
            booked = book.spec.capacity.minus(book.free)
            assert min(book.free) >= 0
            assert min(booked) >= 0
        for echo in cell.workers.values():
            assert min(echo.free) >= 0


@SETTINGS
@given(EVENTS)
def test_a_gang_is_announced_whole_or_not_at_all(events):
    cell = busy_cell()
    for _ in play(cell, events):
        for record in cell.announced:
            spec = cell.specs[record.job_id]
            if spec.kind == 'gang':
                assert len(record.starts) == spec.tasks


@SETTINGS
@given(EVENTS)
def test_counts_of_waiting_work_match_the_jobs(events):
    cell = Cell()
    for _ in play(cell, events):
        waiting = cell.state.waiting
        total = sum(len(entry.indexes) for entry in waiting.entries.values())
        assert total == sum(waiting.counts.values())
        assert set(waiting.entries) <= set(waiting)


@SETTINGS
@given(EVENTS, st.booleans(), st.booleans())
def test_never_preempts_what_cannot_run_again(events, again, checkpoints):
    cell = busy_cell(idempotent=again, checkpointable=checkpoints)
    for _ in play(cell, events):
        for key in cell.preempted:
            spec = cell.specs[key.job_id]
            assert spec.checkpointable or spec.idempotent
            assert spec.kind == 'batch'
            assert not spec.urgent


@settings(SETTINGS, max_examples=15)
@given(st.lists(SUBMIT, min_size=1, max_size=12), st.sampled_from([0, 3, 14]))
def test_everything_that_fits_ends_in_bounded_time(submits, crowd):
    """Small work keeps coming; nothing that was accepted starves."""
    cell = busy_cell()
    wanted = [
        spec
        for _, fields in submits
        if fields['kind'] != 'service'
        if (spec := cell.submit(**fields)) is not None
    ]
    for _ in range(400):
        cell.settle(0)
        for _ in range(crowd):
            cell.submit(team='t0', expected_run_ms=1)
        cell.run_for(1000)
        if all(cell.is_over(spec.job_id) for spec in wanted):
            return
    left = [spec for spec in wanted if not cell.is_over(spec.job_id)]
    assert not left, (left, cell.state.reservations.by_role)


def test_job_helper_rejects_unknown_fields():
    assert job('a.j', cores_milli=5).cores_milli == 5


def test_a_gang_beside_urgent_jobs_ends_in_bounded_time():
    """A gang starts although urgent jobs and small jobs arrive after it.

    It starves while its reservation keeps the start time that was planned
    first, since the reservation is planned again only once that is due.
    """
    gang = {
        'kind': 'gang',
        'team': 't2',
        'tasks': 3,
        'cores_milli': 16000,
        'memory_mb': 60000,
        'connections': 1,
        'expected_run_ms': 10,
        'idempotent': True,
        'checkpointable': True,
    }
    urgent = {'kind': 'batch', 'urgent': True}
    two_tasks = urgent | {
        'team': 't0',
        'tasks': 2,
        'cores_milli': 8000,
        'memory_mb': 256,
        'accelerators': 4,
        'connections': 1,
        'expected_run_ms': 10,
        'idempotent': False,
    }
    long_run = urgent | {
        'team': 't2',
        'cores_milli': 16000,
        'memory_mb': 4096,
        'connections': 30,
        'expected_run_ms': 10**7,
        'idempotent': True,
    }
    accelerated = urgent | {
        'team': 't0',
        'cores_milli': 16000,
        'memory_mb': 4096,
        'accelerators': 4,
        'connections': 1,
        'expected_run_ms': 10,
        'idempotent': True,
        'checkpointable': True,
    }
    connected = urgent | {
        'team': 't2',
        'cores_milli': 16000,
        'memory_mb': 256,
        'connections': 30,
        'expected_run_ms': 5000,
        'idempotent': True,
    }
    submits = [
        ('submit', fields)
        for fields in (gang, two_tasks, long_run, accelerated, connected)
    ]
    check = test_everything_that_fits_ends_in_bounded_time
    check.hypothesis.inner_test(submits, crowd=3)
