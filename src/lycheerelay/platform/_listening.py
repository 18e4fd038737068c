"""Listen for connections with bounded buffers."""

import socket
from typing import Final

from aiohttp import web

# Sizes of the kernel's buffers for each connection, which it doubles for its own
# overhead.
RECEIVE_BUFFER_BYTES: Final = 32_768
SEND_BUFFER_BYTES: Final = 65_536
# Connections that wait to be accepted, and that are accepted in one turn of the
# event loop, before the process can count them.
WAITING_CONNECTIONS: Final = 512
ACCEPTED_AT_ONCE: Final = 16


def bind_socket(address: str) -> socket.socket:
    """Bind a socket to an address `host:port`; raise OSError if it is in use."""
    host, port = address.rsplit(':', 1)
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit the sizes.
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    listener.bind((host, int(port)))
    return listener


async def accept_connections(
    runner: web.ServerRunner, listener: socket.socket
) -> web.SockSite:
    """Serve the connections of a bound socket."""
    site = web.SockSite(runner, listener, backlog=ACCEPTED_AT_ONCE)
    await site.start()
    # asyncio takes one number for both; a second call sets the kernel's queue.
    listener.listen(WAITING_CONNECTIONS)
    return site
