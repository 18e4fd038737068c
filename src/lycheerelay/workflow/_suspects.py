"""Find the runs that may have crashed their worker.

Load: a task crashes each worker that starts it, beside tasks that only share the
worker.

A crash is put down to the runs that had only just begun, or were on trial; the
others had worked beside each other before. A start without an answer may have come
too late to be the cause. Without any of these, it may be any run.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from .._registry import Registry
from ._runs import is_start_unconfirmed
from ._spec import RunKey
from ._state import NEVER, CrashEvidence, Run, TaskInfo, WorkerInfo

# A run that a poll has shown, and that has lasted for this time, did not crash
# its worker at its start.
SETTLED_MS: Final = 300

SuspectRule = Callable[[TaskInfo], bool]

# Functions that return whether a task is started on trial only.
SUSPECT_RULES: Final[Registry[str, SuspectRule]] = Registry('suspect rule')


@SUSPECT_RULES.register('first_start')
def had_just_begun(task: TaskInfo) -> bool:
    """Suspect a task after a crash at its start, or on trial."""
    return any(
        evidence is not CrashEvidence.WEAK for evidence in task.crashes.values()
    )


@SUSPECT_RULES.register('second_crash')
def has_shared_two_crashes(task: TaskInfo) -> bool:
    """Suspect a task after two crashes; few tasks share that many."""
    return len(task.crashes) > 1


@SUSPECT_RULES.register('never')
def is_never_suspected(task: TaskInfo) -> bool:
    """Start every task beside others."""
    return False


class Suspect(NamedTuple):
    """Run that may have crashed its worker, and whether its start was sent."""

    run: RunKey
    evidence: CrashEvidence
    was_sent: bool


def find_suspects(worker: WorkerInfo) -> tuple[Suspect, ...]:
    """Return the runs that may be the cause if the worker has crashed."""
    started = [run for run in worker.runs.values() if _may_have_begun(run)]
    unsettled = [run for run in started if not is_settled(run)]
    # Runs that share a trial were sent together, so each of them may be the cause.
    jobs = {
        run.key.task.job_id
        for run in unsettled
        if run.holds_worker or _has_begun(run)
    }
    return tuple(
        Suspect(run.key, _evidence(run, len(jobs)), was_sent=True)
        for run in unsettled or started
    )


def _evidence(run: Run, jobs: int) -> CrashEvidence:
    if _has_begun(run) and not has_worked(run):
        return CrashEvidence.SHARED if jobs > 1 else CrashEvidence.OWN
    is_on_trial = run.trial_until_ms > 0
    return CrashEvidence.UNCLEAR if is_on_trial else CrashEvidence.WEAK


def _may_have_begun(run: Run) -> bool:
    return run.listed or is_start_unconfirmed(run)


def _has_begun(run: Run) -> bool:
    return run.listed or run.answered_ms != NEVER


def is_settled(run: Run) -> bool:
    """Return whether a run has worked for some time and is not on trial."""
    is_on_trial = run.worker.last_contact_ms < run.trial_until_ms
    return has_worked(run) and not is_on_trial


def has_worked(run: Run) -> bool:
    """Return whether a poll has shown that a run outlasted its start."""
    return run.listed and run.worker.last_contact_ms >= run.sent_ms + SETTLED_MS
