"""Commit records in groups and deliver them in log order."""

from ._journal import BatchFilter, Journal, JournalSettings, Log

__all__ = ('BatchFilter', 'Journal', 'JournalSettings', 'Log')
