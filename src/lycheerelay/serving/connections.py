"""Bounds of what callers hold in a process, and the order in which they give way."""

from ._body_turns import BodyTurns
from ._cell_room import CellRoom
from ._connection_limits import (
    ConnectionBudget,
    ConnectionLoad,
    Listener,
    MachineLimits,
    RequestLimits,
    Stage,
    make_budget,
    select_for_memory,
    select_for_sockets,
    select_overdue,
)

__all__ = (
    'BodyTurns',
    'CellRoom',
    'ConnectionBudget',
    'ConnectionLoad',
    'Listener',
    'MachineLimits',
    'RequestLimits',
    'Stage',
    'make_budget',
    'select_for_memory',
    'select_for_sockets',
    'select_overdue',
)
