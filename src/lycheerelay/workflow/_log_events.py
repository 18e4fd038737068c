"""Note decisions for the log."""

from ._commands import LogEvent
from ._state import CellState


def log_event(cell: CellState, event: str, **fields: object) -> None:
    """Hand one decision with its inputs to the log."""
    cell.outbox.append(LogEvent(event, tuple(fields.items())))
