"""Step the decision core: one event in, commands out."""

from . import (  # noqa: F401
    _handle_jobs,
    _handle_keeping,
    _handle_tasks,
    _handle_workers,
)
from ._commands import Command
from ._events import Event
from ._handlers import HANDLERS
from ._state import ShardState


def step(
    state: ShardState,
    event: Event,
    now_ms: int,
) -> tuple[ShardState, list[Command]]:
    """Apply one event; the state is updated in place and returned."""
    commands = list(HANDLERS[type(event)](state, event, now_ms))
    return state, commands
