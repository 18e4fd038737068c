"""Send JSON requests over HTTP with limits on reply size and time."""

import json
import threading
from collections.abc import Mapping
from typing import Final, NamedTuple, final

import urllib3
from result import Err, Ok, Result

from ._clock import MS_PER_SECOND
from ._codec import Json, dumps
from ._traffic import TrafficCounters

MAX_REPLY_BYTES: Final = 8_388_608
MAX_POOLS: Final = 512
CONNECTIONS_PER_POOL: Final = 32
DEFAULT_PURPOSE: Final = 'other'
SCHEME: Final = 'http://'
REQUEST_HEADERS: Final = {
    'content-type': 'application/json',
    'user-agent': urllib3.util.SKIP_HEADER,
    'accept-encoding': urllib3.util.SKIP_HEADER,
}
HEADER_SEPARATOR_BYTES: Final = 4
CONTENT_TYPE_BYTES: Final = len('content-type: application/json\r\n')
CONTENT_LENGTH_BYTES: Final = len('Content-Length: 123\r\n')
REQUEST_LINE_BYTES: Final = len('  HTTP/1.1\r\nHost: \r\n\r\n') - len(SCHEME)
STATUS_LINE_BYTES: Final = len('HTTP/1.1 200 OK\r\n\r\n')


class Reply(NamedTuple):
    """Hold the status and decoded body of a reply."""

    status: int
    body: Json


class CallError(NamedTuple):
    """Describe a failed call; the request may have taken effect."""

    url: str
    reason: str


@final
class ConnectionPools:
    """Hold one connection pool per address, at most MAX_POOLS."""

    def __init__(self) -> None:
        """Initialize without pools."""
        self.pools: dict[str, urllib3.HTTPConnectionPool] = {}
        self.lock = threading.Lock()

    def get(self, address: str) -> urllib3.HTTPConnectionPool:
        """Return the pool of an address, evicting the oldest if necessary."""
        with self.lock:
            pool = self.pools.get(address)
            if pool is None:
                pool = _open_pool(address)
                self.pools[address] = pool
                if len(self.pools) > MAX_POOLS:
                    self.pools.pop(next(iter(self.pools))).close()
        return pool

    def close(self) -> None:
        """Close all connections that are not in use."""
        with self.lock:
            for pool in self.pools.values():
                pool.close()
            self.pools.clear()


def _open_pool(address: str) -> urllib3.HTTPConnectionPool:
    return urllib3.connection_from_url(
        f'{SCHEME}{address}',
        maxsize=CONNECTIONS_PER_POOL,
    )


@final
class HttpCaller:
    """Send JSON requests over reused connections, without retries."""

    def __init__(self, traffic: TrafficCounters | None = None) -> None:
        """Initialize a caller that records its traffic in the counters."""
        self.pools = ConnectionPools()
        self.traffic = traffic or TrafficCounters()
        self.purpose = DEFAULT_PURPOSE

    @property
    def sent_bytes(self) -> int:
        """Return the bytes sent for all purposes."""
        return sum(
            entry.sent_bytes for entry in self.traffic.snapshot().values()
        )

    @property
    def received_bytes(self) -> int:
        """Return the bytes received for all purposes."""
        totals = self.traffic.snapshot().values()
        return sum(entry.received_bytes for entry in totals)

    def with_purpose(self, purpose: str) -> 'HttpCaller':
        """Return a caller on the same connections that counts separately."""
        caller = HttpCaller(self.traffic)
        caller.pools = self.pools
        caller.purpose = purpose
        return caller

    def call(
        self,
        method: str,
        url: str,
        body: object = None,
        timeout_ms: int = 2000,
        headers: Mapping[str, str] | None = None,
    ) -> Result[Reply, CallError]:
        """Send one request; after an error its effect is unknown."""
        payload = b'' if body is None else dumps(body)
        added = headers or {}
        self.traffic.count_sent(
            self.purpose,
            _estimate_request_bytes(method, url, payload)
            + _estimate_lines_bytes(added),
        )
        address, _, path = url.removeprefix(SCHEME).partition('/')
        try:
            response = self.pools.get(address).urlopen(
                method,
                f'/{path}',
                body=payload or None,
                headers={**REQUEST_HEADERS, **added},
                retries=False,
                timeout=urllib3.Timeout(total=timeout_ms / MS_PER_SECOND),
                redirect=False,
                preload_content=False,
            )
            raw = _read_bounded(response)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Err(CallError(url, type(error).__name__))
        if raw is None:
            return Err(CallError(url, f'over {MAX_REPLY_BYTES} bytes'))
        received = _estimate_header_bytes(response.headers) + len(raw)
        self.traffic.count_received(self.purpose, received)
        return _decode(url, response.status, raw)

    def close(self) -> None:
        """Close all pooled connections."""
        self.pools.close()


def _read_bounded(response: urllib3.BaseHTTPResponse) -> bytes | None:
    raw = response.read(MAX_REPLY_BYTES + 1)
    if len(raw) > MAX_REPLY_BYTES:
        response.close()
        return None
    response.release_conn()
    return raw


def _estimate_request_bytes(method: str, url: str, payload: bytes) -> int:
    # The URL without its scheme is split between request line and Host header.
    line = len(method) + len(url) + REQUEST_LINE_BYTES
    length_header = CONTENT_LENGTH_BYTES if payload else 0
    return line + CONTENT_TYPE_BYTES + length_header + len(payload)


def _estimate_header_bytes(headers: Mapping[str, str]) -> int:
    return STATUS_LINE_BYTES + _estimate_lines_bytes(headers)


def _estimate_lines_bytes(headers: Mapping[str, str]) -> int:
    return sum(
        len(name) + len(text) + HEADER_SEPARATOR_BYTES
        for name, text in headers.items()
    )


def _decode(
    url: str,
    status: int,
    raw: bytes,
) -> Result[Reply, CallError]:
    if not raw:
        return Ok(Reply(status, None))
    try:
        return Ok(Reply(status, json.loads(raw)))
    except ValueError:
        return Err(CallError(url, 'the reply is not JSON'))
