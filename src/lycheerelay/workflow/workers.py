"""Provide what an owner decides about one worker or its contact with all."""

from ._contact import count_missed_call
from ._gone_workers import forget_gone_workers
from ._pacing import pace_worker
from ._periodic_checks import median_unresponsive_ms

__all__ = (
    'count_missed_call',
    'forget_gone_workers',
    'median_unresponsive_ms',
    'pace_worker',
)
