"""Apply events to the decision core and return its commands."""

from . import (  # noqa: F401
    _handle_durability,
    _handle_jobs,
    _handle_records,
    _handle_tasks,
    _handle_workers,
)
from ._commands import Append, Command
from ._events import Event, Recorded
from ._handlers import EVENT_HANDLERS
from ._in_flight import record_arrived, record_sent
from ._state import ShardState


def step(
    state: ShardState,
    event: Event,
    now_ms: int,
) -> tuple[ShardState, list[Command]]:
    """Apply one event; the state is updated in place and returned."""
    if isinstance(event, Recorded):
        record_arrived(state, event.record)
    commands = list(EVENT_HANDLERS[type(event)](state, event, now_ms))
    for command in commands:
        if isinstance(command, Append):
            record_sent(state, command.record)
    return state, commands
