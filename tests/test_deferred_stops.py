"""Test that the runs of a wide job are stopped over several cycles.

Replays a job of 9,000 running tasks that is cancelled, and many jobs that are. Guards
against stops that are all decided in one turn of the event loop.
"""

from lycheerelay._resources import Resources
from lycheerelay.workflow import (
    CellState,
    StepSpec,
    StopRun,
    WorkerKey,
    WorkerListing,
    WorkflowSpec,
    dispatch,
    list_worker,
    submit,
)
from lycheerelay.workflow._deferred_stops import MAX_STOPS_PER_CYCLE
from lycheerelay.workflow._intake import cancel
from lycheerelay.workflow._runs import release_run

TASKS = 9000


def _running_cell(jobs: dict[str, int]) -> CellState:
    """Return a cell in which all tasks of the jobs run."""
    cell = CellState(fence=1, previous_orders_expire_ms=0)
    cell.loaded = True
    room = Resources(TASKS, TASKS)
    key = WorkerKey('w')
    listing = WorkerListing(
        key, 'w:80', 'pool', 'a', 'r1', frozenset(), room, False
    )
    list_worker(cell, listing, 0)
    cell.workers[key].enrolled = True
    cell.workers[key].synced = True
    for offset, (name, width) in enumerate(jobs.items()):
        shape = StepSpec(width, Resources(1, 1), 500)
        spec = WorkflowSpec(
            name, 'q', 'pool', 'x', (shape,), 3, 2.0, 1000, offset
        )
        submit(cell, spec, offset)
    dispatch(cell, 0)
    while cell.dispatch_unfinished:
        dispatch(cell, 0)
    cell.outbox.clear()
    return cell


def _take_stops(cell: CellState) -> int:
    """Return how many runs were stopped since the last call."""
    stops = sum(isinstance(command, StopRun) for command in cell.outbox)
    cell.outbox = []
    return stops


def _stop_all(cell: CellState) -> list[int]:
    """Return how many runs are stopped before each cycle until none is left."""
    counts = [_take_stops(cell)]
    while counts[-1]:
        dispatch(cell, 0)
        counts.append(_take_stops(cell))
    return counts


def test_the_stops_of_a_wide_job_do_not_fill_one_turn() -> None:
    cell = _running_cell({'wide': TASKS})
    cancel(cell, 'wide', 0)
    counts = _stop_all(cell)
    assert max(counts) <= MAX_STOPS_PER_CYCLE
    assert sum(counts) == TASKS
    is_over = not cell.dispatch_unfinished
    assert is_over


def test_the_stops_of_many_jobs_do_not_fill_one_turn() -> None:
    cell = _running_cell({f'{number:016x}': 300 for number in range(30)})
    for name in list(cell.jobs):
        cancel(cell, name, 0)
    counts = _stop_all(cell)
    assert max(counts) <= MAX_STOPS_PER_CYCLE
    assert sum(counts) == TASKS


def test_a_run_that_has_ended_meanwhile_is_not_stopped() -> None:
    cell = _running_cell({'wide': 600})
    cancel(cell, 'wide', 0)
    for run in list(cell.workers[WorkerKey('w')].runs.values())[-50:]:
        release_run(run)
    assert sum(_stop_all(cell)) == 550


def test_a_narrow_job_is_stopped_at_once() -> None:
    cell = _running_cell({'narrow': 40})
    cancel(cell, 'narrow', 0)
    assert _stop_all(cell) == [40, 0]


def test_a_job_that_is_put_aside_meanwhile_ends_no_cycle() -> None:
    cell = _running_cell({'wide': 600, 'other': 600})
    for name in ('wide', 'other'):
        cancel(cell, name, 0)
    for name in ('wide', 'other'):
        cell.jobs[name].occurrences.clear()
    counts = _stop_all(cell)
    assert max(counts) <= MAX_STOPS_PER_CYCLE
    assert sum(counts) == 600
