"""Explain the scheduling decisions about a job."""

from ._explain import Explanation, Reason, explain

__all__ = ('Explanation', 'Reason', 'explain')
