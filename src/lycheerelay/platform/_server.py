"""Serve HTTP on connections that stay within a budget."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import final

from aiohttp import web

from ._connection_table import ConnectionTable, ListenerParts
from ._connections import GuardedConnection

HttpHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@final
class GuardedServer(web.Server):
    """Server whose connections stay within a budget."""

    def __init__(self, handler: HttpHandler, parts: ListenerParts) -> None:
        """Serve requests with `handler`; needs a running event loop."""
        super().__init__(handler)
        self.table = ConnectionTable(parts)

    def __call__(self) -> GuardedConnection:
        """Create the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return GuardedConnection(self.table, manager=self, loop=loop)
