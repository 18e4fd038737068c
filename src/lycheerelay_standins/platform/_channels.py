"""Limit the channels that a worker accepts, on the emulated network."""

import asyncio
from collections import Counter
from typing import final

from lycheerelay.serving import KEEP_ALIVE_S, MAX_CONNECTIONS_PER_HOST


@final
class ChannelPool:
    """Channels of one process, by address.

    `idle` holds the times at which idle channels were last used. A process that
    has lost power closes none.
    """

    def __init__(self) -> None:
        """Start without channels."""
        self.idle: dict[str, list[float]] = {}
        self.busy: Counter[str] = Counter()
        self.has_power = True
        self.released = asyncio.Event()

    def count(self, address: str) -> int:
        """Return the number of open channels to an address."""
        if self.has_power:
            oldest_s = asyncio.get_running_loop().time() - KEEP_ALIVE_S
            self.idle[address] = [
                used_s
                for used_s in self.idle.get(address, ())
                if used_s > oldest_s
            ]
        return self.busy[address] + len(self.idle.get(address, ()))

    async def wait_for_turn(self, address: str) -> None:
        """Wait until the process may use one more channel at the same time."""
        while self.busy[address] >= MAX_CONNECTIONS_PER_HOST:
            self.released.clear()
            await self.released.wait()

    def take(self, address: str) -> None:
        """Use an idle channel if there is one, and a new one otherwise."""
        if self.idle.get(address):
            self.idle[address].pop()
        self.busy[address] += 1

    def release(self, address: str, stays_open: bool) -> None:
        """End the use of a channel."""
        if not self.has_power:
            return
        self.busy[address] -= 1
        if stays_open:
            now_s = asyncio.get_running_loop().time()
            self.idle.setdefault(address, []).append(now_s)
        self.released.set()

    def close(self) -> None:
        """Close every channel of a process that ends."""
        if self.has_power:
            self.idle = {}
            self.busy.clear()


@final
class ChannelLimits:
    """Channels that each address accepts; the others are reset.

    Addresses without a limit in `limits` accept any number.
    """

    def __init__(self) -> None:
        """Start without limits."""
        self.limits: dict[str, int] = {}
        self.pools: list[ChannelPool] = []
        self.resets = 0

    def add_pool(self) -> ChannelPool:
        """Add the channels of a process."""
        pool = ChannelPool()
        self.pools.append(pool)
        return pool

    def accepts(self, address: str, pool: ChannelPool) -> bool:
        """Return whether a process has an idle channel or may open one."""
        used = sum(other.count(address) for other in self.pools)
        if pool.idle.get(address) or used < self.limits[address]:
            return True
        self.resets += 1
        return False
