"""Test which crashes of workers count against a task.

Guards against giving up tasks for crashes of workers that never began them, over
owners that last only for a moment each while workers crash.
"""

from collections.abc import Callable

import orjson

from lycheerelay._resources import Resources
from lycheerelay.workflow import (
    Answer,
    CellState,
    JobInfo,
    JobPhase,
    RunEnd,
    RunKey,
    RunOutcome,
    RunTable,
    RunTableRow,
    StartRun,
    StepSpec,
    TaskKey,
    WorkerKey,
    WorkerListing,
    WorkflowSpec,
    apply_run_table,
    dispatch,
    encode_progress,
    handle_start_answer,
    list_worker,
    remove_replaced_worker,
    restore_progress,
    submit,
)

JOB = 'a' * 16
TERM_MS = 10_000

StartHandler = Callable[[CellState, StartRun, int], None]


class Term:
    """One ownership term of a cell with one job and one worker after another."""

    def __init__(self, number: int, progress: bytes | None) -> None:
        """Take over with the progress that the term before has recorded."""
        self.number = number
        self.now_ms = number * TERM_MS
        self.cell = CellState(
            fence=number, previous_orders_expire_ms=self.now_ms
        )
        step = StepSpec(1, Resources(1000, 100), 500)
        spec = WorkflowSpec(JOB, 'q', 'pool', 'x', (step,), 3, 2.0, 1000, 0)
        self.job: JobInfo = submit(self.cell, spec, 0)
        if progress is not None:
            restore_progress(self.cell, self.job, progress)
        self.cell.loaded = True

    def replace_worker(self, number: int) -> None:
        """Find that a worker of an earlier term has crashed."""
        key = WorkerKey(f'w-{number}', 1)
        self.cell.earlier_instances[key.worker_id] = key
        self.list_worker(key)
        remove_replaced_worker(self.cell, key, self.now_ms)

    def list_worker(self, key: WorkerKey) -> None:
        """Register a worker."""
        listing = WorkerListing(
            key,
            f'{key.worker_id}:80',
            'pool',
            'a',
            'r1',
            frozenset(),
            Resources(4000, 4000),
            draining=False,
        )
        list_worker(self.cell, listing, self.now_ms)

    def start_on(self, number: int, handle: StartHandler) -> bytes:
        """Start the task on a new worker; return the recorded progress."""
        key = WorkerKey(f'w-{number}', 1)
        self.list_worker(key)
        self.cell.workers[key].enrolled = True
        for _ in range(10):
            self.now_ms += 100
            table = RunTable(key, self.now_ms, self.now_ms, (), ())
            apply_run_table(self.cell, table, self.now_ms)
            dispatch(self.cell, self.now_ms)
            starts = [
                command
                for command in self.cell.outbox
                if isinstance(command, StartRun)
            ]
            if starts:
                handle(self.cell, starts[0], self.now_ms)
                return encode_progress(self.job)
        raise AssertionError('the task was not started')


def _answer_start(cell: CellState, start: StartRun, now_ms: int) -> None:
    handle_start_answer(cell, start.worker, start.run, Answer.DONE, now_ms)


def _list_run(cell: CellState, start: StartRun, now_ms: int) -> None:
    row = RunTableRow(start.run, '', 0, 0)
    table = RunTable(start.worker, now_ms, now_ms + 1, (row,), ())
    apply_run_table(cell, table, now_ms)


def _refuse_start(cell: CellState, start: StartRun, now_ms: int) -> None:
    handle_start_answer(
        cell, start.worker, start.run, Answer.DOES_NOT_FIT, now_ms
    )


def _leave_unsent(cell: CellState, start: StartRun, now_ms: int) -> None:
    """Record a start in a term that ends before it can be sent."""


def _play(terms: int, handle: StartHandler) -> Term:
    """Let the worker of each term crash once the term is over."""
    term = Term(1, None)
    for number in range(1, terms):
        progress = term.start_on(number, handle)
        term = Term(number + 1, progress)
        term.replace_worker(number)
        if term.job.is_final:
            break
    return term


