"""Hand pools and worker leases over before a node shuts down."""

import time
from typing import Final

from ._clock import MS_PER_SECOND
from ._node import Node

POLL_MS: Final = 20


def hand_back(node: Node, within_ms: int) -> bool:
    """Wait until other nodes own the pools, then end the worker leases.

    Return whether every pool has a new owner within `within_ms`. The new
    owner takes a higher term, so messages that this node sent before cannot
    interfere with it.
    """
    node.members.leave()
    until_ms = node.clock.now_ms() + within_ms
    while owns_any(node) and node.clock.now_ms() < until_ms:
        time.sleep(POLL_MS / MS_PER_SECOND)
    node.links.hand_back()
    return not owns_any(node)


def owns_any(node: Node) -> bool:
    """Return whether a node owns a pool."""
    states = tuple(node.shards.values())
    return any(state.is_owner for state in states)
