"""Step the workflow core by hand where timing matters."""

from lycheerelay._resources import Resources
from lycheerelay.workflow import (
    CellState,
    JobPhase,
    Row,
    RunKey,
    StepSpec,
    Table,
    TaskKey,
    WorkerListing,
    WorkflowSpec,
    apply_table,
    list_worker,
    submit,
    watch,
)

CLEAR_MS = 8000
TASK = TaskKey('a' * 16, 0, 0, 0)


def taken_over() -> CellState:
    """Return a cell that has just been taken over, with one running task."""
    cell = CellState(fence=2, clear_ms=CLEAR_MS)
    cell.loaded = True
    listing = WorkerListing(
        'w-1',
        '10.0.0.1:80',
        'pool',
        'a',
        'r1',
        frozenset(('r1',)),
        Resources(4000, 4000),
        draining=False,
    )
    list_worker(cell, listing, 0)
    cell.unanswered['w-1'] = None
    step = StepSpec(1, Resources(1000, 100), 500)
    spec = WorkflowSpec('a' * 16, 'q', 'pool', 'x', (step,), 3, 2.0, 1000, 0)
    submit(cell, spec, 0)
    row = Row(RunKey(TASK, 1), '', 10, 0)
    apply_table(cell, Table('w-1', 1, 1, (row,), ()), 5)
    return cell


def test_a_worker_that_dies_before_its_first_lease_is_given_up() -> None:
    """Its task waits again once the former owner's leases are over."""
    cell = taken_over()
    step = cell.jobs['a' * 16].occurrences[0][0]
    watch(cell, CLEAR_MS - 1)
    assert step.tasks[0].runs
    watch(cell, CLEAR_MS + 1)
    assert not step.tasks[0].runs
    assert step.waiting


def test_a_job_with_a_running_task_is_shown_as_running() -> None:
    """Also when the run was found at takeover."""
    assert taken_over().jobs['a' * 16].shown is JobPhase.RUNNING
