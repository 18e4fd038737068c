"""Fold records, and those that took effect while the log was down."""

from ._commands import ReplyAccepted, StartTask
from ._events import Recorded
from ._handle_tasks import take_intent
from ._handlers import FOLDS, HANDLERS, Commands
from ._records import Intended, Record, Settled, TermTaken
from ._state import ShardState


@HANDLERS.register(Recorded)
def on_recorded(
    state: ShardState,
    event: Recorded,
    now_ms: int,
) -> Commands:
    """Fold one record in log order."""
    record = event.record
    if isinstance(record, TermTaken) and not event.held:
        state.log_term = max(state.log_term, record.term)
    if event.held:
        yield from _fold_held(state, record, now_ms)
    elif _precedes_held_claim(state, record):
        yield from _fold_past(state, record, now_ms)
    else:
        yield from FOLDS[type(record)](state, record, now_ms)


def _fold_held(state: ShardState, record: Record, now_ms: int) -> Commands:
    # What two entry VMs kept took effect then, whatever term came since.
    folded = (
        _fold_past(state, record, now_ms)
        if _has_past_term(state, record)
        else FOLDS[type(record)](state, record, now_ms)
    )
    for command in folded:
        if isinstance(command, ReplyAccepted):
            yield command._replace(held=True)
        else:
            yield command


def _fold_past(state: ShardState, record: Record, now_ms: int) -> Commands:
    # A start of an older term was sent by its owner or never will be; its end
    # may already be on the way, so it is not sent again here.
    if isinstance(record, Intended):
        folded = take_intent(state, record, now_ms)
    elif isinstance(record, Settled):
        current = record._replace(term=state.term)
        folded = FOLDS[Settled](state, current, now_ms)
    else:
        folded = FOLDS[type(record)](state, record, now_ms)
    for command in folded:
        if not isinstance(command, StartTask):
            yield command


def _precedes_held_claim(state: ShardState, record: Record) -> bool:
    # The log does not show the present term yet: everyone else reads this
    # record before the claim, so the earlier owner acted on it.
    if _has_past_term(state, record):
        return record.term >= state.log_term  # type: ignore[union-attr]
    return False


def _has_past_term(state: ShardState, record: Record) -> bool:
    if isinstance(record, Intended | Settled):
        return record.term < state.term
    return False
