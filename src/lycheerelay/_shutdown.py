"""Shut an entry VM down without aborting requests in flight."""

import logging
import time
from typing import Final, NamedTuple

from ._clock import MS_PER_SECOND
from ._hand_back import hand_back
from ._node import Node
from ._web import WebServer

LOGGER: Final = logging.getLogger(__name__)


class ShutdownResult(NamedTuple):
    """Hold whether all requests were answered, and the duration."""

    answered: bool
    took_ms: int


def shut_down(node: Node, server: WebServer) -> ShutdownResult:
    """Refuse new work, answer requests in flight, then stop the node.

    The listener stays open for `drain_notice_ms`, so that load balancers see
    the entry VM become unready before connections are refused.
    """
    started_ms = node.clock.now_ms()
    settings = node.settings
    node.draining = True
    server.close_after_responses()
    LOGGER.info('shutting down', extra={'in_flight': server.in_flight})
    handed = hand_back(node, settings.hand_back_ms if has_peers(node) else 0)
    left_ms = started_ms + settings.drain_notice_ms - node.clock.now_ms()
    time.sleep(max(left_ms, 0) / MS_PER_SECOND)
    node.parts.watchers.wake_all()
    answered = server.drain(settings.shutdown_ms)
    server.stop()
    node.stop()
    took_ms = node.clock.now_ms() - started_ms
    LOGGER.info(
        'stopped',
        extra={'answered': answered, 'handed': handed, 'took_ms': took_ms},
    )
    return ShutdownResult(answered, took_ms)


def has_peers(node: Node) -> bool:
    """Return whether another entry VM of the domain can take the pools."""
    names = node.members.alive_in_domain()
    return any(name != node.settings.name for name in names)
