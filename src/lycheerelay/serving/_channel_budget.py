"""Leave channels of the workers to the owners that follow.

Load: owners that lose power one after the other. None of them closes its channels,
and a worker that has no channel left resets each new one.
"""

import asyncio
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import Final, final

from .._clock import MS_PER_SECOND
from ._http_calls import NO_CHANNEL, Caller, Reply

# Channels that a worker accepts, and owners whose channels have to fit.
CHANNELS_PER_WORKER: Final = 64
OWNERS_PER_WORKER: Final = 16
MAX_CHANNELS: Final = CHANNELS_PER_WORKER // OWNERS_PER_WORKER


class _Turns:
    """Calls to one worker that use or wait for a channel."""

    def __init__(self) -> None:
        self.channels = asyncio.Semaphore(MAX_CHANNELS)
        self.calls = 0


@final
class ChannelBudget:
    """Call workers with few calls to each of them at the same time.

    The connections that it uses reuse idle channels, so they open no more.
    """

    def __init__(self, http: Caller) -> None:
        """Make the calls with `http`."""
        self.http = http
        self.turns: dict[str, _Turns] = {}

    async def call(
        self,
        method: str,
        url: str,
        timeout_ms: int,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        longest_ms: int = 0,
    ) -> Reply:
        """Make one call without retrying; it waits `timeout_ms` for a channel."""
        with self._turns_of(url.split('/', 3)[2]) as turns:
            if not await _take_channel(turns, timeout_ms):
                return Reply(NO_CHANNEL)
            try:
                return await self.http.call(
                    method, url, timeout_ms, body, headers, longest_ms
                )
            finally:
                turns.channels.release()

    async def close(self) -> None:
        """Close every connection."""
        await self.http.close()

    @contextmanager
    def _turns_of(self, host: str) -> Iterator[_Turns]:
        turns = self.turns.setdefault(host, _Turns())
        turns.calls += 1
        try:
            yield turns
        finally:
            turns.calls -= 1
            if not turns.calls:
                self.turns.pop(host)


async def _take_channel(turns: _Turns, timeout_ms: int) -> bool:
    try:
        async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
            return await turns.channels.acquire()
    except TimeoutError:
        return False
