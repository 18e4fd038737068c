"""Decide how long the records of jobs are kept."""

from ._retention import (
    find_expired,
    find_settled,
    find_waiting,
    is_expired,
    is_settled,
    may_be_over,
    retention_ms,
)

__all__ = (
    'find_expired',
    'find_settled',
    'find_waiting',
    'is_expired',
    'is_settled',
    'may_be_over',
    'retention_ms',
)
