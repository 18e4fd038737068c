"""Clear tasks that last of crashes which they have outlasted.

Load: workers crash now and then for causes of their own, and a service loses one
after the other, each after some time at work. What crashes its workers at its start
does not get that far.
"""

from collections.abc import Iterable

from ._log_events import log_event
from ._probation import TRIAL_MS
from ._state import CellState, Run, RunState


def clear_outlasted(cell: CellState, runs: Iterable[Run], now_ms: int) -> None:
    """Forget the crashes under lasting tasks whose runs have outlasted a trial."""
    for run in runs:
        if run.step.spec.lasts and run.task.crashes and _is_over(run, now_ms):
            _clear(cell, run)


def _is_over(run: Run, now_ms: int) -> bool:
    """Return whether a run has worked for a whole trial since the crashes."""
    return (
        run.listed
        and run.state is not RunState.STOPPING
        and now_ms - run.answered_ms >= TRIAL_MS
        and run.key.number > max(run.task.crashes)
    )


def _clear(cell: CellState, run: Run) -> None:
    task = run.task
    log_event(cell, 'task_cleared', run=run.key, crashes=len(task.crashes))
    task.crashes.clear()
    task.sent_runs.clear()
    run.step.suspects.pop(task.index, None)
    # A later crash says as little as one that this task had never been in.
    run.trial_until_ms = 0
    run.holds_worker = False
    cell.unrecorded_jobs[run.key.task.job_id] = None
