"""Hand pools and worker leases over when a node shuts down."""

import time
from typing import Final

from ._clock import MS_PER_SECOND
from ._node import Node

POLL_MS: Final = 20


def hand_back(node: Node, within_ms: int) -> bool:
    """Let others take the pools, then end the worker leases.

    Return whether every pool found a new owner within the time. Terms are
    kept: the next owner takes a higher one, so nothing sent before counts
    against it.
    """
    node.members.leave()
    until_ms = node.clock.now_ms() + within_ms
    while owns_any(node) and node.clock.now_ms() < until_ms:
        time.sleep(POLL_MS / MS_PER_SECOND)
    node.links.hand_back()
    return not owns_any(node)


def owns_any(node: Node) -> bool:
    """Tell whether a node still owns a pool."""
    states = tuple(node.shards.values())
    return any(state.is_owner for state in states)
