"""Serve stand-ins over real sockets, behind proxies that do harm."""

import asyncio
from dataclasses import dataclass, field
from typing import Final, final

from aiohttp import web

from ._net import Handler, Request

CHUNK_BYTES: Final = 65536
CLOSE_S: Final = 0.1


async def serve(handler: Handler, address: str) -> web.ServerRunner:
    """Answer HTTP at an address through a handler; no answer closes."""

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        asked = Request(
            request.method,
            request.path,
            dict(request.query),
            request.headers,
            await request.read(),
        )
        reply = await handler(asked)
        return web.Response(status=reply.status, body=reply.raw)

    runner = web.ServerRunner(
        web.Server(answer, access_log=None),
        shutdown_timeout=CLOSE_S,
    )
    await runner.setup()
    host, port = address.rsplit(':', 1)
    await web.TCPSite(runner, host, int(port)).start()
    return runner


@dataclass(eq=False)
class Channel:
    """Hold the two ends of one proxied channel."""

    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    def break_off(self) -> None:
        """Close both ends at once, unsent bytes lost."""
        for writer in self.writers:
            writer.transport.abort()


@final
class Proxy:
    """Pass bytes on between an address and a target, or harm them.

    `delay_s` holds each piece back; `silent` swallows what passes, `deaf`
    only what goes to the target; `refusing` breaks new channels off.
    """

    def __init__(self, address: str, target: str) -> None:
        """Harm nothing."""
        self.address = address
        self.target = target
        self.delay_s = float(0)
        self.silent = False
        self.deaf = False
        self.refusing = False
        self.channels: set[Channel] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, port = self.address.rsplit(':', 1)
        self.server = await asyncio.start_server(self._accept, host, int(port))

    def reset(self) -> None:
        """Break every open channel off."""
        for channel in list(self.channels):
            channel.break_off()

    def heal(self) -> None:
        """Harm nothing from now on; swallowed bytes stay lost."""
        if self.silent or self.deaf:
            self.reset()
        self.delay_s = float(0)
        self.silent = False
        self.deaf = False
        self.refusing = False

    def stop(self) -> None:
        """Close everything."""
        self.reset()
        if self.server is not None:
            self.server.close()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        channel = Channel([writer])
        if self.refusing:
            channel.break_off()
            return
        self.channels.add(channel)
        host, port = self.target.rsplit(':', 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            # Nobody listens at the target, which the caller is to see.
            channel.break_off()
            self.channels.discard(channel)
            return
        channel.writers.append(far_writer)
        await asyncio.gather(
            self._pass_on(reader, far_writer, is_outward=True),
            self._pass_on(far_reader, writer, is_outward=False),
        )
        channel.break_off()
        self.channels.discard(channel)

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_outward: bool,
    ) -> None:
        try:
            while piece := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.delay_s)
                if not (self.silent or self.deaf and is_outward):
                    writer.write(piece)
                    await writer.drain()
            writer.write_eof()
        except OSError:
            # One end broke the channel off; the other one is closed next.
            writer.transport.abort()
