"""Emit log events for decisions."""

from ._commands import LogEvent
from ._state import CellState


def log_event(cell: CellState, event: str, **fields: object) -> None:
    """Append a log event with the inputs of a decision to the outbox."""
    cell.outbox.append(LogEvent(event, tuple(fields.items())))
