"""Event loop in virtual time, which advances from timer to timer."""

import asyncio
import selectors
from collections.abc import Coroutine, Mapping
from typing import Any, final

from lycheerelay._clock import MS_PER_SECOND


@final
class VirtualTimeSelector(selectors.BaseSelector):
    """Advance the virtual time instead of waiting for sockets."""

    def __init__(self) -> None:
        """Start at time zero without registered files."""
        self.now_s = float(0)
        self.keys: dict[Any, selectors.SelectorKey] = {}

    def register(
        self,
        fileobj: Any,
        events: int,
        data: Any = None,
    ) -> selectors.SelectorKey:
        """Register a file, which never becomes ready."""
        key = selectors.SelectorKey(fileobj, 0, events, data)
        self.keys[fileobj] = key
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Remove a registered file."""
        return self.keys.pop(fileobj)

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the time by the timeout, which ends at the next timer."""
        if timeout is None:
            raise RuntimeError(
                'no timer is pending, the virtual loop would block forever'
            )
        self.now_s += max(timeout, 0)
        return []

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """Return the registered files."""
        return self.keys


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time is that of its selector."""

    def __init__(self) -> None:
        """Create the loop at time zero."""
        self.virtual_selector = VirtualTimeSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual_selector.now_s


@final
class LoopClock:
    """Clock of the running loop, in ms since 1970."""

    def __init__(self, epoch_ms: int) -> None:
        """Set the time in ms since 1970 at which the loop starts."""
        self.epoch_ms = epoch_ms

    def now_ms(self) -> int:
        """Return the virtual time in ms since 1970."""
        elapsed_s = asyncio.get_running_loop().time()
        return self.epoch_ms + int(elapsed_s * MS_PER_SECOND)


def run_virtual(
    work: Coroutine[Any, Any, Any], loop: VirtualLoop | None = None
) -> Any:
    """Run a coroutine in virtual time and return its result."""
    loop = loop or VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        _cancel_all(loop)
        loop.close()


def _cancel_all(loop: VirtualLoop) -> None:
    pending = asyncio.all_tasks(loop)
    for task in pending:
        task.cancel()
    if pending:
        loop.run_until_complete(asyncio.wait(pending))
