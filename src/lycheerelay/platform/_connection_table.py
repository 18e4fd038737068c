"""Hold the connections of one listener within its budget."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol, final

from .._clock import Clock
from ..serving import MetricsRegistry
from ..serving.connections import (
    ConnectionBudget,
    ConnectionLoad,
    Listener,
    RequestLimits,
    Stage,
    select_for_memory,
    select_for_sockets,
    select_overdue,
)

logger = logging.getLogger('lycheerelay.connections')

# Interval at which the time limits of unfinished requests are checked.
SWEEP_INTERVAL_S: Final = 0.5

LimitsSource = Callable[[], RequestLimits]
Selection = Callable[[list[ConnectionLoad], ConnectionBudget, int], list[int]]


class ListenerParts(NamedTuple):
    """What the connections of a listener share."""

    listener: Listener
    budget: ConnectionBudget
    find_limits: LimitsSource
    clock: Clock
    metrics: MetricsRegistry


class HeldConnection(Protocol):
    """Connection that reports what it holds and can be closed."""

    @property
    def job_id(self) -> str:
        """Return the job of the current request, or an empty string."""

    @property
    def is_unfinished(self) -> bool:
        """Return whether a time limit applies to the connection."""

    def load(self) -> ConnectionLoad:
        """Return what the connection waits for and holds."""

    def cut(self, cause: str) -> None:
        """Close the connection at once, without an answer."""

    def end_overdue(self, stage: Stage) -> None:
        """End a connection that has reached a time limit."""


@final
class ConnectionTable:
    """The open connections of one listener and what they hold."""

    def __init__(self, parts: ListenerParts) -> None:
        """Start without connections."""
        self.parts = parts
        self.open: dict[int, HeldConnection] = {}
        self.held_bytes = 0
        self.sweep: asyncio.TimerHandle | None = None

    def now_ms(self) -> int:
        """Return the time of the clock of the process."""
        return self.parts.clock.now_ms()

    def add(self, connection: HeldConnection) -> None:
        """Add a connection; others or itself may have to give way."""
        self.open[id(connection)] = connection
        if len(self.open) > self.parts.budget.connections:
            self._cut(select_for_sockets, 'sockets')

    def remove(self, connection: HeldConnection, held_bytes: int) -> None:
        """Forget a connection and what is counted for it."""
        if self.open.pop(id(connection), None) is not None:
            self.held_bytes -= held_bytes

    def change_held(self, change_bytes: int) -> None:
        """Add to what the connections hold; some may have to give way."""
        self.held_bytes += change_bytes
        if change_bytes > 0 and self.held_bytes > self.parts.budget.held_bytes:
            self._cut(select_for_memory, 'memory')

    def watch(self) -> None:
        """Check the time limits of requests until none is unfinished."""
        if self.sweep is None:
            loop = asyncio.get_running_loop()
            self.sweep = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def show_gauges(self) -> None:
        """Update the gauges of this listener."""
        name = self.parts.listener.value
        metrics = self.parts.metrics
        metrics.gauge('connections', len(self.open), listener=name)
        metrics.gauge('connections_held', self.held_bytes, listener=name)

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

    def _cut(self, select: Selection, cause: str) -> None:
        loads = self._loads()
        for key in select(loads, self.parts.budget, self.now_ms()):
            self.open[key].cut(cause)

    def _sweep(self) -> None:
        self.sweep = None
        limits = self.parts.find_limits()
        overdue = select_overdue(self._loads(), limits, self.now_ms())
        for load in tuple(overdue):
            self.open[load.key].end_overdue(load.stage)
        if any(connection.is_unfinished for connection in self.open.values()):
            self.watch()
