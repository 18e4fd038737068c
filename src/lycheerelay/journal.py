"""Append records to the log in batches and deliver them in log order."""

from ._journal import Journal, JournalSettings, Log
from ._log_client import LogEntry, LogPage
from ._outbox import BatchFilter

__all__ = (
    'BatchFilter',
    'Journal',
    'JournalSettings',
    'Log',
    'LogEntry',
    'LogPage',
)
