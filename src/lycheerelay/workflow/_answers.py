"""Take in the answers of workers to single orders."""

from enum import Enum, unique
from typing import Final

from ._commands import PollNow, StopRun
from ._log_events import log_event
from ._run_table import drop_run, remove_replaced_worker
from ._runs import stop_run
from ._spec import RunKey
from ._state import NEVER, CellState, Run, RunState, WorkerInfo

# A worker that has no room, or says it is unwell, gets nothing for so long,
# in ms: about one look.
PAUSE_MS: Final = 500
# A refused run number was passed by runs that this owner did not see.
SKIP_RUNS: Final = 5


@unique
class Answer(Enum):
    """Name a worker's answer to an order."""

    DONE = 'done'
    FENCED = 'fenced'
    OLD_RUN = 'old_run'
    EXPIRED = 'expired'
    NO_ROOM = 'no_room'
    BAD_TICKET = 'bad_ticket'
    UNWELL = 'unwell'
    MALFORMED = 'malformed'
    OTHER_LIFE = 'other_life'
    NONE = 'none'
    UNREACHED = 'unreached'
    UNSENT = 'unsent'


def handle_start_answer(
    cell: CellState,
    worker_id: str,
    key: RunKey,
    answer: Answer,
    now_ms: int,
) -> None:
    """Judge the answer to a start."""
    if answer is Answer.OTHER_LIFE:
        remove_replaced_worker(cell, worker_id, now_ms)
        return
    run = cell.find_run(worker_id, key)
    if run is None:
        return
    worker = run.worker
    if answer is Answer.DONE:
        run.answered_ms = now_ms
        if run.state is RunState.SENT:
            run.state = RunState.RUNNING
        return
    log_event(
        cell,
        'start_refused',
        run=key,
        worker=worker_id,
        answer=answer.value,
        after_ms=now_ms - run.sent_ms,
    )
    if answer in {Answer.NONE, Answer.UNREACHED}:
        _doubt(cell, worker, now_ms)
    if answer is Answer.NONE:
        run.start_unknown_ms = now_ms
        return
    if answer is Answer.FENCED:
        cell.deposed = True
        return
    if answer is Answer.OLD_RUN:
        run.task.last_run += SKIP_RUNS
    if answer is Answer.BAD_TICKET:
        run.step.tickets.pop(worker_id, None)
    if answer in {Answer.NO_ROOM, Answer.UNWELL}:
        worker.barred_until_ms = max(
            worker.barred_until_ms,
            now_ms + PAUSE_MS,
        )
    if answer is Answer.MALFORMED:
        run.task.not_before_ms = now_ms + PAUSE_MS
    drop_run(cell, run, now_ms)


# After an order without an answer the other workers are looked at, too, at most
# this often, in ms: it may be this process that is cut off.
DOUBT_EVERY_MS: Final = 1000
# Workers that were heard within so many ms are not looked at then.
HEARD_LATELY_MS: Final = 300


def _doubt(cell: CellState, worker: WorkerInfo, now_ms: int) -> None:
    worker.unresponsive = True
    cell.outbox.append(PollNow(worker.worker_id))
    has_doubted = cell.last_suspicion_ms != NEVER
    if has_doubted and now_ms - cell.last_suspicion_ms < DOUBT_EVERY_MS:
        return
    cell.last_suspicion_ms = now_ms
    for other in cell.workers.values():
        is_unheard = now_ms - other.last_contact_ms > HEARD_LATELY_MS
        if is_unheard and not other.unresponsive:
            cell.outbox.append(PollNow(other.worker_id))


def handle_stop_answer(
    cell: CellState,
    worker_id: str,
    key: RunKey,
    answer: Answer,
    now_ms: int,
) -> None:
    """Judge the answer to a stop."""
    if answer is Answer.OTHER_LIFE:
        remove_replaced_worker(cell, worker_id, now_ms)
        return
    if answer is Answer.FENCED:
        cell.deposed = True
        return
    run = cell.find_run(worker_id, key)
    if run is not None and answer is Answer.DONE:
        run.stop_answered_ms = now_ms
        if run.start_unknown_ms != NEVER:
            cell.outbox.append(PollNow(worker_id))


def repeat_stops(cell: CellState, now_ms: int) -> None:
    """Send unanswered stops again, and stop runs that may not have begun."""
    for worker in cell.workers.values():
        for run in list(worker.runs.values()):
            _repeat_stop(cell, run, now_ms)


# A start without an answer is voided after this time, in ms, unless a look
# shows its run first: looks come at least that often while ends come.
UNSURE_MS: Final = 300


def _repeat_stop(cell: CellState, run: Run, now_ms: int) -> None:
    if run.state is RunState.STOPPING:
        stop_run(cell, run, now_ms, run.stop_reason)
        return
    is_unsure = run.state is RunState.SENT and run.start_unknown_ms != NEVER
    if is_unsure and now_ms - run.start_unknown_ms >= UNSURE_MS:
        stop_run(cell, run, now_ms, 'its start was not answered')


def stop_orphaned_runs(cell: CellState) -> None:
    """Stop again what runs for no open job."""
    for worker in cell.workers.values():
        for stray in worker.orphaned_runs:
            cell.outbox.append(StopRun(worker.worker_id, stray))
