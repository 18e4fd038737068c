"""Shut one entry VM down without cutting a request in flight."""

import logging
import time
from typing import Final, NamedTuple

from ._clock import MS_PER_SECOND
from ._hand_back import hand_back
from ._node import Node
from ._web import WebServer

LOGGER: Final = logging.getLogger(__name__)


class Farewell(NamedTuple):
    """Tell how a shutdown went."""

    answered: bool
    took_ms: int


def shut_down(node: Node, server: WebServer) -> Farewell:
    """Refuse new work, answer what is in flight, then stop everything.

    The listener stays open for the notice time, so that the balancer sees
    the readiness go before connections are refused.
    """
    started_ms = node.clock.now_ms()
    settings = node.settings
    node.draining = True
    server.end_connections()
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
    return Farewell(answered, took_ms)


def has_peers(node: Node) -> bool:
    """Tell whether another entry VM of the domain can take the pools."""
    names = node.members.alive_in_domain()
    return any(name != node.settings.name for name in names)
