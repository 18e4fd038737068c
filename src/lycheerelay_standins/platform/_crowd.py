"""Crowds of callers that send requests no ordinary caller sends.

Each kind of client yields the pieces that it sends. It then keeps its connection
open, so that what the process holds for it can be measured.
"""

import asyncio
import contextlib
import functools
import itertools
import socket
import zlib
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Final, final

from lycheerelay._registry import Registry

from ._environment import ROUTE_HOST

MAX_BODY_BYTES: Final = 262144
MAX_HEADER_BYTES: Final = 16384
COMPRESSED_BODY_BYTES: Final = 1024 * 1024 - 1
PIECE_BYTES: Final = 4096
LARGE_CHUNK_BYTES: Final = 65536
SMALL_CHUNKS: Final = 20_000
# Answers of a client that does not read them wait in the process.
UNREAD_BUFFER_BYTES: Final = 4096
UNREAD_REQUESTS: Final = 4000
STATUS_BYTES: Final = 64
SEND_TIMEOUT_S: Final = 60

ClientPieces = Callable[[int], Iterator[bytes]]
CROWDS: Final[Registry[str, ClientPieces]] = Registry('crowd')


def request_head(method: str, number: int, fields: str = '') -> bytes:
    """Return the head of a request about the job of a client."""
    target = f'{method} /batch/{number:016x} HTTP/1.1\r\n'
    return f'{target}Host: {ROUTE_HOST}\r\n{fields}\r\n'.encode()


def job_of_size(size: int) -> bytes:
    """Return the body of a small job, padded with spaces."""
    body = b'{"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":10}]}'
    return body.ljust(size)


@functools.lru_cache
def job_of_many_steps(size: int) -> bytes:
    """Return the body of a job with as many steps as its size allows."""
    step = b'{"count":1,"cpu":9}'
    count = size // (len(step) + 1) - 2
    steps = b','.join(itertools.repeat(step, count))
    return b'{"spec":"x","steps":[%b]}' % steps


@functools.lru_cache
def chunked(body: bytes, size: int) -> bytes:
    """Return a body in chunks, without the last one that is empty."""
    begins = range(0, len(body), size)
    chunks = [body[begin : begin + size] for begin in begins]
    return b''.join(b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks)


@CROWDS.register('long_heads')
def long_heads(number: int) -> Iterator[bytes]:
    """Send heads over the limit that lack their end."""
    yield request_head('GET', number)[:-2]
    for field in range(120):
        yield b'x-%d: %b\r\n' % (field, b'a' * 8000)


@CROWDS.register('heads_of_many_fields')
def heads_of_many_fields(number: int) -> Iterator[bytes]:
    """Send heads within the limit, of many short fields, that lack their end."""
    yield request_head('GET', number)[:-2]
    yield b'a:b\r\n' * 3000


@CROWDS.register('endless_heads')
def endless_heads(number: int) -> Iterator[bytes]:
    """Send one field of a head without end."""
    yield request_head('GET', number)[:-2]
    yield b'x: '
    for _ in range(64):
        yield b'a' * LARGE_CHUNK_BYTES


