"""Reconstruct from log lines what each job waited for."""

from ._causes import Cause
from ._lines import LineCounts, LogLine, read_lines
from ._summary import QueueSummary, SecondSummary, summarize
from ._timeline import Interval, JobTimeline, build_timelines

__all__ = (
    'Cause',
    'Interval',
    'JobTimeline',
    'LineCounts',
    'LogLine',
    'QueueSummary',
    'SecondSummary',
    'build_timelines',
    'read_lines',
    'summarize',
)
