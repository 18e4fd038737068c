"""Open the occurrences of scheduled jobs as they fall due.

Load: a schedule whose first occurrence was due days ago has a hundred thousand of them
due at once, or many schedules fall due together. All of them in one turn of the event
loop would hold up the renewal of the ownership, and take more memory than a VM has.
"""

from collections.abc import Iterator
from typing import Final

from ._intake import count_ending_tasks, open_occurrence
from ._state import NEVER, CellState, JobInfo

# Tasks that one call opens, of one job and of all. At least one occurrence of a job
# is opened if none of it is.
MAX_OPENED_PER_JOB: Final = 256
MAX_OPENED: Final = 2048
# Tasks of a job that may be open before its next due occurrences are. Those that
# last do not count, as they stay open.
MAX_OPEN_TASKS: Final = 4096


def open_occurrences(cell: CellState, wall_ms: int) -> int:
    """Open due occurrences and return the next due time, or NEVER.

    Occurrences that are due and have to wait for a later call are returned as well.
    """
    left = MAX_OPENED
    due_times_ms = []
    for job in _open_schedules(cell):
        left -= _open_due(cell, job, wall_ms, min(left, MAX_OPENED_PER_JOB))
        due_times_ms.append(_next_due_ms(job))
    return min(
        (due_ms for due_ms in due_times_ms if due_ms != NEVER), default=NEVER
    )


def forget_finished_occurrences(cell: CellState) -> None:
    """Release the steps of finished occurrences that no worker runs any more."""
    for job in _open_schedules(cell):
        finished = [
            number
            for number, steps in job.occurrences.items()
            if number in job.finished
            and not any(step.has_runs for step in steps)
        ]
        for number in finished:
            job.occurrences.pop(number)
            job.unfinished.pop(number, None)


def _open_schedules(cell: CellState) -> Iterator[JobInfo]:
    for job in cell.jobs.values():
        if job.spec.occurrences and not job.is_final:
            yield job


def _open_due(cell: CellState, job: JobInfo, wall_ms: int, limit: int) -> int:
    """Open due occurrences of a job and return how many tasks that makes."""
    tasks = sum(step.width for step in job.spec.steps)
    opened = 0
    while opened < limit and _may_open(job):
        due_ms = _next_due_ms(job)
        if due_ms == NEVER or due_ms > wall_ms:
            break
        open_occurrence(cell, job, job.next_occurrence)
        opened += tasks
    return opened


def _may_open(job: JobInfo) -> bool:
    ending = count_ending_tasks(job.spec)
    return not job.open_tasks or job.open_tasks + ending <= MAX_OPEN_TASKS


def _next_due_ms(job: JobInfo) -> int:
    """Return when the first occurrence that is not open is due, or NEVER."""
    job.next_occurrence = max(job.next_occurrence, job.finished.first_open)
    while (
        job.next_occurrence in job.occurrences
        or job.next_occurrence in job.finished
    ):
        job.next_occurrence += 1
    if job.next_occurrence >= job.spec.occurrences:
        return NEVER
    return job.spec.first_due_ms + job.next_occurrence * job.spec.every_ms
