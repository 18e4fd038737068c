"""Call over HTTP: the one client for the platform and for peers."""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple, Protocol, final

import aiohttp
import orjson

from .._clock import MS_PER_SECOND

# Connecting takes two ways; longer, in s, and nobody listens there.
CONNECT_TIMEOUT_S: Final = 0.4
# Idle channels are kept for so long, in s, as new ones to workers cost.
KEEP_S: Final = 60
# Channels to one address at most: a look, and the orders of a burst.
CHANNELS_EACH: Final = 12

# Stands for calls without an answer; HTTP statuses are higher.
NO_ANSWER: Final = 0
# Stands for calls that never left.
NOT_SENT: Final = 1


class Reply(NamedTuple):
    """Hold a status, or why there is none, and the body."""

    status: int
    raw: bytes = b''

    def fields(self) -> dict[str, Any]:
        """Return the body's JSON object; empty if it is none."""
        try:
            decoded = orjson.loads(self.raw)
        except ValueError:
            return {}
        return decoded if isinstance(decoded, dict) else {}


class Caller(Protocol):
    """Make calls; `HttpCalls` does so over the network."""

    async def call(
        self,
        method: str,
        url: str,
        timeout_ms: int,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        longest_ms: int = 0,
    ) -> Reply:
        """Make one call, once.

        With `longest_ms` a long answer may take that long, as long as some of
        it arrives within each `timeout_ms`.
        """

    async def close(self) -> None:
        """Close every channel."""


async def post_json(
    caller: Caller,
    url: str,
    timeout_ms: int,
    body: Mapping[str, object],
    headers: Mapping[str, str] | None = None,
) -> Reply:
    """Post one JSON object."""
    named = {'Content-Type': 'application/json', **(headers or {})}
    return await caller.call('POST', url, timeout_ms, orjson.dumps(body), named)


@final
class HttpCalls:
    """Keep channels to the store, the workers and the peers."""

    def __init__(self) -> None:
        """Open no channel yet; needs a running event loop."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                limit_per_host=CHANNELS_EACH,
                keepalive_timeout=KEEP_S,
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
        """Make one call, once."""
        timeout = aiohttp.ClientTimeout(
            total=max(timeout_ms, longest_ms) / MS_PER_SECOND,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=timeout_ms / MS_PER_SECOND,
        )
        try:
            async with self.session.request(
                method,
                url,
                data=body,
                headers=headers,
                timeout=timeout,
            ) as reply:
                return Reply(reply.status, await reply.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Reply(NOT_SENT)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Reply(NO_ANSWER)

    async def close(self) -> None:
        """Close every channel."""
        await self.session.close()
