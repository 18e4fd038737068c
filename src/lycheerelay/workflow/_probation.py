"""Watch tasks whose workers have crashed twice for no known reason.

Load: workers crash under dozens of services that had long been at work. Such a
task starts like any other. Only a crash soon after that start says more about it.
"""

from typing import Final

from ._state import CrashEvidence, Run, TaskInfo

# How long a run on trial is watched, unless it ends before.
TRIAL_MS: Final = 3000
CRASHES_BEFORE_PROBATION: Final = 2


def is_on_probation(task: TaskInfo) -> bool:
    """Return whether a task was in several crashes that say little about it."""
    return len(task.crashes) >= CRASHES_BEFORE_PROBATION and all(
        evidence is CrashEvidence.WEAK for evidence in task.crashes.values()
    )


def watch_run(run: Run, now_ms: int) -> None:
    """Put a run that starts now on trial."""
    run.trial_until_ms = now_ms + TRIAL_MS
    run.task.trial_run = run.key.number