@CROWDS.register('empty_lines')
def empty_lines(_number: int) -> Iterator[bytes]:
    """Send empty lines without end before a request."""
    for _ in range(64):
        yield b'\r\n' * (LARGE_CHUNK_BYTES // 2)


@CROWDS.register('whole_bodies')
def whole_bodies(number: int) -> Iterator[bytes]:
    """Send bodies of the largest legal size at once, but for the last byte."""
    length = f'Content-Length: {MAX_BODY_BYTES}\r\n'
    body = job_of_size(MAX_BODY_BYTES)[:-1]
    yield request_head('POST', number, length) + body


@CROWDS.register('bodies_in_pieces')
def bodies_in_pieces(number: int) -> Iterator[bytes]:
    """Send the same piece by piece."""
    yield request_head('POST', number, f'Content-Length: {MAX_BODY_BYTES}\r\n')
    body = job_of_size(MAX_BODY_BYTES)[:-1]
    for begin in range(0, len(body), PIECE_BYTES):
        yield body[begin : begin + PIECE_BYTES]


@CROWDS.register('finished_bodies')
def finished_bodies(number: int) -> Iterator[bytes]:
    """Send whole jobs with as many steps as a legal body can hold."""
    body = job_of_many_steps(MAX_BODY_BYTES)
    length = f'Content-Length: {len(body)}\r\n'
    yield request_head('POST', number, length) + body


@CROWDS.register('large_jobs')
def large_jobs(number: int) -> Iterator[bytes]:
    """Send whole jobs of as many steps as one record of the store can hold."""
    body = job_of_many_steps(MAX_BODY_BYTES // 2 - PIECE_BYTES)
    length = f'Content-Length: {len(body)}\r\n'
    yield request_head('POST', number, length) + body


@CROWDS.register('large_chunks')
def large_chunks(number: int) -> Iterator[bytes]:
    """Send large chunks without the last one."""
    yield request_head('POST', number, 'Transfer-Encoding: chunked\r\n')
    yield chunked(job_of_size(MAX_BODY_BYTES), LARGE_CHUNK_BYTES)


@CROWDS.register('small_chunks')
def small_chunks(number: int) -> Iterator[bytes]:
    """Send chunks of one byte without the last one."""
    yield request_head('POST', number, 'Transfer-Encoding: chunked\r\n')
    yield chunked(job_of_size(SMALL_CHUNKS), 1)


@CROWDS.register('compressed_bodies')
def compressed_bodies(number: int) -> Iterator[bytes]:
    """Send compressed bodies without their end."""
    encoder = zlib.compressobj(wbits=31)
    body = encoder.compress(job_of_size(COMPRESSED_BODY_BYTES))
    body += encoder.flush(zlib.Z_SYNC_FLUSH)
    fields = 'Content-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n'
    yield request_head('POST', number, fields) + chunked(body, len(body))


@CROWDS.register('bodies_of_queries')
def bodies_of_queries(number: int) -> Iterator[bytes]:
    """Send bodies with requests that need none."""
    length = f'Content-Length: {MAX_BODY_BYTES}\r\n'
    yield request_head('GET', number, length) + b' ' * (MAX_BODY_BYTES - 1)


@CROWDS.register('endless_bodies_of_queries')
def endless_bodies_of_queries(number: int) -> Iterator[bytes]:
    """Send chunks without end with requests that need no body."""
    yield request_head('GET', number, 'Transfer-Encoding: chunked\r\n')
    for _ in range(64):
        yield chunked(job_of_size(LARGE_CHUNK_BYTES), LARGE_CHUNK_BYTES)


@CROWDS.register('unread_answers')
def unread_answers(number: int) -> Iterator[bytes]:
    """Send many requests on one connection without reading the answers."""
    yield request_head('GET', number) * UNREAD_REQUESTS


@CROWDS.register('malformed')
def malformed(number: int) -> Iterator[bytes]:
    """Send something else than HTTP, or a body in chunks of no size."""
    if number % 2:
        yield b'no request at all\r\n\r\n'
    else:
        yield request_head('POST', number, 'Transfer-Encoding: chunked\r\n')
        yield b'not a size\r\n'


@CROWDS.register('silent')
def silent(_number: int) -> Iterator[bytes]:
    """Send nothing."""
    yield from ()


@final
class Crowd:
    """Clients of one kind with a connection each to one address."""

    def __init__(
        self, kind: str, address: str, size: int, first_number: int = 0
    ) -> None:
        """Connect nothing yet; client numbers begin at `first_number`."""
        self.kind = kind
        host, port = address.rsplit(':', 1)
        self.address = (host, int(port))
        self.numbers = range(first_number, first_number + size)
        self.sockets: list[socket.socket] = []
        self.readers: list[asyncio.Task[None]] = []
        self.statuses: Counter[int] = Counter()
        # Clients whose connection was closed or reset by the process.
        self.closed = 0

    async def send(self) -> None:
        """Send everything that the process accepts within a time."""
        senders = [
            asyncio.create_task(self._send(number)) for number in self.numbers
        ]
        await asyncio.wait(senders, timeout=SEND_TIMEOUT_S)
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)

    async def close(self) -> None:
        """Close every connection."""
        for reader in self.readers:
            reader.cancel()
        await asyncio.gather(*self.readers, return_exceptions=True)
        for connection in self.sockets:
            connection.close()

    async def _send(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        connection = socket.socket()
        connection.setblocking(False)
        if self.kind == 'unread_answers':
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES
            )
        self.sockets.append(connection)
        with contextlib.suppress(OSError):
            await loop.sock_connect(connection, self.address)
            if self.kind != 'unread_answers':
                self.readers.append(loop.create_task(self._read(connection)))
            for piece in CROWDS.entries[self.kind](number):
                await loop.sock_sendall(connection, piece)

    async def _read(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            status_line = await loop.sock_recv(connection, STATUS_BYTES)
            parts = status_line.split(b' ', 2)
            if len(parts) > 1 and parts[1].isdigit():
                self.statuses[int(parts[1])] += 1
            while status_line:
                status_line = await loop.sock_recv(connection, PIECE_BYTES)
        self.closed += 1
