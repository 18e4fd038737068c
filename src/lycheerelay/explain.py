"""Explain the decisions of the core."""

from ._explain import Explanation, Reason, explain

__all__ = ('Explanation', 'Reason', 'explain')
