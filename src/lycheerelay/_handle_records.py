"""Fold records, and those that took effect while the log was down."""

from ._commands import ReplyAccepted, StartTask
from ._events import Recorded
from ._handlers import FOLDS, HANDLERS, Commands
from ._records import Intended, Record, Settled
from ._state import ShardState


@HANDLERS.register(Recorded)
def on_recorded(
    state: ShardState,
    event: Recorded,
    now_ms: int,
) -> Commands:
    """Fold one record in log order."""
    if event.held:
        yield from _fold_held(state, event.record, now_ms)
    else:
        yield from FOLDS[type(event.record)](state, event.record, now_ms)


def _fold_held(state: ShardState, record: Record, now_ms: int) -> Commands:
    # What two entry VMs kept took effect then, whatever term came since. A
    # start of an older term was sent by its owner or never will be; its end
    # may already be on the way, so it is not sent again here.
    is_past = _has_past_term(state, record)
    if isinstance(record, Intended | Settled) and is_past:
        record = record._replace(term=state.term)
    for command in FOLDS[type(record)](state, record, now_ms):
        if isinstance(command, ReplyAccepted):
            yield command._replace(held=True)
        elif not (is_past and isinstance(command, StartTask)):
            yield command


def _has_past_term(state: ShardState, record: Record) -> bool:
    if isinstance(record, Intended | Settled):
        return record.term < state.term
    return False
