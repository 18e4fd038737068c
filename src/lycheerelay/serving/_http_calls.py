"""HTTP client for calls to the platform, the workers and peers."""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple, Protocol, final

import aiohttp
import orjson

from .._clock import MS_PER_SECOND
from ._request_body import RequestBody

# Connecting takes one round trip; after this time the host counts as down.
CONNECT_TIMEOUT_S: Final = 0.4
# Idle connections are kept open, since connecting to workers is costly.
KEEP_ALIVE_S: Final = 60
# Enough for one poll and a burst of orders.
MAX_CONNECTIONS_PER_HOST: Final = 12

# Status of a call without an answer; HTTP statuses are higher.
NO_ANSWER: Final = 0
# Status of a call that was not sent.
NOT_SENT: Final = 1
# The same, as every channel to the host was in use.
NO_CHANNEL: Final = 2

# Errors after which the call may have been executed. ValueError stands for a
# malformed answer or address.
ANSWER_ERRORS: Final = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    ValueError,
)


class Reply(NamedTuple):
    """HTTP status, NO_ANSWER, NOT_SENT or NO_CHANNEL, and the body."""

    status: int
    raw: bytes = b''

    def fields(self) -> dict[str, Any]:
        """Return the JSON object in the body, or {} if there is none."""
        try:
            decoded = orjson.loads(self.raw)
        except ValueError:
            return {}
        return decoded if isinstance(decoded, dict) else {}


class Caller(Protocol):
    """Interface for HTTP calls; `HttpCalls` implements it over the network."""

    async def call(
        self,
        method: str,
        url: str,
        timeout_ms: int,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        longest_ms: int = 0,
    ) -> Reply:
        """Make one call without retrying.

        With `longest_ms`, a reply may take up to that long in total as long as
        data arrives within each `timeout_ms`.
        """

    async def close(self) -> None:
        """Close every connection."""


async def post_json(
    caller: Caller,
    url: str,
    timeout_ms: int,
    body: Mapping[str, object],
    headers: Mapping[str, str] | None = None,
) -> Reply:
    """Post a JSON object."""
    all_headers = {'Content-Type': 'application/json', **(headers or {})}
    return await caller.call(
        'POST', url, timeout_ms, orjson.dumps(body), all_headers
    )


@final
class HttpCalls:
    """Keep connections to the store, the workers and the peers."""

    def __init__(self) -> None:
        """Create the session; needs a running event loop."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                limit_per_host=MAX_CONNECTIONS_PER_HOST,
                keepalive_timeout=KEEP_ALIVE_S,
            ),
            auto_decompress=False,
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
        )

    async def call(
        self,
        method: str,
        url: str,
        timeout_ms: int,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        longest_ms: int = 0,
    ) -> Reply:
        """Make one call without retrying."""
        timeout = aiohttp.ClientTimeout(
            total=max(timeout_ms, longest_ms) / MS_PER_SECOND,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=timeout_ms / MS_PER_SECOND,
        )
        request_body = None if body is None else RequestBody(body)
        try:
            async with self.session.request(
                method,
                url,
                data=request_body,
                headers=headers,
                timeout=timeout,
            ) as reply:
                return Reply(reply.status, await reply.read())
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ):
            return Reply(NOT_SENT)
        except ANSWER_ERRORS:
            is_unsent = request_body is not None and not request_body.is_begun
            return Reply(NOT_SENT if is_unsent else NO_ANSWER)

    async def close(self) -> None:
        """Close every connection."""
        await self.session.close()
