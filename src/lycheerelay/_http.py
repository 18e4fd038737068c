"""Call other processes over HTTP with JSON, bounded in size and time."""

import json
from typing import Final, NamedTuple, final

import urllib3
from result import Err, Ok, Result

from ._codec import Json, dumps

MAX_REPLY_BYTES: Final = 8_388_608
POOLS: Final = 512
CONNECTIONS_PER_POOL: Final = 32
MS_PER_SECOND: Final = 1000


class Reply(NamedTuple):
    """Hold the status and the decoded body of a reply."""

    status: int
    body: Json


class CallError(NamedTuple):
    """Say why no reply came; the request may have taken effect."""

    url: str
    reason: str


@final
class HttpCaller:
    """Send JSON requests over reused connections, without retries."""

    def __init__(self) -> None:
        """Open an empty connection pool."""
        self.pool = urllib3.PoolManager(
            num_pools=POOLS,
            maxsize=CONNECTIONS_PER_POOL,
            retries=False,
            headers={'content-type': 'application/json'},
        )
        self.sent_bytes = 0
        self.received_bytes = 0

    def call(
        self,
        method: str,
        url: str,
        body: object = None,
        timeout_ms: int = 2000,
    ) -> Result[Reply, CallError]:
        """Send one request; an error leaves its effect unknown."""
        payload = b'' if body is None else dumps(body)
        self.sent_bytes += len(payload)
        try:
            response = self.pool.request(
                method,
                url,
                body=payload or None,
                timeout=urllib3.Timeout(total=timeout_ms / MS_PER_SECOND),
                redirect=False,
                preload_content=False,
            )
            raw = response.read(MAX_REPLY_BYTES)
            response.release_conn()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Err(CallError(url, type(error).__name__))
        self.received_bytes += len(raw)
        return _decode(url, response.status, raw)

    def close(self) -> None:
        """Close every pooled connection."""
        self.pool.clear()


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
