"""Define the API views of jobs, shared by client and server."""

from typing import NamedTuple

from ._codes import CODES, Code
from ._jobs import Kind
from ._state import JobInfo, TaskInfo


class TaskView(NamedTuple):
    """Represent a task of a job."""

    state: str
    attempt: int
    worker: str
    answer: str
    code: int = 0


class JobView(NamedTuple):
    """Represent a job; it no longer changes once `complete` is set."""

    job_id: str
    state: str
    code: int
    detail: str
    complete: bool
    tasks: tuple[TaskView, ...]


class JobLine(NamedTuple):
    """Represent a job in a list."""

    job_id: str
    workload: str
    kind: Kind
    state: str
    code: int
    tasks: int
    accepted_ms: int


class JobList(NamedTuple):
    """Hold the newest jobs of a team and whether there are more."""

    code: int
    team: str
    jobs: tuple[JobLine, ...]
    more: bool


class Receipt(NamedTuple):
    """Confirm a recorded submission or cancellation."""

    job_id: str
    code: int
    held: bool = False


def to_job_view(job: JobInfo) -> JobView:
    """Return the public view of a job."""
    code = code_of(job)
    return JobView(
        job.spec.job_id,
        job.state.value,
        int(code),
        job.detail or CODES[code].text,
        job.is_final,
        tuple(to_task_view(task) for task in job.tasks),
    )


def to_task_view(task: TaskInfo) -> TaskView:
    """Return the public view of a task."""
    return TaskView(
        task.state.value,
        task.attempt,
        task.worker,
        task.answer,
        task.code,
    )


def to_job_line(job: JobInfo) -> JobLine:
    """Return the list entry of a job."""
    return JobLine(
        job.spec.job_id,
        job.spec.workload,
        job.spec.kind,
        job.state.value,
        int(code_of(job)),
        len(job.tasks),
        job.accepted_ms,
    )


def code_of(job: JobInfo) -> Code:
    """Return the result code of a job in its current state."""
    if job.is_final:
        return Code(job.code)
    running = any(task.is_live for task in job.tasks)
    return Code.RUNNING if running else Code.ACCEPTED
