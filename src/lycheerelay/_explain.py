"""Explain why a job waits, was preempted or ended."""

from typing import Final, NamedTuple

from ._codes import Code
from ._fence import may_start
from ._gang import AGED_ROLE
from ._jobs import Kind, TaskState
from ._order import ORDERS
from ._order_queues import URGENT, Entry
from ._resources import Resources
from ._state import JobInfo, ShardState

MAX_MOVES_SHOWN: Final = 10


class Reason(NamedTuple):
    """State one fact about a job, as a code and a text."""

    code: Code
    text: str


class Explanation(NamedTuple):
    """Hold the state of a job and the reasons for it."""

    job_id: str
    state: str
    reasons: tuple[Reason, ...]


def explain(state: ShardState, job_id: str, now_ms: int) -> Explanation | None:
    """Explain the state of a job, or return None for an unknown one."""
    job = state.jobs.get(job_id)
    if job is None:
        return None
    reasons = [*_ended(job), *_running(job), *_preempted(job)]
    if not job.is_final and _has_queued(job):
        reasons.extend(_waiting(state, job, now_ms))
    return Explanation(job_id, job.state.value, tuple(reasons))


def _has_queued(job: JobInfo) -> bool:
    return any(task.state is TaskState.QUEUED for task in job.tasks)


def _ended(job: JobInfo) -> list[Reason]:
    if not job.is_final:
        return []
    detail = job.detail or f'every task ended; the job is {job.state.value}'
    return [Reason(Code(job.code), detail)]


def _running(job: JobInfo) -> list[Reason]:
    live = [task for task in job.tasks if task.is_live]
    if not live:
        return []
    names = sorted({task.worker for task in live})
    text = f'{len(live)} of {len(job.tasks)} tasks on {", ".join(names)}'
    return [Reason(Code.RUNNING, text)]


def _preempted(job: JobInfo) -> list[Reason]:
    moved = [
        (index, task) for index, task in enumerate(job.tasks) if task.moves
    ]
    return [
        Reason(
            Code.ACCEPTED,
            f'task {index} was preempted {task.moves} times, last in '
            f'favour of {task.moved_for}',
        )
        for index, task in moved[:MAX_MOVES_SHOWN]
    ]


def _waiting(state: ShardState, job: JobInfo, now_ms: int) -> list[Reason]:
    if not state.is_owner:
        text = f'the owner of pool {state.pool} is {state.owner or "unknown"}'
        return [Reason(Code.NO_OWNER, text)]
    if not may_start(state, job):
        text = 'waiting until no earlier owner can start tasks'
        return [Reason(Code.NO_OWNER, text)]
    entry = state.waiting.entries.get(job.spec.job_id)
    if entry is None:
        return [_delayed(job, now_ms)]
    return [
        _capacity(state, entry),
        *_reservation(state, entry, now_ms),
        _queue_position(state, entry),
    ]


def _delayed(job: JobInfo, now_ms: int) -> Reason:
    queued = [task for task in job.tasks if task.state is TaskState.QUEUED]
    due_ms = min(task.not_before_ms for task in queued)
    if due_ms > now_ms:
        text = f'the next attempt is delayed for another {due_ms - now_ms} ms'
        return Reason(Code.ACCEPTED, text)
    if job.spec.kind is Kind.GANG and any(task.is_live for task in job.tasks):
        text = 'the gang starts again once all its tasks have stopped'
        return Reason(Code.ACCEPTED, text)
    return Reason(Code.ACCEPTED, 'considered in the next scheduling cycle')


def _capacity(state: ShardState, entry: Entry) -> Reason:
    demand = entry.key.fit_class.demand
    workers = [
        worker for worker in state.workers.values() if worker.is_schedulable
    ]
    fitting = sum(demand.times_in(worker.free) for worker in workers)
    width = entry.key.fit_class.width
    if fitting >= width:
        text = (
            f'{fitting} such tasks fit now, but the capacity is reserved for '
            'other jobs or other jobs are placed first'
        )
        return Reason(Code.ACCEPTED, text)
    suitable = [
        worker for worker in workers if demand.fits_in(worker.spec.capacity)
    ]
    lacking = [
        f'{name} on {count}'
        for index, name in enumerate(Resources._fields)
        if (
            count := sum(
                worker.free[index] < demand[index] for worker in suitable
            )
        )
    ]
    text = (
        f'{fitting} of {width} tasks fit now; of {len(suitable)} workers that '
        f'could hold one, free capacity is insufficient for: {", ".join(lacking)}'
    )
    return Reason(Code.ACCEPTED, text)


def _reservation(
    state: ShardState,
    entry: Entry,
    now_ms: int,
) -> list[Reason]:
    role = state.reservations.role_of(entry.spec.job_id)
    if role is None:
        return []
    reservation = state.reservations.by_role[role]
    names = ', '.join(sorted(reservation.holds))
    wait_ms = max(0, reservation.at_ms - now_ms)
    why = 'waited past patience_ms' if role == AGED_ROLE else role
    text = f'{why}: capacity reserved on {names}, expected in {wait_ms} ms'
    return [Reason(Code.ACCEPTED, text)]


def _queue_position(state: ShardState, entry: Entry) -> Reason:
    team = entry.spec.team
    if entry.key.band == URGENT:
        return Reason(Code.ACCEPTED, 'urgent: placed before all other jobs')
    ahead = sum(
        other.rank < entry.rank
        for other in state.waiting.entries.values()
        if other.spec.team == team and other.key.band == entry.key.band
    )
    text = f'{ahead} jobs of team {team} are due before it'
    if not ORDERS[state.policy.limits.order].is_managed:
        return Reason(Code.ACCEPTED, text)
    share = state.ledger.dominant_share(team)
    lower = sum(
        state.ledger.dominant_share(name) < share
        for name in state.waiting.teams[entry.key.band]
    )
    text = f'{text}; {lower} waiting teams use less of their quota'
    return Reason(Code.ACCEPTED, text)
