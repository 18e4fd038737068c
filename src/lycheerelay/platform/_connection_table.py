"""Hold the connections of one listener within its budget."""

import logging
from typing import NamedTuple, Protocol, final

from .._clock import Clock
from ..serving import MetricsRegistry
from ..serving.connections import (
    ConnectionBudget,
    ConnectionLoad,
    Listener,
    select_for_sockets,
)

logger = logging.getLogger('lycheerelay.connections')


class ListenerParts(NamedTuple):
    """What the connections of a listener share."""

    listener: Listener
    budget: ConnectionBudget
    clock: Clock
    metrics: MetricsRegistry


class HeldConnection(Protocol):
    """Connection that reports what it holds and can be closed."""

    @property
    def job_id(self) -> str:
        """Return the job of the current request, or an empty string."""

    def load(self) -> ConnectionLoad:
        """Return what the connection waits for and holds."""

    def cut(self, cause: str) -> None:
        """Close the connection at once, without an answer."""


@final
class ConnectionTable:
    """The open connections of one listener and what they hold."""

    def __init__(self, parts: ListenerParts) -> None:
        """Start without connections."""
        self.parts = parts
        self.open: dict[int, HeldConnection] = {}
        self.held_bytes = 0

    def now_ms(self) -> int:
        """Return the time of the clock of the process."""
        return self.parts.clock.now_ms()

    def add(self, connection: HeldConnection) -> None:
        """Add a connection; others or itself may have to give way."""
        self.open[id(connection)] = connection
        if len(self.open) > self.parts.budget.connections:
            self._cut()

    def remove(self, connection: HeldConnection, held_bytes: int) -> None:
        """Forget a connection and what is counted for it."""
        if self.open.pop(id(connection), None) is not None:
            self.held_bytes -= held_bytes

    def change_held(self, change_bytes: int) -> None:
        """Add to what the connections hold."""
        self.held_bytes += change_bytes

    def report(
        self, connection: HeldConnection, cause: str, status: int = 0
    ) -> None:
        """Count and log a connection that is refused or closed."""
        name = self.parts.listener.value
        self.parts.metrics.count(
            'connections_closed', cause=cause, listener=name
        )
        load = connection.load()
        job = connection.job_id
        logger.info(
            'connection_closed',
            extra={
                'cause': cause,
                'listener': name,
                'stage': load.stage.value,
                'status': status,
                'held_bytes': load.held_bytes,
                'received_bytes': load.received_bytes,
                'age_ms': self.now_ms() - load.begun_ms,
                'connections': len(self.open),
                'all_held_bytes': self.held_bytes,
                **({'job': job} if job else {}),
            },
        )

    def _loads(self) -> list[ConnectionLoad]:
        return [connection.load() for connection in self.open.values()]

    def _cut(self) -> None:
        loads = self._loads()
        budget = self.parts.budget
        for key in select_for_sockets(loads, budget, self.now_ms()):
            self.open[key].cut('sockets')
