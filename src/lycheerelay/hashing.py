"""Choose owners by rendezvous hashing."""

from ._hashing import owner_of, rank

__all__ = ('owner_of', 'rank')
