"""Share one call among those who ask for it at the same time.

Load: callers ask for many ids that nobody has handed in, and the owner reads the
stream of jobs to its end before it answers that there is no such job.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import final


@final
class SharedCall:
    """Make one call at a time; who asks during a call gets the next one."""

    def __init__(self, call: Callable[[], Awaitable[bool]]) -> None:
        """Start without a call in progress."""
        self.call = call
        self.current: asyncio.Task[bool] | None = None
        self.following: asyncio.Task[bool] | None = None

    async def run(self) -> bool:
        """Return the outcome of a call that begins after this one was asked for.

        False if the calls were cancelled.
        """
        if self.following is None:
            loop = asyncio.get_running_loop()
            self.following = loop.create_task(self._follow(self.current))
        task = self.following
        await asyncio.wait({task})
        return not task.cancelled() and task.result()

    def cancel(self) -> None:
        """Cancel the calls in progress."""
        for task in (self.current, self.following):
            if task is not None:
                task.cancel()

    async def _follow(self, earlier: asyncio.Task[bool] | None) -> bool:
        if earlier is not None:
            await asyncio.wait({earlier})
        self.current = self.following
        self.following = None
        return await self.call()
