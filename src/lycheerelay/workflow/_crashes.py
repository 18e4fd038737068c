"""Count the crashes of workers under each task, and give up the tasks at fault.

Load: a task crashes each worker that starts it, while other workers crash by
themselves, are cut off, drain or leave. Only a crash counts. A task is given up
after a crash that no other job explains, so what shared a worker with it is not.
"""

import itertools
from collections import Counter
from collections.abc import Collection, Mapping
from enum import StrEnum, unique
from typing import Final, NamedTuple

from ._intake import finalize_job, find_step, steps_of
from ._log_events import log_event
from ._spec import RunKey, TaskKey
from ._state import (
    CellState,
    CrashEvidence,
    JobPhase,
    Run,
    StepInfo,
    TaskInfo,
)
from ._suspects import SUSPECT_RULES, Suspect

# A task is given up after this many crashes if the evidence is clear: none is
# unclear, and either two are its own, or one is and it had just begun in as many.
CRASHES_TO_GIVE_UP: Final = 3
# Otherwise it is given up after this many, if it may be the cause of as many as
# above.
MAX_CRASHES: Final = 4
# Or after this many, if some of its starts may never have been sent: an assignment
# in the record alone does not tell.
MAX_ASSIGNED_CRASHES: Final = 5


@unique
class CrashSign(StrEnum):
    """How an owner has learned that a worker crashed.

    REPLACED: another worker answers at its address. RESTARTED: a later instance
    answers under its id. RECORDED: so it was with the instance that an earlier
    owner had recorded.
    """

    REPLACED = 'replaced'
    RESTARTED = 'restarted'
    RECORDED = 'recorded'


class Crash(NamedTuple):
    """Crash of a worker, and the runs that may have caused it."""

    worker_id: str
    sign: CrashSign
    suspects: tuple[Suspect, ...]


def count_crash(cell: CellState, crash: Crash, now_ms: int) -> None:
    """Count the crash of a worker, and give up the tasks that caused enough."""
    for suspect in crash.suspects:
        step = find_step(cell, suspect.run)
        if step is None or step.job.is_final:
            continue
        task = step.tasks[suspect.run.task.member]
        if task.done:
            continue
        _add_crash(cell, crash, suspect, step, task)
        if _is_at_fault(task):
            finalize_job(
                cell,
                step.job,
                JobPhase.FAILED,
                f'{len(task.crashes)} workers crashed under a task',
                now_ms,
            )


def _add_crash(
    cell: CellState,
    crash: Crash,
    suspect: Suspect,
    step: StepInfo,
    task: TaskInfo,
) -> None:
    task.crashes.setdefault(suspect.run.number, suspect.evidence)
    if suspect.was_sent:
        _note_sent(task, suspect.run.number)
    mark_suspect(cell, step, task)
    cell.unrecorded_jobs[step.job.spec.job_id] = None
    log_event(
        cell,
        'crash_counted',
        run=suspect.run,
        worker=crash.worker_id,
        sign=crash.sign,
        evidence=suspect.evidence,
        sent=suspect.was_sent,
        crashes=len(task.crashes),
    )


def note_sent_suspect(cell: CellState, run: Run) -> None:
    """Record, for the next owner, that a start of a crashed task was sent."""
    if run.task.crashes and run.key.number not in run.task.sent_runs:
        _note_sent(run.task, run.key.number)
        cell.unrecorded_jobs[run.key.task.job_id] = None


def _note_sent(task: TaskInfo, number: int) -> None:
    task.sent_runs = {
        sent: None
        for sent in task.sent_runs
        if sent in task.crashes or sent in task.runs
    }
    task.sent_runs[number] = None


def _is_at_fault(task: TaskInfo) -> bool:
    sent = [
        evidence
        for number, evidence in task.crashes.items()
        if number in task.sent_runs
    ]
    counts = Counter(sent)
    own = counts[CrashEvidence.OWN]
    at_start = own + counts[CrashEvidence.SHARED]
    is_certain = own > 1 or (own and at_start >= CRASHES_TO_GIVE_UP)
    if is_certain and not counts[CrashEvidence.UNCLEAR]:
        return len(sent) >= CRASHES_TO_GIVE_UP
    return _may_be_cause(sent, MAX_CRASHES) or _may_be_cause(
        task.crashes.values(), MAX_ASSIGNED_CRASHES
    )


def _may_be_cause(evidence: Collection[CrashEvidence], crashes: int) -> bool:
    """Return whether a task may be the cause of enough of so many crashes."""
    possible = sum(each is not CrashEvidence.WEAK for each in evidence)
    return len(evidence) >= crashes and possible >= CRASHES_TO_GIVE_UP


def mark_suspect(cell: CellState, step: StepInfo, task: TaskInfo) -> None:
    """Note a task that is started on trial only from now on."""
    if SUSPECT_RULES[cell.policies.suspects](task):
        step.suspects[task.index] = None


def count_crash_before_takeover(
    cell: CellState,
    worker_id: str,
    running: Mapping[RunKey, object],
    now_ms: int,
) -> None:
    """Count a crash for the runs that an earlier owner had sent to a worker.

    `running` holds the runs that the worker still has. The record does not tell
    how long the others had run, but which of them had been on trial or in a crash
    before.
    """
    suspects = tuple(
        Suspect(
            run, _recorded_evidence(run, task), run.number in task.sent_runs
        )
        for run, task in _assigned_runs(cell, worker_id)
        if run not in running
    )
    crash = Crash(worker_id, CrashSign.RECORDED, suspects)
    count_crash(cell, crash, now_ms)


def _recorded_evidence(run: RunKey, task: TaskInfo) -> CrashEvidence:
    is_possible = task.crashes or run.number == task.trial_run
    return CrashEvidence.UNCLEAR if is_possible else CrashEvidence.WEAK


def _assigned_runs(
    cell: CellState, worker_id: str
) -> list[tuple[RunKey, TaskInfo]]:
    steps = itertools.chain.from_iterable(
        steps_of(job) for job in cell.jobs.values() if not job.is_final
    )
    return [
        (RunKey(TaskKey(*step.key, task.index), task.last_run), task)
        for step in steps
        for task in step.tasks
        if task.assigned_worker == worker_id and _may_have_run(task)
    ]


def _may_have_run(task: TaskInfo) -> bool:
    is_over = task.last_run in task.failed_runs or task.last_run in task.crashes
    return not (task.done or task.runs or is_over)
