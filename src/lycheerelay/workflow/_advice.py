"""Request placement advice and renew tickets."""

from typing import Final, NamedTuple

from ._commands import AskAdvice
from ._fit import count_fitting, meets_requirements
from ._spec import AdvicePolicy, StepKey
from ._state import NEVER, CellState, StepInfo, Ticket, WorkerInfo

# Limit on the workers of a first call. The objective of a job includes the time
# of one call for 30 workers.
MAX_WORKERS_PER_FIRST_CALL: Final = 30
# Limit on the workers of a renewal call.
MAX_WORKERS_PER_RENEWAL: Final = 12
# Delay before a failed call is repeated.
ADVICE_RETRY_MS: Final = 120
# Tickets are treated as expiring this much earlier. Their validity begins when
# the advisor sends its reply, which may be delayed by the network.
TICKET_EXPIRY_MARGIN_MS: Final = 100
# Tickets are renewed ahead of time for this many steps at the head of the order
# of a pool.
STEPS_WITH_FRESH_TICKETS: Final = 8


class Advice(NamedTuple):
    """Reply of the advisor: the workers asked about and their tickets."""

    step: StepKey
    asked: tuple[str, ...]
    tickets: tuple[tuple[str, str], ...]
    valid_ms: int
    received_ms: int


def apply_advice(cell: CellState, advice: Advice) -> None:
    """Store the tickets of a reply in their step."""
    step = cell.open_steps.get(advice.step)
    if step is None:
        return
    step.advice_sent_ms = NEVER
    step.pending_advice = ()
    step.asked_workers.update(dict.fromkeys(advice.asked))
    until_ms = advice.received_ms + advice.valid_ms - TICKET_EXPIRY_MARGIN_MS
    for worker_id, text in advice.tickets:
        step.eligible_workers[worker_id] = None
        step.tickets[worker_id] = Ticket(text, until_ms)


def advice_failed(cell: CellState, key: StepKey, now_ms: int) -> None:
    """Schedule a retry after a failed call."""
    step = cell.open_steps.get(key)
    if step is not None:
        step.advice_sent_ms = NEVER
        step.pending_advice = ()
        step.advice_retry_ms = now_ms + ADVICE_RETRY_MS


def ask_about_new_workers(
    cell: CellState,
    step: StepInfo,
    policy: AdvicePolicy,
    usable: dict[str, WorkerInfo],
    now_ms: int,
) -> None:
    """Request advice on usable workers without advice for the step."""
    if not may_ask(step, now_ms) or usable.keys() <= step.asked_workers.keys():
        return
    new_workers = [
        worker
        for worker_id, worker in usable.items()
        if worker_id not in step.asked_workers
        and meets_requirements(step, worker)
    ]
    if new_workers:
        new_workers.sort(
            key=lambda worker: _most_capacity_first(step, worker, now_ms)
        )
        _call_advisor(
            cell, step, policy, new_workers[:MAX_WORKERS_PER_FIRST_CALL], now_ms
        )


def renew_tickets(
    cell: CellState,
    step: StepInfo,
    policy: AdvicePolicy,
    workers: list[WorkerInfo],
    now_ms: int,
) -> None:
    """Request new tickets for workers whose tickets expired or soon expire."""
    _call_advisor(cell, step, policy, workers[:MAX_WORKERS_PER_RENEWAL], now_ms)


def renew_expiring_tickets(
    cell: CellState,
    step: StepInfo,
    policy: AdvicePolicy,
    now_ms: int,
) -> None:
    """Renew tickets before they expire, to use capacity once it is free."""
    workers = [
        cell.workers[worker_id]
        for worker_id in step.eligible_workers
        if worker_id in cell.workers
    ]
    if not workers:
        return
    call_ms = policy.call_ms(min(len(workers), MAX_WORKERS_PER_RENEWAL))
    # The ticket of an eligible worker is gone after a `bad_ticket` answer.
    latest_end_ms = max(
        (
            step.tickets[worker.worker_id].until_ms
            for worker in workers
            if worker.worker_id in step.tickets
        ),
        default=NEVER,
    )
    if latest_end_ms < now_ms + call_ms + TICKET_EXPIRY_MARGIN_MS:
        renew_tickets(cell, step, policy, workers, now_ms)


def may_ask(step: StepInfo, now_ms: int) -> bool:
    """Return whether a call for the step may be made now."""
    return step.advice_sent_ms == NEVER and now_ms >= step.advice_retry_ms


def _call_advisor(
    cell: CellState,
    step: StepInfo,
    policy: AdvicePolicy,
    workers: list[WorkerInfo],
    now_ms: int,
) -> None:
    worker_ids = tuple(worker.worker_id for worker in workers)
    if not worker_ids or not may_ask(step, now_ms):
        return
    step.advice_sent_ms = now_ms
    step.pending_advice = worker_ids
    cell.outbox.append(
        AskAdvice(step.key, worker_ids, policy.call_ms(len(worker_ids))),
    )


def _most_capacity_first(
    step: StepInfo,
    worker: WorkerInfo,
    now_ms: int,
) -> tuple[int, int]:
    return (
        -count_fitting(step, worker, {}, now_ms),
        -worker.free.accelerators,
    )
