"""Choose owners by rendezvous hashing and digest texts."""

import hashlib
from collections.abc import Iterable
from typing import Final

DIGEST_BYTES: Final = 8


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Sort nodes by their rendezvous weight for a key, heaviest first.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase
    hit rates", 1998.
    """
    return sorted(
        nodes,
        key=lambda node: (_weight(key, node), node),
        reverse=True,
    )


def owner_of(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node with the greatest weight, or None without nodes."""
    return max(
        nodes,
        key=lambda node: (_weight(key, node), node),
        default=None,
    )


def _weight(key: str, node: str) -> bytes:
    text = f'{key}\0{node}'.encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()


def number_of(text: str) -> int:
    """Return a 64-bit hash of the text, equal in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest)


def digest_of(text: str) -> str:
    """Return a short hexadecimal digest to compare texts by."""
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
