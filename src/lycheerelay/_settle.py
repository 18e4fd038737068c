"""Derive a job's state from its tasks."""

from ._codes import Code
from ._commands import JobFinal
from ._handlers import Commands
from ._jobs import JobState, TaskState
from ._state import JobBook, ShardState


def settle_if_over(state: ShardState, job: JobBook, at_ms: int) -> Commands:
    """Make the job final once no task runs or may run again."""
    if job.is_final:
        return
    if any(task.is_live for task in job.tasks):
        job.state = JobState.RUNNING
        return
    verdict = _verdict(job)
    if verdict is None:
        return
    job.state = verdict[0]
    job.code = int(verdict[1])
    job.settled_ms = at_ms
    state.waiting.pop(job.spec.job_id, None)
    yield JobFinal(job.spec.job_id)


def _verdict(job: JobBook) -> tuple[JobState, Code] | None:
    states = {task.state for task in job.tasks}
    if states == {TaskState.DONE}:
        return JobState.DONE, Code.DONE
    if TaskState.UNKNOWN in states:
        return JobState.UNKNOWN, Code.OUTCOME_UNKNOWN
    if job.cancel_asked:
        return JobState.CANCELLED, Code.CANCELLED
    if TaskState.FAILED in states:
        return JobState.FAILED, Code.TASK_FAILED
    return None
