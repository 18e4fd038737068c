"""Note decisions for the log."""

from ._commands import Note
from ._state import CellState


def note(cell: CellState, event: str, **fields: object) -> None:
    """Hand one decision with its inputs to the log."""
    cell.outbox.append(Note(event, tuple(fields.items())))
