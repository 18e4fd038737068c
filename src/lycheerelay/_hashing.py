"""Choose owners by rendezvous hashing."""

import hashlib
from collections.abc import Iterable
from typing import Final

DIGEST_BYTES: Final = 8


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Order nodes by their rendezvous weight for a key, heaviest first.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase
    hit rates", 1998.
    """
    return sorted(
        nodes,
        key=lambda node: (_weight(key, node), node),
        reverse=True,
    )


def owner_of(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node with the heaviest weight, or None without nodes."""
    return max(
        nodes,
        key=lambda node: (_weight(key, node), node),
        default=None,
    )


def _weight(key: str, node: str) -> bytes:
    text = f'{key}\0{node}'.encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()


def number_of(text: str) -> int:
    """Return a number of 64 bits that depends on the text alone."""
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest)


def digest_of(text: str) -> str:
    """Return a short digest by which equal texts are recognised."""
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
