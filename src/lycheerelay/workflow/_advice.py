"""Ask for placement advice and keep tickets fresh."""

from typing import Final, NamedTuple

from ._commands import AskAdvice
from ._fit import may_ever_run, room_for
from ._spec import AdvicePolicy, StepKey
from ._state import NEVER, CellState, StepInfo, Ticket, WorkerInfo

# A first call names at most so many workers; a caller's objective counts one
# call on thirty.
FIRST_ASK_LIMIT: Final = 30
# A renewal names at most so many workers.
RENEW_LIMIT: Final = 12
# A refused or lost call is made again after this time, in ms.
RETRY_MS: Final = 120
# A ticket is taken to end so much earlier, in ms: its time counts from the
# advisor's answer, which came on a slow way.
TICKET_LAG_MS: Final = 100
# Tickets of so many steps at the head of a pool's queue are kept fresh.
FRESH_STEPS: Final = 8


class Advice(NamedTuple):
    """Tell an answer: the workers asked for and the tickets given."""

    step: StepKey
    asked: tuple[str, ...]
    tickets: tuple[tuple[str, str], ...]
    valid_ms: int
    received_ms: int


def apply_advice(cell: CellState, advice: Advice) -> None:
    """Enter tickets in the books of their step."""
    step = cell.open_steps.get(advice.step)
    if step is None:
        return
    step.advice_sent_ms = NEVER
    step.pending_advice = ()
    step.asked_workers.update(dict.fromkeys(advice.asked))
    until_ms = advice.received_ms + advice.valid_ms - TICKET_LAG_MS
    for worker_id, text in advice.tickets:
        step.eligible_workers[worker_id] = None
        step.tickets[worker_id] = Ticket(text, until_ms)


def advice_failed(cell: CellState, key: StepKey, now_ms: int) -> None:
    """Let a call that came to nothing be made again."""
    step = cell.open_steps.get(key)
    if step is not None:
        step.advice_sent_ms = NEVER
        step.pending_advice = ()
        step.advice_retry_ms = now_ms + RETRY_MS


def ask_first(
    cell: CellState,
    step: StepInfo,
    policy: AdvicePolicy,
    usable: dict[str, WorkerInfo],
    now_ms: int,
) -> None:
    """Ask about usable workers that the step has not been advised on."""
    if not can_ask(step, now_ms) or usable.keys() <= step.asked_workers.keys():
        return
    fresh = [
        worker
        for worker_id, worker in usable.items()
        if worker_id not in step.asked_workers and may_ever_run(step, worker)
    ]
    if fresh:
        fresh.sort(key=lambda worker: _least_busy(step, worker, now_ms))
        _ask(cell, step, policy, fresh[:FIRST_ASK_LIMIT], now_ms)


def renew(
    cell: CellState,
    step: StepInfo,
    policy: AdvicePolicy,
    workers: list[WorkerInfo],
    now_ms: int,
) -> None:
    """Ask again about workers whose tickets run out."""
    _ask(cell, step, policy, workers[:RENEW_LIMIT], now_ms)


def renew_ahead(
    cell: CellState,
    step: StepInfo,
    policy: AdvicePolicy,
    now_ms: int,
) -> None:
    """Renew tickets before they end, so that room is used when it comes."""
    workers = [
        cell.workers[worker_id]
        for worker_id in step.eligible_workers
        if worker_id in cell.workers
    ]
    if not workers:
        return
    call_ms = policy.call_ms(min(len(workers), RENEW_LIMIT))
    ends_ms = max(step.tickets[worker.worker_id].until_ms for worker in workers)
    if ends_ms < now_ms + call_ms + TICKET_LAG_MS:
        renew(cell, step, policy, workers, now_ms)


def can_ask(step: StepInfo, now_ms: int) -> bool:
    """Tell whether a call for the step may be made now."""
    return step.advice_sent_ms == NEVER and now_ms >= step.advice_retry_ms


def _ask(
    cell: CellState,
    step: StepInfo,
    policy: AdvicePolicy,
    workers: list[WorkerInfo],
    now_ms: int,
) -> None:
    names = tuple(worker.worker_id for worker in workers)
    if not names or not can_ask(step, now_ms):
        return
    step.advice_sent_ms = now_ms
    step.pending_advice = names
    cell.outbox.append(
        AskAdvice(step.key, names, policy.call_ms(len(names))),
    )


def _least_busy(
    step: StepInfo,
    worker: WorkerInfo,
    now_ms: int,
) -> tuple[int, int]:
    return -room_for(step, worker, {}, now_ms), -worker.free.accelerators
