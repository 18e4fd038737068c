"""Translate between the users' platform and the product."""

from ._serve import main

__all__ = ('main',)
