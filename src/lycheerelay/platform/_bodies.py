"""Read the body of a request within the limits of its listener."""

import enum
from typing import Final, final

from aiohttp import web
from result import Err, Ok, Result

from ._connections import PEER_ERRORS, GuardedConnection

BLOCK_BYTES: Final = 16_384


class BodyFault(enum.Enum):
    """Why a body was not read; the value is the status of the response."""

    MALFORMED = 400
    TOO_LARGE = 413


@final
class BodyBuffer:
    """Collect a body in blocks of one size.

    A growing array leaves gaps in the memory that no other array fits in.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.blocks: list[bytearray] = []
        self.size = 0

    def extend(self, piece: bytes) -> None:
        """Append received bytes."""
        self.size += len(piece)
        has_room = bool(self.blocks) and (
            len(self.blocks[-1]) + len(piece) <= BLOCK_BYTES
        )
        if has_room:
            self.blocks[-1].extend(piece)
        else:
            self.blocks.append(bytearray(piece))


async def read_body(
    request: web.BaseRequest, max_bytes: int
) -> Result[bytes, BodyFault]:
    """Return the decoded body of a request, or why it was not read."""
    if (request.content_length or 0) > max_bytes:
        return Err(BodyFault.TOO_LARGE)
    body = BodyBuffer()
    try:
        while piece := await request.content.readany():
            body.extend(piece)
            if body.size > max_bytes:
                return Err(BodyFault.TOO_LARGE)
            _report_size(request, body.size)
    except PEER_ERRORS:
        # The error refers to this frame, so that both stay until the next garbage
        # collection.
        body.blocks.clear()
        return Err(BodyFault.MALFORMED)
    return Ok(b''.join(body.blocks))


def _report_size(request: web.BaseRequest, size: int) -> None:
    if isinstance(request.protocol, GuardedConnection):
        request.protocol.hold_body(size)
