"""Serve HTTP on connections that stay within a budget."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import final

from aiohttp import web

from ._connection_table import ConnectionTable, ListenerParts
from ._connections import HEAD_TOO_LARGE, GuardedConnection
from ._read_turns import PacedConnection, ReadTurns

HttpHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@final
class GuardedServer(web.Server):
    """Server whose connections stay within a budget."""

    def __init__(self, handler: HttpHandler, parts: ListenerParts) -> None:
        """Serve requests with `handler`; needs a running event loop."""
        super().__init__(self.handle)
        self.serve_request = handler
        self.table = ConnectionTable(parts)
        self.turns = ReadTurns()

    def __call__(self) -> PacedConnection:
        """Create the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return PacedConnection(self.turns, self.table, manager=self, loop=loop)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request, or refuse it if its head is over the limit."""
        connection = request.protocol
        if isinstance(connection, GuardedConnection):
            limit = self.table.parts.find_limits().header_bytes
            if connection.has_long_head and _head_bytes(request) > limit:
                return connection.refuse_request(HEAD_TOO_LARGE, 'head_size')
        return await self.serve_request(request)


def _head_bytes(request: web.BaseRequest) -> int:
    line_bytes = len(request.method) + len(request.raw_path)
    # Each field has a colon, a space and the end of the line.
    return line_bytes + sum(
        len(name) + len(value) + 4 for name, value in request.raw_headers
    )
