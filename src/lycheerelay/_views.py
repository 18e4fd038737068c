"""Show jobs to their callers; client and server share these types."""

from typing import NamedTuple

from ._codes import CODES, Code
from ._jobs import Kind
from ._state import JobInfo, TaskInfo


class TaskView(NamedTuple):
    """Show one task of a job."""

    state: str
    attempt: int
    worker: str
    answer: str
    code: int = 0


class JobView(NamedTuple):
    """Show a job; its answer is final once `complete` is set."""

    job_id: str
    state: str
    code: int
    detail: str
    complete: bool
    tasks: tuple[TaskView, ...]


class JobLine(NamedTuple):
    """Show a job in a list."""

    job_id: str
    workload: str
    kind: Kind
    state: str
    code: int
    tasks: int
    accepted_ms: int


class JobList(NamedTuple):
    """Show the newest jobs of a team, and whether there are more."""

    code: int
    team: str
    jobs: tuple[JobLine, ...]
    more: bool


class Receipt(NamedTuple):
    """Answer a submission or a cancellation that is kept."""

    job_id: str
    code: int
    held: bool = False


def view_job(job: JobInfo) -> JobView:
    """Return what a caller may see of a job."""
    code = code_of(job)
    return JobView(
        job.spec.job_id,
        job.state.value,
        int(code),
        job.detail or CODES[code].text,
        job.is_final,
        tuple(view_task(task) for task in job.tasks),
    )


def view_task(task: TaskInfo) -> TaskView:
    """Return what a caller may see of a task."""
    return TaskView(
        task.state.value,
        task.attempt,
        task.worker,
        task.answer,
        task.code,
    )


def line_of(job: JobInfo) -> JobLine:
    """Return the line of a job in a list."""
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
    """Return the result code that fits the job's state now."""
    if job.is_final:
        return Code(job.code)
    running = any(task.is_live for task in job.tasks)
    return Code.RUNNING if running else Code.ACCEPTED
