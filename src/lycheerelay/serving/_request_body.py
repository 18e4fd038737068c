"""Request body that tells whether any of it may have been sent."""

from typing import final

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import StreamWriter


@final
class RequestBody(aiohttp.BytesPayload):
    """Body of a call; headers are of no use to the host without it."""

    is_begun = False

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body unless the host has closed the connection."""
        if isinstance(writer, StreamWriter) and _is_closed(writer):
            raise aiohttp.ClientConnectionResetError('closed before the call')
        self.is_begun = True
        await super().write_with_length(writer, content_length)


def _is_closed(writer: StreamWriter) -> bool:
    return writer.transport is None or writer.transport.is_closing()
