"""Suspend the code of single processes on a loop in virtual time."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from typing import Any, Final, TypeVarTuple, Unpack, final

from ._virtual_time import VirtualLoop

Ts = TypeVarTuple('Ts')
PROCESS: Final[ContextVar[str]] = ContextVar('process', default='')


def process_context(process: str) -> Context:
    """Return a context whose code belongs to a process."""
    context = copy_context()
    context.run(PROCESS.set, process)
    return context


@final
class HoldableCallback:
    """Run a callback unless its process is frozen; then keep it for later."""

    def __init__(
        self,
        loop: 'FreezableLoop',
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: Context,
    ) -> None:
        """Set the callback and the context in which it runs."""
        self.loop = loop
        self.callback = callback
        self.args = args
        self.context = context
        self.handle: asyncio.Handle | None = None

    def __call__(self) -> None:
        """Run or keep the callback, unless it was cancelled."""
        if self.handle is not None and self.handle.cancelled():
            return
        held = self.loop.held.get(PROCESS.get())
        if held is None:
            self.callback(*self.args)
        else:
            held.append(self)


@final
class FreezableLoop(VirtualLoop):
    """Loop that holds back the callbacks of frozen processes.

    The time advances meanwhile, as the clock of a suspended process does.
    """

    def __init__(self) -> None:
        """Start without frozen processes."""
        self.held: dict[str, list[HoldableCallback]] = {}
        super().__init__()

    def call_soon(
        self,
        callback: Callable[[Unpack[Ts]], object],
        *args: *Ts,
        context: Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback for the next iteration."""
        chosen = copy_context() if context is None else context
        holdable = HoldableCallback(self, callback, args, chosen)
        holdable.handle = super().call_soon(holdable, context=chosen)
        return holdable.handle

    def call_at(
        self,
        when: float,
        callback: Callable[[Unpack[Ts]], object],
        *args: *Ts,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback for a time."""
        chosen = copy_context() if context is None else context
        holdable = HoldableCallback(self, callback, args, chosen)
        timer = super().call_at(when, holdable, context=chosen)
        holdable.handle = timer
        return timer

    def freeze(self, process: str) -> None:
        """Hold back the callbacks of a process."""
        self.held.setdefault(process, [])

    def thaw(self, process: str, rng: random.Random) -> None:
        """Schedule the callbacks of a process that were held back.

        Their order is random: a process that is resumed finds many sockets and
        timers ready, and the system decides which of them comes first.
        """
        held = self.held.pop(process, [])
        rng.shuffle(held)
        for holdable in held:
            self.call_soon(holdable, context=holdable.context)

    def is_frozen(self, process: str) -> bool:
        """Return whether a process is frozen."""
        return process in self.held


async def run_as(process: Context, work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine as the code of a process."""
    loop = asyncio.get_running_loop()
    return await loop.create_task(work, context=process.copy())
