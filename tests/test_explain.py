"""Check the explanations of jobs that run, wait, were preempted or ended.

Also guards against cancelled jobs that leave entries in the queues.
"""

from lycheerelay._jobs import TaskState
from lycheerelay.explain import explain
from policy_cell import PLAIN, Cell


def texts(cell, spec):
    found = explain(cell.state, spec.job_id, cell.now_ms)
    return ' | '.join(reason.text for reason in found.reasons)


def test_unknown_job_is_not_explained():
    assert explain(Cell().state, 'a.none', 0) is None


def test_capacity_position_and_reservation_are_explained():
    cell = Cell(shapes=(PLAIN,))
    first = cell.submit(cores_milli=12_000, expected_run_ms=60_000)
    cell.settle(0)
    waits = cell.submit(cores_milli=8000)
    gang = cell.submit(kind='gang', tasks=2, cores_milli=8000, team='t1')
    cell.settle(0)
    cell.lapse_time(0)
    assert texts(cell, first) == '1 of 1 tasks on w0'
    assert '0 of 1 tasks fit now' in texts(cell, waits)
    assert 'cores_milli on 1' in texts(cell, waits)
    assert '0 jobs of team t0 are due before it' in texts(cell, waits)
    assert 'gang: capacity reserved on w0' in texts(cell, gang)


def test_a_preemption_names_the_job_it_was_for():
    cell = Cell(shapes=(PLAIN,))
    preempted = cell.submit(cores_milli=16_000, checkpointable=True)
    cell.settle(0)
    urgent = cell.submit(cores_milli=1000, urgent=True)
    cell.settle(0)
    cell.report_late(0)
    cell.settle(0)
    assert f'in favour of {urgent.job_id}' in texts(cell, preempted)
    task = cell.state.jobs[urgent.job_id].tasks[0]
    assert task.state is TaskState.INTENDED


def test_an_ended_job_shows_its_state_and_code():
    cell = Cell(shapes=(PLAIN,))
    spec = cell.submit()
    cell.settle(0)
    cell.run_for(5000)
    found = explain(cell.state, spec.job_id, cell.now_ms)
    assert (found.state, int(found.reasons[0].code)) == ('done', 102)


def test_mass_cancellation_leaves_nothing_in_the_queues():
    cell = Cell(shapes=(PLAIN,))
    cell.submit(cores_milli=16_000)
    cell.settle(0)
    for _ in range(2000):
        cell.submit(cores_milli=8000)
    for _ in range(20):
        cell.settle(0)
    assert len(cell.state.waiting.entries) == 2000
    for number in range(1, 2001):
        cell.cancel(number)
    cell.settle(0)
    waiting = cell.state.waiting
    assert not waiting
    assert not waiting.entries
    assert not waiting.queues
    assert not waiting.counts
    assert not waiting.classes
    assert not waiting.blocked.classes
    assert not waiting.pending
