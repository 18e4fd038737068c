"""Bounds of what callers hold in a process."""

from ._body_turns import BodyTurns
from ._connection_limits import MachineLimits

__all__ = (
    'BodyTurns',
    'MachineLimits',
)
