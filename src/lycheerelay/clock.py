"""Provide clocks with a resolution of one millisecond."""

from ._clock import MS_PER_SECOND, Clock, ManualClock, SystemClock

__all__ = ('MS_PER_SECOND', 'Clock', 'ManualClock', 'SystemClock')