def test_a_job_is_not_given_up_for_starts_that_were_never_sent() -> None:
    """Four terms record a start each and end before they send it."""
    assert _play(5, _leave_unsent).job.phase is not JobPhase.FAILED


def test_a_job_is_not_given_up_for_crashes_beside_unsent_starts() -> None:
    """Two starts were never sent, and two workers crash with the task on trial."""
    starts = iter((_leave_unsent, _leave_unsent, _list_run, _list_run))

    def handle(cell: CellState, start: StartRun, now_ms: int) -> None:
        next(starts)(cell, start, now_ms)

    assert _play(5, handle).job.phase is not JobPhase.FAILED


def test_starts_stay_bounded_where_no_record_tells_that_they_were_sent() -> (
    None
):
    """Each owner ends with the worker, before it can record the answer."""
    term = _play(9, _leave_unsent)
    assert term.job.phase is JobPhase.FAILED
    assert term.job.occurrences[0][0].tasks[0].last_run <= 5


def test_starts_stay_bounded_where_an_older_owner_drops_what_was_sent() -> None:
    """Earlier versions rewrite the record of the job without it."""
    term = Term(1, None)
    for number in range(1, 9):
        fields = orjson.loads(term.start_on(number, _list_run))
        fields.pop('sent', None)
        term = Term(number + 1, orjson.dumps(fields))
        term.replace_worker(number)
        if term.job.is_final:
            break
    assert term.job.phase is JobPhase.FAILED
    assert term.job.occurrences[0][0].tasks[0].last_run <= 5


def test_a_restart_is_counted_though_the_start_time_steps_back() -> None:
    """The clock of the worker was set back before it started again."""
    progress = Term(1, None).start_on(1, _answer_start)
    term = Term(2, progress)
    term.cell.earlier_instances['w-1'] = WorkerKey('w-1', 2)
    key = WorkerKey('w-1', 1)
    term.list_worker(key)
    table = RunTable(key, term.now_ms, term.now_ms, (), ())
    apply_run_table(term.cell, table, term.now_ms)
    assert term.job.occurrences[0][0].tasks[0].crashes


def test_a_refusal_and_an_end_are_recorded() -> None:
    """The next owner must not count a crash for what the worker did not hold."""
    for outcome in ('refused', *RunOutcome):
        term = Term(1, None)
        term.start_on(1, _answer_start)
        worker = WorkerKey('w-1', 1)
        run = RunKey(TaskKey(JOB, 0, 0, 0), 1)
        term.cell.unrecorded_jobs.clear()
        if outcome == 'refused':
            answer = Answer.DOES_NOT_FIT
            handle_start_answer(term.cell, worker, run, answer, term.now_ms)
        else:
            ends = (RunEnd(1, run, RunOutcome(outcome), ''),)
            now_ms = term.now_ms + 1
            table = RunTable(worker, now_ms, now_ms, (), ends)
            apply_run_table(term.cell, table, now_ms)
        assert JOB in term.cell.unrecorded_jobs
        successor = Term(2, encode_progress(term.job))
        successor.replace_worker(1)
        assert not successor.job.occurrences[0][0].tasks[0].crashes


def test_a_refused_start_is_not_counted_as_a_crash() -> None:
    """The owner knew that the worker did not run the task."""
    term = _play(3, _refuse_start)
    task = term.job.occurrences[0][0].tasks[0]
    assert not task.crashes


def test_a_task_that_crashes_its_workers_on_trial_is_given_up() -> None:
    """Each owner ends between the answer to the start and the crash."""
    for handle in (_answer_start, _list_run):
        term = _play(6, handle)
        task = term.job.occurrences[0][0].tasks[0]
        assert term.job.phase is JobPhase.FAILED
        assert len(task.crashes) <= 5
