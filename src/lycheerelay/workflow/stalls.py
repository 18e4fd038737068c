"""Report what waits although there is capacity for it."""

from ._stalls import (
    count_hopeless_steps,
    count_waiting_suspects,
    report_stalled_steps,
)

__all__ = (
    'count_hopeless_steps',
    'count_waiting_suspects',
    'report_stalled_steps',
)
