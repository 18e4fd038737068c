"""Parse what connections receive over several turns of the event loop.

Guards against a process that is held up while many connections send at the same time,
and against ordinary requests that wait behind what others send.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any, cast

from lycheerelay.platform._read_turns import TURN_BYTES, ReadTurns

PIECE_BYTES = 16_384


@dataclass
class FakeAccount:
    """Bytes of the newest request of a connection."""

    received_bytes: int = 0


@dataclass(eq=False)
class FakeConnection:
    """Connection that takes a turn for each piece, and notes when it had it."""

    turns: ReadTurns
    name: str
    order: list[str]
    pieces: int = 1
    account: FakeAccount = field(default_factory=FakeAccount)

    def receive(self) -> None:
        """Parse a piece, or wait for a turn."""
        if self.pieces and not self.turns.take(PIECE_BYTES):
            self.turns.defer(cast(Any, self))
        elif self.pieces:
            self.pieces -= 1
            self.account.received_bytes += PIECE_BYTES
            self.order.append(self.name)

    def parse_backlog(self) -> None:
        """Parse the piece that has waited."""
        self.receive()


def test_all_connections_are_parsed_in_one_turn() -> None:
    """A hundred pieces that arrive together take many turns."""

    async def scenario() -> None:
        turns = ReadTurns()
        order: list[str] = []
        connections = [
            FakeConnection(turns, str(number), order) for number in range(100)
        ]
        for connection in connections:
            connection.receive()
        sizes = [len(order)]
        while len(order) < len(connections):
            await asyncio.sleep(0)
            sizes.append(len(order) - sum(sizes))
        assert max(sizes) <= TURN_BYTES // PIECE_BYTES
        assert sorted(order) == sorted(one.name for one in connections)

    asyncio.run(scenario())


def test_an_ordinary_request_waits_behind_large_bodies() -> None:
    """The request that has sent least goes first."""

    async def scenario() -> None:
        turns = ReadTurns()
        order: list[str] = []
        for number in range(50):
            large = FakeConnection(turns, f'large-{number}', order)
            large.account.received_bytes = 100_000
            large.receive()
        ordinary = FakeConnection(turns, 'ordinary', order)
        ordinary.receive()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert order.index('ordinary') == TURN_BYTES // PIECE_BYTES

    asyncio.run(scenario())
