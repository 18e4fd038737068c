"""Serve stand-ins over sockets, and proxies that inject faults."""

import asyncio
from dataclasses import dataclass, field
from typing import Final, final

from aiohttp import web

from lycheerelay.serving import NO_ANSWER

from ._network import Handler, Request

READ_CHUNK_BYTES: Final = 65536
SHUTDOWN_TIMEOUT_S: Final = 0.1


async def serve(handler: Handler, address: str) -> web.ServerRunner:
    """Serve HTTP at an address with a handler."""

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        received = Request(
            request.method,
            request.path,
            dict(request.query),
            request.headers,
            await request.read(),
        )
        reply = await handler(received)
        if reply.status == NO_ANSWER and request.transport is not None:
            request.transport.abort()
        return web.Response(status=reply.status, body=reply.raw)

    runner = web.ServerRunner(
        web.Server(answer, access_log=None),
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    host, port = address.rsplit(':', 1)
    await web.TCPSite(runner, host, int(port)).start()
    return runner


@dataclass(eq=False)
class ProxiedConnection:
    """Both ends of one proxied connection."""

    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    def abort(self) -> None:
        """Abort both ends at once; unsent bytes are lost."""
        for writer in self.writers:
            writer.transport.abort()


@final
class Proxy:
    """Forward bytes between an address and a target, with faults.

    `delay_s` delays each chunk, `drops_all` discards all bytes,
    `drops_requests` only those to the target, and `refusing` aborts new
    connections.
    """

    def __init__(self, address: str, target: str) -> None:
        """Create a proxy without faults."""
        self.address = address
        self.target = target
        self.delay_s = float(0)
        self.drops_all = False
        self.drops_requests = False
        self.refusing = False
        self.connections: set[ProxiedConnection] = set()
        self.server: asyncio.Server | None = None

    @property
    def has_faults(self) -> bool:
        """Return whether a fault is active."""
        is_dropping = self.drops_all or self.drops_requests
        return self.refusing or is_dropping or self.delay_s > 0

    async def start(self) -> None:
        """Start to accept connections."""
        host, port = self.address.rsplit(':', 1)
        self.server = await asyncio.start_server(self._accept, host, int(port))

    def reset(self) -> None:
        """Abort every open connection."""
        for connection in list(self.connections):
            connection.abort()

    def clear_faults(self) -> None:
        """Remove all faults.

        Connections that lost bytes are aborted, since they stay unusable.
        """
        if self.drops_all or self.drops_requests:
            self.reset()
        self.delay_s = float(0)
        self.drops_all = False
        self.drops_requests = False
        self.refusing = False

    def stop(self) -> None:
        """Abort every connection and stop listening."""
        self.reset()
        if self.server is not None:
            self.server.close()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        connection = ProxiedConnection([writer])
        if self.refusing:
            connection.abort()
            return
        self.connections.add(connection)
        host, port = self.target.rsplit(':', 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            # The target does not listen: the caller sees an aborted connection.
            connection.abort()
            self.connections.discard(connection)
            return
        connection.writers.append(target_writer)
        await asyncio.gather(
            self._forward(reader, target_writer, is_request=True),
            self._forward(target_reader, writer, is_request=False),
        )
        connection.abort()
        self.connections.discard(connection)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        try:
            while chunk := await reader.read(READ_CHUNK_BYTES):
                await asyncio.sleep(self.delay_s)
                if not (self.drops_all or self.drops_requests and is_request):
                    writer.write(chunk)
                    await writer.drain()
            writer.write_eof()
        except OSError:
            # One end aborted the connection: abort the other one, too.
            writer.transport.abort()
