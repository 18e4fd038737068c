"""Handle the answers of workers to start and stop orders."""

from enum import Enum, unique
from typing import Final

from ._commands import PollNow, StopRun
from ._contact import count_missed_call
from ._crashes import note_sent_suspect
from ._instances import remove_replaced_worker
from ._log_events import log_event
from ._run_table import drop_run
from ._runs import stop_run
from ._spec import RunKey, WorkerKey
from ._state import NEVER, CellState, Run, RunState, WorkerInfo

# Time without new starts after a worker reports that a run does not fit or that
# it is unhealthy, and before a malformed start is repeated: about one poll.
REFUSAL_PAUSE_MS: Final = 500
# Added to the run number when a worker refuses it as outdated, to get past runs
# that this owner does not know of.
RUN_NUMBER_SKIP: Final = 5


@unique
class Answer(Enum):
    """Answer of a worker to an order, or the reason for having none."""

    DONE = 'done'
    FENCED = 'fenced'
    OUTDATED_RUN = 'old_run'
    EXPIRED = 'expired'
    DOES_NOT_FIT = 'no_room'
    BAD_TICKET = 'bad_ticket'
    UNHEALTHY = 'unwell'
    MALFORMED = 'malformed'
    OTHER_INSTANCE = 'other_life'
    NONE = 'none'
    UNREACHED = 'unreached'
    UNSENT = 'unsent'


UNANSWERED: Final = frozenset((Answer.NONE, Answer.UNREACHED))
# Log events of starts that no worker refused.
START_EVENTS: Final = {
    Answer.NONE: 'start_unanswered',
    Answer.UNREACHED: 'start_unanswered',
    Answer.UNSENT: 'start_withheld',
}


def handle_start_answer(
    cell: CellState,
    worker_key: WorkerKey,
    run_key: RunKey,
    answer: Answer,
    now_ms: int,
) -> None:
    """Process the answer to a start order.

    The run may have been moved to a later instance of the worker.
    """
    if answer is Answer.OTHER_INSTANCE:
        remove_replaced_worker(cell, worker_key, now_ms)
        return
    run = cell.find_run(worker_key.worker_id, run_key)
    if run is None:
        return
    worker = run.worker
    if answer is Answer.DONE:
        run.answered_ms = now_ms
        if run.state is RunState.SENT:
            run.state = RunState.RUNNING
        note_sent_suspect(cell, run)
        return
    log_event(
        cell,
        START_EVENTS.get(answer, 'start_refused'),
        run=run_key,
        worker=worker.worker_id,
        answer=answer.value,
        after_ms=now_ms - run.sent_ms,
    )
    if answer in UNANSWERED:
        _suspect_worker(cell, worker, answer, now_ms)
    if answer is Answer.NONE:
        run.start_unknown_ms = now_ms
        return
    if answer is Answer.FENCED:
        cell.deposed = True
        return
    if answer is Answer.OUTDATED_RUN:
        run.task.last_run += RUN_NUMBER_SKIP
    if answer is Answer.BAD_TICKET:
        run.step.tickets.pop(worker_key, None)
    if answer in {Answer.DOES_NOT_FIT, Answer.UNHEALTHY}:
        worker.paused_until_ms = now_ms + REFUSAL_PAUSE_MS
    if answer is Answer.MALFORMED:
        run.task.not_before_ms = now_ms + REFUSAL_PAUSE_MS
    drop_run(cell, run, now_ms)


# After an unanswered order the other workers are polled too, since this process
# itself may be disconnected. This limits how often that happens.
SUSPICION_POLL_INTERVAL_MS: Final = 1000
# Workers with a contact more recent than this are not polled in that case.
RECENT_CONTACT_MS: Final = 300


def _suspect_worker(
    cell: CellState, worker: WorkerInfo, answer: Answer, now_ms: int
) -> None:
    count_missed_call(cell, worker, now_ms)
    if answer is Answer.UNREACHED:
        worker.unresponsive = True
    cell.outbox.append(PollNow(worker.key))
    has_suspected = cell.last_suspicion_ms != NEVER
    if (
        has_suspected
        and now_ms - cell.last_suspicion_ms < SUSPICION_POLL_INTERVAL_MS
    ):
        return
    cell.last_suspicion_ms = now_ms
    for other in cell.workers.values():
        is_out_of_contact = now_ms - other.last_contact_ms > RECENT_CONTACT_MS
        is_polled = other is worker or other.unresponsive
        if is_out_of_contact and not is_polled:
            cell.outbox.append(PollNow(other.key))


def handle_stop_answer(
    cell: CellState,
    worker_key: WorkerKey,
    run_key: RunKey,
    answer: Answer,
    now_ms: int,
) -> None:
    """Process the answer to a stop order."""
    if answer is Answer.OTHER_INSTANCE:
        remove_replaced_worker(cell, worker_key, now_ms)
        return
    if answer is Answer.FENCED:
        cell.deposed = True
        return
    worker = cell.workers.get(worker_key)
    if worker is None or answer is not Answer.DONE:
        return
    worker.unconfirmed_voids.pop(run_key, None)
    run = worker.runs.get(run_key)
    if run is not None:
        run.stop_answered_ms = now_ms
        if run.start_unknown_ms != NEVER:
            cell.outbox.append(PollNow(worker_key))


def repeat_stops(cell: CellState, now_ms: int) -> None:
    """Resend unanswered stops and stop runs whose start is uncertain."""
    for worker in cell.workers.values():
        for run in list(worker.runs.values()):
            if run.state is not RunState.RUNNING:
                _repeat_stop(cell, run, now_ms)


# A start without an answer is voided after this time unless a poll shows its
# run first. While runs end, polls return at least this often.
UNKNOWN_START_TIMEOUT_MS: Final = 300


def _repeat_stop(cell: CellState, run: Run, now_ms: int) -> None:
    if run.state is RunState.STOPPING:
        stop_run(cell, run, now_ms, run.stop_reason)
        return
    is_start_unknown = (
        run.state is RunState.SENT and run.start_unknown_ms != NEVER
    )
    if (
        is_start_unknown
        and now_ms - run.start_unknown_ms >= UNKNOWN_START_TIMEOUT_MS
    ):
        stop_run(cell, run, now_ms, 'its start order was not answered')


def stop_orphaned_runs(cell: CellState) -> None:
    """Resend stop orders for runs that belong to no open job, and for voids."""
    for worker in cell.workers.values():
        for run_key in (*worker.orphaned_runs, *worker.unconfirmed_voids):
            cell.outbox.append(StopRun(worker.key, run_key))
