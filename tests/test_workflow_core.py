"""Test the workflow core directly where timing matters."""

from collections.abc import Iterable

import pytest

from lycheerelay._resources import Resources
from lycheerelay.workflow import (
    CellState,
    JobPhase,
    RunKey,
    RunTable,
    RunTableRow,
    StepInfo,
    StepSpec,
    TaskKey,
    WorkerInfo,
    WorkerKey,
    WorkerListing,
    WorkflowSpec,
    _fit,
    _last_resort,
    apply_run_table,
    dispatch,
    list_worker,
    run_periodic_checks,
    submit,
)
from workflow_session_files import Stage

PREVIOUS_ORDERS_EXPIRE_MS = 8000
TASK = TaskKey('a' * 16, 0, 0, 0)


def cell_after_takeover() -> CellState:
    """Return a cell just after a takeover, with one running task."""
    cell = CellState(
        fence=2, previous_orders_expire_ms=PREVIOUS_ORDERS_EXPIRE_MS
    )
    cell.loaded = True
    listing = WorkerListing(
        WorkerKey('w-1'),
        '10.0.0.1:80',
        'pool',
        'a',
        'r1',
        frozenset(('r1',)),
        Resources(4000, 4000),
        draining=False,
    )
    list_worker(cell, listing, 0)
    cell.unsynced_workers['w-1'] = None
    step = StepSpec(1, Resources(1000, 100), 500)
    spec = WorkflowSpec('a' * 16, 'q', 'pool', 'x', (step,), 3, 2.0, 1000, 0)
    submit(cell, spec, 0)
    row = RunTableRow(RunKey(TASK, 1), '', 10, 0)
    apply_run_table(cell, RunTable(WorkerKey('w-1'), 1, 1, (row,), ()), 5)
    return cell


def cell_with_workers(count: int, capacity: Resources) -> CellState:
    """Return a cell with workers that accept runs."""
    cell = CellState(fence=1, previous_orders_expire_ms=0)
    cell.loaded = True
    for number in range(count):
        entry = WorkerListing(
            WorkerKey(f'w-{number}'),
            f'w-{number}:80',
            'pool',
            'a',
            'r1',
            frozenset(('r1',)),
            capacity,
            draining=False,
        )
        list_worker(cell, entry, 0)
        worker = cell.workers[entry.worker]
        worker.enrolled = True
        worker.synced = True
    return cell


def test_a_worker_lost_before_its_first_lease_is_removed() -> None:
    """Its task is queued again once the leases of the previous owner expire.

    The worker fails after it has shown a run to the new owner, but before the
    new owner grants it a lease that could expire.
    """
    cell = cell_after_takeover()
    step = cell.jobs['a' * 16].occurrences[0][0]
    run_periodic_checks(cell, PREVIOUS_ORDERS_EXPIRE_MS - 1)
    assert step.tasks[0].runs
    run_periodic_checks(cell, PREVIOUS_ORDERS_EXPIRE_MS + 1)
    assert not step.tasks[0].runs
    assert step.waiting


def test_a_job_with_a_running_task_is_shown_as_running() -> None:
    """This includes a run that was found during a takeover."""
    assert (
        cell_after_takeover().jobs['a' * 16].visible_phase is JobPhase.RUNNING
    )


def test_steps_that_cannot_start_are_skipped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Steps that cannot start are skipped without checking each worker."""
    cell = cell_with_workers(100, Resources(1000, 4000))
    step = StepSpec(1, Resources(1000, 100), 500)
    for number in range(400):
        name = f'{number:016x}'
        spec = WorkflowSpec(name, 'q', 'pool', 'x', (step,), 3, 2.0, 1000, 0)
        submit(cell, spec, number)
    assert dispatch(cell, 0) == 100
    evaluated: list[str] = []
    original = _fit.meets_requirements

    def count(step: StepInfo, worker: WorkerInfo) -> bool:
        evaluated.append(worker.worker_id)
        return original(step, worker)

    monkeypatch.setattr(_fit, 'meets_requirements', count)
    assert dispatch(cell, 1) == 0
    assert len(evaluated) < 400


def test_a_worker_without_a_ticket_does_not_stop_the_cycle() -> None:
    """A step waits for advice if its only eligible worker has no ticket.

    A `bad_ticket` answer discards the ticket of a worker that stays eligible.
    The renewed advice brings no ticket for it, and the worker has meanwhile
    been filled by another job.
    """
    stage = Stage()
    for line in (
        'worker w1 {"cores_milli": 4000}',
        'policy {"advice": '
        '{"base_ms": 100, "per_worker_ms": 10, "valid_ms": 2000}}',
        'job {"job_id": "a1", "steps": '
        '[{"width": 1, "expected_ms": 500, "cores_milli": 4000}]}',
        'dispatch',
        'advice a1.0.0 {"asked": ["w1"], "good": ["w1"]}',
        'dispatch',
        'answer w1 a1.0.0.0#1 bad_ticket',
        'job {"job_id": "b1", "steps": '
        '[{"width": 1, "expected_ms": 500, "cores_milli": 1000}]}',
        'poll w1 {}',
        'dispatch',
        'advice b1.0.0 {"asked": ["w1"], "good": ["w1"]}',
        'dispatch',
        'advice a1.0.0 {"asked": ["w1"], "good": []}',
    ):
        stage.play(f'0 {line}')
    other = stage.cell.jobs['b1'].occurrences[0][0]
    assert other.tasks[0].runs
    stage.play('0 dispatch')
    assert stage.cell.jobs['a1'].occurrences[0][0].waiting


def test_a_cycle_adds_up_the_use_of_a_pool_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """For each blocked gang, it took most of the owner's processor."""
    cell = cell_with_workers(20, Resources(8000, 4000, 8))
    for worker in cell.workers.values():
        worker.free = Resources(8000, 4000, 1)
    cell.workers[WorkerKey('w-0')].barred_until_ms = 9000
    shape = StepSpec(3, Resources(1000, 100, 2), 500)
    for number in range(50):
        name = f'{number:016x}'
        spec = WorkflowSpec(name, 'q', 'pool', 'x', (shape,), 3, 2.0, 1000, 0)
        submit(cell, spec, number)
    for step in cell.open_steps.values():
        step.free_since_ms = 0
        step.blocked_since_ms = 0
    calls: list[int] = []
    original = _last_resort.is_busy

    def count(workers: Iterable[WorkerInfo]) -> bool:
        calls.append(1)
        return original(workers)

    monkeypatch.setattr(_last_resort, 'is_busy', count)
    assert dispatch(cell, 2000) == 0
    assert len(calls) == 1
