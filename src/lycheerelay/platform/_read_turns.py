"""Spread the parsing of received bytes over turns of the event loop.

Load: many connections send chunks of one byte at the same time. Parsing all of them in
one turn takes seconds of the processor, and about a hundred bytes for each byte.
"""

import asyncio
from typing import Any, Final, final

from ._connection_table import ConnectionTable
from ._connections import GuardedConnection

# Bytes that are parsed in one turn.
TURN_BYTES: Final = 65_536


@final
class ReadTurns:
    """Let connections parse a number of bytes in each turn of the event loop.

    Of those that wait, the requests that have sent least go first, which are those
    of ordinary callers.
    """

    def __init__(self) -> None:
        """Start with a turn of which nothing is used."""
        self.used_bytes = 0
        self.is_turn_open = False
        # Whether connections that have waited are parsing now.
        self.is_resuming = False
        self.waiting: dict[int, PacedConnection] = {}

    def take(self, size: int) -> bool:
        """Return whether so many bytes may be parsed in this turn."""
        has_others = bool(self.waiting) and not self.is_resuming
        if has_others or self.used_bytes >= TURN_BYTES:
            return False
        self.used_bytes += size
        self._open_turn()
        return True

    def defer(self, connection: 'PacedConnection') -> None:
        """Let a connection parse its bytes in a later turn."""
        self.waiting[id(connection)] = connection
        self._open_turn()

    def _open_turn(self) -> None:
        if not self.is_turn_open:
            self.is_turn_open = True
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self.is_turn_open = False
        self.used_bytes = 0
        self.is_resuming = True
        ordered = sorted(
            self.waiting.items(),
            key=lambda pair: pair[1].account.received_bytes,
        )
        for key, connection in ordered:
            if self.used_bytes >= TURN_BYTES:
                break
            self.waiting.pop(key)
            connection.parse_backlog()
        self.is_resuming = False
        if self.waiting:
            self._open_turn()


@final
class PacedConnection(GuardedConnection):
    """One connection, which parses what it receives in turns."""

    def __init__(
        self, turns: ReadTurns, table: ConnectionTable, **options: Any
    ) -> None:
        """Share the turns with the other connections of the listener."""
        super().__init__(table, **options)
        self.turns = turns
        # Bytes that wait for a turn to be parsed.
        self.backlog = b''

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self.backlog = b''
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or keep them for a later turn."""
        # Without bytes, the parser goes on with what it kept during a pause.
        is_waiting = bool(self.backlog) or not self.turns.take(len(data))
        if data and is_waiting:
            self.backlog += data
            self.account.waiting_bytes = len(self.backlog)
            self.count()
            self._pause_transport_reading()
            self.turns.defer(self)
        else:
            super().data_received(data)

    def parse_backlog(self) -> None:
        """Parse the bytes that have waited for a turn."""
        if self._reading_paused or self._buffer_paused:
            return
        piece = self.backlog
        self.backlog = b''
        self.account.waiting_bytes = 0
        if piece:
            self.data_received(piece)
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if self.backlog:
            self.turns.defer(self)
        else:
            super()._resume_transport_reading()
