"""Bound the memory and the processor time of bodies that are handled together.

Load: many large jobs arrive whole at the same time. A decoded job takes many times the
memory of its body until the store has answered, and decoding one holds up the event
loop, so that ordinary callers wait behind all of them.
"""

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final, NamedTuple, final

from .._clock import MS_PER_SECOND, Clock
from ._connection_limits import BYTES_PER_MB, DEFAULT_MEMORY_MB

# Memory of a decoded job for each byte of its body, if it has many short steps.
DECODED_BYTES: Final = 32
# Part of the memory of a process that decoded jobs may take.
MEMORY_PARTS: Final = 8
# Bodies above this size are decoded one at a time, with pauses.
LARGE_BYTES: Final = 32_768
# Time to decode a byte, before any body was.
FIRST_MS_PER_BYTE: Final = 0.0005
# Weight of the newest body in the average time for each byte.
NEWEST_WEIGHT: Final = 0.2


class _Waiting(NamedTuple):
    """Body that waits for its turn, the smallest and oldest first."""

    size: int
    number: int
    entry: 'asyncio.Future[None]'


@final
class BodyTurns:
    """Let bodies be handled as far as the memory and the processor go.

    Of those that wait, the smallest goes first, so that ordinary callers do not
    wait for large jobs. A body that is too large for the memory goes alone.
    """

    def __init__(self, memory_mb: int, clock: Clock) -> None:
        """Take the memory of the process; 0 stands for the default."""
        memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
        self.clock = clock
        self.free_bytes = memory_bytes // MEMORY_PARTS // DECODED_BYTES
        self.in_use = 0
        self.numbers = itertools.count()
        self.waiting: list[_Waiting] = []
        self.ms_per_byte = FIRST_MS_PER_BYTE
        # Large bodies wait until then.
        self.paused_until_ms = 0
        self.timer: asyncio.TimerHandle | None = None

    @asynccontextmanager
    async def turn(self, size: int, timeout_ms: int) -> AsyncIterator[None]:
        """Wait until a body of a size may be handled; it ends with the block.

        Raise TimeoutError after a time.
        """
        await self._enter(size, timeout_ms)
        try:
            yield
        finally:
            self._leave(size)

    def expect_wait_ms(self, size: int) -> float:
        """Return how long a body of a size would wait for those before it."""
        if size <= LARGE_BYTES:
            return 0
        # Each is followed by a pause of the same length.
        before = [body.size for body in self.waiting if body.size <= size]
        return sum(before) * self.ms_per_byte * 2

    def report_work(self, size: int, begun_ms: int) -> None:
        """Notice that a body was decoded; others pause for as long as it took."""
        if size <= LARGE_BYTES:
            return
        now_ms = self.clock.now_ms()
        took_ms = max(now_ms - begun_ms, 0)
        self.paused_until_ms = now_ms + took_ms
        change = took_ms / size - self.ms_per_byte
        self.ms_per_byte += change * NEWEST_WEIGHT

    async def _enter(self, size: int, timeout_ms: int) -> None:
        entry = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, _Waiting(size, next(self.numbers), entry))
        self._grant()
        if entry.done():
            return
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                await entry
        except (asyncio.CancelledError, TimeoutError):
            if entry.done() and not entry.cancelled():
                self._leave(size)
            raise

    def _leave(self, size: int) -> None:
        self.in_use -= 1
        self.free_bytes += size
        self._grant()

    def _grant(self) -> None:
        while self.waiting:
            size, _, entry = self.waiting[0]
            if not entry.done() and not self._may_begin(size):
                return
            heapq.heappop(self.waiting)
            if not entry.done():
                self.in_use += 1
                self.free_bytes -= size
                entry.set_result(None)
                if size > LARGE_BYTES:
                    # Set again once the body is decoded.
                    self.paused_until_ms = self.clock.now_ms() + 1

    def _may_begin(self, size: int) -> bool:
        if self.in_use and size > self.free_bytes:
            return False
        remaining_ms = self.paused_until_ms - self.clock.now_ms()
        if size <= LARGE_BYTES or remaining_ms <= 0:
            return True
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(
                remaining_ms / MS_PER_SECOND, self._resume
            )
        return False

    def _resume(self) -> None:
        self.timer = None
        self._grant()
