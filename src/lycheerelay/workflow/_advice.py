"""Request placement advice and renew tickets."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from ._advice_share import expected_share, observe_share
from ._call_sizes import CALL_SIZES
from ._call_targets import TARGET_ORDERS
from ._commands import AskAdvice
from ._fit import count_fitting, meets_requirements
from ._spec import AdvicePolicy, StepKey, WorkerKey
from ._state import NEVER, CellState, StepInfo, Ticket, WorkerInfo

# Limit of the advisor on the workers of a call.
MAX_WORKERS_PER_CALL: Final = 100
# Limit on the workers of a renewal call for tasks that start one by one.
MAX_WORKERS_PER_RENEWAL: Final = 12
# Limit on the calls for one step that are in progress at the same time. Each
# occupies the advisor for another entry VM.
MAX_PARALLEL_CALLS: Final = 4
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
    asked: tuple[WorkerKey, ...]
    tickets: tuple[tuple[WorkerKey, str], ...]
    valid_ms: int
    received_ms: int


def apply_advice(cell: CellState, advice: Advice) -> None:
    """Store the tickets of a reply in their step."""
    step = cell.open_steps.get(advice.step)
    if step is None:
        return
    step.pending_calls.pop(advice.asked, None)
    step.replan_ms = 0
    observe_share(cell, step, advice.asked, len(advice.tickets))
    step.asked_workers.update(dict.fromkeys(advice.asked))
    until_ms = advice.received_ms + advice.valid_ms - TICKET_EXPIRY_MARGIN_MS
    for key, text in advice.tickets:
        step.eligible_workers[key] = None
        step.tickets[key] = Ticket(text, until_ms)


def advice_failed(
    cell: CellState, key: StepKey, asked: tuple[WorkerKey, ...], now_ms: int
) -> None:
    """Schedule a retry after a failed call."""
    step = cell.open_steps.get(key)
    if step is not None:
        step.pending_calls.pop(asked, None)
        step.replan_ms = 0
        step.advice_retry_ms = now_ms + ADVICE_RETRY_MS


def ask_about_new_workers(
    cell: CellState,
    step: StepInfo,
    policy: AdvicePolicy,
    usable: dict[WorkerKey, WorkerInfo],
    now_ms: int,
) -> None:
    """Request advice on usable workers without advice for the step."""
    if not may_ask(step, now_ms) or usable.keys() <= step.asked_workers.keys():
        return
    new_workers = [
        worker
        for key, worker in usable.items()
        if key not in step.asked_workers and meets_requirements(step, worker)
    ]
    if not new_workers:
        return
    fitting = {
        worker.key: count_fitting(step, worker, {}, now_ms)
        for worker in new_workers
    }
    share = expected_share(cell, step)
    order = TARGET_ORDERS[cell.policies.advice_targets]
    new_workers.sort(key=order(step, fitting, share))
    sizes = CALL_SIZES[cell.policies.call_sizes](
        len(step.waiting),
        [fitting[worker.key] for worker in new_workers],
        share,
    )
    first = 0
    for size in sizes[:MAX_PARALLEL_CALLS]:
        call_advisor(cell, step, policy, new_workers[first : first + size])
        first += size


def renew_tickets(
    cell: CellState,
    step: StepInfo,
    policy: AdvicePolicy,
    workers: list[WorkerInfo],
    now_ms: int,
    is_urgent: bool = True,
) -> None:
    """Request new tickets for workers whose tickets expired or soon expire."""
    if may_ask(step, now_ms):
        first_workers = workers[:MAX_WORKERS_PER_RENEWAL]
        call_advisor(cell, step, policy, first_workers, is_urgent)


def renew_expiring_tickets(
    cell: CellState,
    step: StepInfo,
    policy: AdvicePolicy,
    now_ms: int,
) -> None:
    """Renew tickets before they expire, to use capacity once it is free."""
    workers = [
        cell.workers[key]
        for key in step.eligible_workers
        if key in cell.workers
    ]
    if not workers:
        return
    call_ms = policy.call_ms(min(len(workers), MAX_WORKERS_PER_RENEWAL))
    # The ticket of an eligible worker is gone after a `bad_ticket` answer.
    latest_end_ms = max(
        (
            step.tickets[worker.key].until_ms
            for worker in workers
            if worker.key in step.tickets
        ),
        default=NEVER,
    )
    if latest_end_ms < now_ms + call_ms + TICKET_EXPIRY_MARGIN_MS:
        renew_tickets(cell, step, policy, workers, now_ms, is_urgent=False)


def may_ask(step: StepInfo, now_ms: int) -> bool:
    """Return whether a call for the step may be made now."""
    return not step.pending_calls and now_ms >= step.advice_retry_ms


def call_advisor(
    cell: CellState,
    step: StepInfo,
    policy: AdvicePolicy,
    workers: Sequence[WorkerInfo],
    is_urgent: bool = False,
) -> None:
    """Request tickets for some workers, in addition to calls in progress."""
    keys = tuple(worker.key for worker in workers[:MAX_WORKERS_PER_CALL])
    if not keys:
        return
    step.pending_calls[keys] = None
    call_ms = policy.call_ms(len(keys))
    cell.outbox.append(AskAdvice(step.key, keys, call_ms, is_urgent))
