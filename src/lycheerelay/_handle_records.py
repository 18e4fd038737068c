"""Apply records, including those stored during a log outage."""

from ._commands import ReadRunTable, ReplyAccepted, StartTask
from ._events import Recorded
from ._handle_tasks import apply_intent_of_any_term
from ._handlers import EVENT_HANDLERS, RECORD_HANDLERS, Commands
from ._records import Intended, Record, Settled, TermTaken
from ._state import ShardState


@EVENT_HANDLERS.register(Recorded)
def on_recorded(
    state: ShardState,
    event: Recorded,
    now_ms: int,
) -> Commands:
    """Apply one record in log order."""
    record = event.record
    if isinstance(record, TermTaken) and not event.held:
        yield from _apply_claim_on_log(state, record)
    if event.held:
        yield from _apply_held(state, record, now_ms)
    elif _precedes_held_claim(state, record):
        yield from _apply_past(state, record, now_ms)
    else:
        yield from RECORD_HANDLERS[type(record)](state, record, now_ms)


def _apply_claim_on_log(state: ShardState, record: TermTaken) -> Commands:
    was_held_only = state.log_term < state.term
    state.log_term = max(state.log_term, record.term)
    if not was_held_only or state.log_term < state.term or not state.is_owner:
        return
    # Every intent before the claim is known now, including those of runs that
    # were unknown when the run tables were read.
    for worker in state.workers.values():
        if worker.ready:
            yield ReadRunTable(worker.spec.name)


def _apply_held(state: ShardState, record: Record, now_ms: int) -> Commands:
    # A record that a standby also stored took effect at that time, even if a
    # higher term was claimed since.
    commands = (
        _apply_past(state, record, now_ms)
        if _has_past_term(state, record)
        else RECORD_HANDLERS[type(record)](state, record, now_ms)
    )
    for command in commands:
        if isinstance(command, ReplyAccepted):
            yield command._replace(held=True)
        else:
            yield command


def _apply_past(state: ShardState, record: Record, now_ms: int) -> Commands:
    # A start of an older term was sent by the owner of that term or is never
    # sent. Its end may already be in flight, so it is not sent again here.
    if isinstance(record, Intended):
        commands = apply_intent_of_any_term(state, record, now_ms)
    elif isinstance(record, Settled):
        current = record._replace(term=state.term)
        commands = RECORD_HANDLERS[Settled](state, current, now_ms)
    else:
        commands = RECORD_HANDLERS[type(record)](state, record, now_ms)
    for command in commands:
        if not isinstance(command, StartTask):
            yield command


def _precedes_held_claim(state: ShardState, record: Record) -> bool:
    # The claim of the current term is stored by a standby but not yet in the
    # log. Other nodes read this record before the claim, so it is valid and
    # the earlier owner acted on it.
    if _has_past_term(state, record):
        return record.term >= state.log_term  # type: ignore[union-attr]
    return False


def _has_past_term(state: ShardState, record: Record) -> bool:
    if isinstance(record, Intended | Settled):
        return record.term < state.term
    return False
