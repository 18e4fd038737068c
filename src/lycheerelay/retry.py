"""Offer retry delays and budgets."""

from ._retry import RetryBudget, RetryPace, retry_delay_ms

__all__ = ('RetryBudget', 'RetryPace', 'retry_delay_ms')
