"""Choose how long a state query waits for the end of its job.

Load: callers ask for the state in the moment in which the last task ends. The
worker's report of that end and its record follow some milliseconds later, and
an answer before them costs the caller another query.
"""

from collections.abc import Callable
from typing import Final

from .._registry import Registry
from ._intake import steps_of
from ._state import JobInfo

ResultWait = Callable[[JobInfo], int]

# Functions that return the longest wait for the end of a job, in ms.
RESULT_WAITS: Final[Registry[str, ResultWait]] = Registry('result wait')

# The report of an end takes a few ms, and its record one call to the store.
RUNNING_WAIT_MS: Final = 100
# The end is known, and its record is on its way to the store.
RECORD_WAIT_MS: Final = 300


@RESULT_WAITS.register('last_tasks')
def wait_for_last_tasks(job: JobInfo) -> int:
    """Wait for the record of an end, or while every remaining task runs."""
    if job.is_final:
        return 0 if job.durable_phase is job.phase else RECORD_WAIT_MS
    if len(job.occurrences) < max(job.spec.occurrences, 1):
        return 0
    is_ending = all(
        step.ready and not step.waiting and not step.spec.lasts
        for step in steps_of(job)
    )
    return RUNNING_WAIT_MS if is_ending else 0


@RESULT_WAITS.register('none')
def answer_at_once(job: JobInfo) -> int:
    """Answer with the state of the moment."""
    return 0
