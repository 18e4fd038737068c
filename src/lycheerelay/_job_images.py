"""Convert jobs to and from images, so that older records may expire."""

from ._allocations import charge
from ._deadlines import watch_deadline
from ._jobs import JobState, TaskState
from ._records import JobImage, TaskImage
from ._service import track_replica
from ._state import JobInfo, ShardState, TaskInfo


def has_record_in_flight(state: ShardState, job: JobInfo) -> bool:
    """Return whether a record of the job is in flight to the log."""
    return job.spec.job_id in state.on_way


def image_of(state: ShardState, job: JobInfo) -> JobImage:
    """Return a record of the job's complete current state."""
    return JobImage(
        state.pool,
        job.spec,
        job.accepted_ms,
        job.state.value,
        job.code,
        job.detail,
        job.cancel_asked,
        job.settled_ms,
        tuple(_task_image(task) for task in job.tasks),
        job.max_attempts,
        job.restarting,
        tuple(job.failed_on),
    )


def restore_job(state: ShardState, image: JobImage) -> None:
    """Add a job, its allocations and its deadline from an image."""
    job = JobInfo(
        image.spec,
        image.accepted_ms,
        [_task_info(task) for task in image.tasks],
        JobState(image.state),
        image.code,
        image.detail,
        image.cancel_asked,
        image.settled_ms,
        image.max_attempts,
        image.restarting,
        dict.fromkeys(image.failed_on),
    )
    job_id = image.spec.job_id
    state.jobs[job_id] = job
    track_replica(state, job_id)
    if _is_waiting(job):
        state.waiting[job_id] = None
    for index, task in enumerate(job.tasks):
        if task.is_live:
            key = job.attempt_key(index)
            charge(state, task.worker, key, job.allocated(index))
    if job.is_final:
        state.finals.append((job.settled_ms, job_id))
    else:
        watch_deadline(state, job)


def _is_waiting(job: JobInfo) -> bool:
    if job.is_final or job.cancel_asked:
        return False
    return any(task.state is TaskState.QUEUED for task in job.tasks)


def _task_image(task: TaskInfo) -> TaskImage:
    return TaskImage(
        task.state,
        task.attempt,
        task.worker,
        task.boot,
        task.failures,
        task.not_before_ms,
        task.started_ms,
        task.code,
        task.answer,
        task.runs,
        task.booked_cores_milli,
        task.booked_memory_mb,
    )


def _task_info(image: TaskImage) -> TaskInfo:
    return TaskInfo(
        state=image.state,
        attempt=image.attempt,
        worker=image.worker,
        boot=image.boot,
        recorded=image.state is not TaskState.QUEUED,
        failures=image.failures,
        not_before_ms=image.not_before_ms,
        started_ms=image.started_ms,
        code=image.code,
        answer=image.answer,
        runs=image.runs,
        booked_cores_milli=image.booked_cores_milli,
        booked_memory_mb=image.booked_memory_mb,
    )
