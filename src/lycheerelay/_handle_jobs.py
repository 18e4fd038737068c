"""Handle submissions, cancellations and final results of jobs."""

from ._admission import refuse
from ._allocations import drop_plans
from ._codes import Code, Refusal
from ._commands import Append, ReplyAccepted, ReplyRefused
from ._deadlines import watch_deadline
from ._events import CancelRequested, SubmitRequested
from ._finalize import JobOutcome, finalize_if_over, finalize_job
from ._handlers import EVENT_HANDLERS, RECORD_HANDLERS, Commands
from ._jobs import JobState
from ._records import Accepted, CancelAsked, Settled
from ._reports import stop_live_attempts
from ._service import track_replica
from ._state import JobInfo, PendingAccept, ShardState, TaskInfo


@EVENT_HANDLERS.register(SubmitRequested)
def on_submit(
    state: ShardState,
    event: SubmitRequested,
    now_ms: int,
) -> Commands:
    """Acknowledge a known job; otherwise refuse or record the new one."""
    spec = event.spec
    known = state.jobs.get(spec.job_id)
    pending = state.accepting.get(spec.job_id)
    existing_spec = known.spec if known else pending and pending.spec
    if existing_spec is not None and existing_spec != spec:
        yield _conflict(event.token, spec.job_id)
    elif known is not None:
        yield ReplyAccepted(event.token, spec.job_id, Code.ACCEPTED)
    elif pending is not None:
        pending.tokens.append(event.token)
    else:
        yield from _admit(state, event, now_ms)


def _admit(
    state: ShardState,
    event: SubmitRequested,
    now_ms: int,
) -> Commands:
    refusal = refuse(state, event.spec, now_ms)
    if refusal is not None:
        yield ReplyRefused(event.token, refusal)
        return
    spec = event.spec
    state.accepting[spec.job_id] = PendingAccept(spec, [event.token])
    workload = state.policy.workload(spec.workload)
    max_attempts = workload.max_attempts if workload else 0
    yield Append(Accepted(state.pool, spec, now_ms, max_attempts))


@RECORD_HANDLERS.register(Accepted)
def apply_accepted(
    state: ShardState,
    record: Accepted,
    now_ms: int,
) -> Commands:
    """Add a job; the first record of an id wins."""
    spec = record.spec
    known = state.jobs.get(spec.job_id)
    if known is None:
        tasks = [TaskInfo() for _ in range(spec.tasks)]
        known = JobInfo(spec, record.at_ms, tasks)
        known.accepted_term = state.term
        known.max_attempts = record.max_attempts
        state.jobs[spec.job_id] = known
        state.waiting[spec.job_id] = None
        watch_deadline(state, known)
        track_replica(state, spec.job_id)
    pending = state.accepting.pop(spec.job_id, None)
    if pending is None:
        return
    for token in pending.tokens:
        if known.spec == pending.spec:
            yield ReplyAccepted(token, spec.job_id, Code.ACCEPTED)
        else:
            yield _conflict(token, spec.job_id)


@EVENT_HANDLERS.register(CancelRequested)
def on_cancel(
    state: ShardState,
    event: CancelRequested,
    now_ms: int,
) -> Commands:
    """Record a cancellation, once per job."""
    job = state.jobs.get(event.job_id)
    if job is None:
        detail = f'job {event.job_id} is not known here'
        yield ReplyRefused(event.token, Refusal(Code.NOT_FOUND, detail))
    elif job.is_final or job.cancel_asked:
        code = Code(job.code) if job.is_final else Code.CANCELLED
        yield ReplyAccepted(event.token, event.job_id, code)
    else:
        tokens = state.cancelling.setdefault(event.job_id, [])
        tokens.append(event.token)
        if len(tokens) == 1:
            yield Append(CancelAsked(state.pool, event.job_id, now_ms))


@RECORD_HANDLERS.register(CancelAsked)
def apply_cancel(
    state: ShardState,
    record: CancelAsked,
    now_ms: int,
) -> Commands:
    """Stop live attempts; finalize the job once none is left."""
    tokens = state.cancelling.pop(record.job_id, [])
    job = state.jobs.get(record.job_id)
    is_open = job is not None and not job.is_final
    code = Code.CANCELLED if is_open or job is None else Code(job.code)
    for token in tokens:
        yield ReplyAccepted(token, record.job_id, code)
    if job is None or job.is_final:
        return
    job.cancel_asked = True
    drop_plans(state, job)
    state.waiting.pop(record.job_id, None)
    if state.is_owner:
        yield from stop_live_attempts(state, job)
    yield from finalize_if_over(state, job, record.at_ms)


@RECORD_HANDLERS.register(Settled)
def apply_settled(
    state: ShardState,
    record: Settled,
    now_ms: int,
) -> Commands:
    """Apply a recorded final result, unless a task may be running."""
    job = state.jobs.get(record.job_id)
    if job is None or job.is_final or record.term < state.term:
        return
    if any(task.may_run for task in job.tasks):
        return
    outcome = JobOutcome(JobState(record.state), record.code, record.detail)
    yield from finalize_job(state, job, outcome, record.at_ms)


def _conflict(token: int, job_id: str) -> ReplyRefused:
    detail = f'job_id: {job_id} is taken by another body'
    return ReplyRefused(token, Refusal(Code.CONFLICT, detail))
