"""Run an event loop whose time jumps from one timer to the next."""

import asyncio
import selectors
from collections.abc import Coroutine, Mapping
from typing import Any, final

from lycheerelay._clock import MS_PER_SECOND


@final
class JumpSelector(selectors.BaseSelector):
    """Let time pass instead of waiting for sockets."""

    def __init__(self) -> None:
        """Start at zero, without files."""
        self.now_s = float(0)
        self.keys: dict[Any, selectors.SelectorKey] = {}

    def register(
        self,
        fileobj: Any,
        events: int,
        data: Any = None,
    ) -> selectors.SelectorKey:
        """Remember a file; nothing ever arrives on it."""
        key = selectors.SelectorKey(fileobj, 0, events, data)
        self.keys[fileobj] = key
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Forget a file."""
        return self.keys.pop(fileobj)

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Jump to the next timer."""
        if timeout is None:
            raise RuntimeError('nothing is left to wait for')
        self.now_s += max(timeout, 0)
        return []

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """Return the files."""
        return self.keys


@final
class VirtualLoop(asyncio.SelectorEventLoop):
    """Tell the selector's time."""

    def __init__(self) -> None:
        """Start at zero."""
        self.jumps = JumpSelector()
        super().__init__(self.jumps)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.jumps.now_s


@final
class LoopClock:
    """Tell the running loop's time as milliseconds since 1970."""

    def __init__(self, epoch_ms: int) -> None:
        """Take what the loop's zero stands for."""
        self.epoch_ms = epoch_ms

    def now_ms(self) -> int:
        """Return the virtual time."""
        passed_s = asyncio.get_running_loop().time()
        return self.epoch_ms + int(passed_s * MS_PER_SECOND)


def run_virtual(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        _cancel_all(loop)
        loop.close()


def _cancel_all(loop: VirtualLoop) -> None:
    left = asyncio.all_tasks(loop)
    for task in left:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
