"""Provide retry delays and retry budgets."""

from ._retry import RetryBudget, RetryDelays, retry_delay_ms

__all__ = ('RetryBudget', 'RetryDelays', 'retry_delay_ms')
