"""Do long work on the event loop in slices, so that nothing else waits for it."""

import asyncio
from typing import Final, final

from .._clock import Clock

# A renewal of the membership takes some turns of the event loop, each of which
# may wait for one slice.
SLICE_MS: Final = 5
# Items after which a slice ends, however fast they were.
MAX_ITEMS: Final = 256


@final
class Slices:
    """Measure the slices of one piece of work."""

    def __init__(self, clock: Clock) -> None:
        """Begin the first slice."""
        self.clock = clock
        self.begun_ms = clock.now_ms()
        self.items = 0

    async def next_item(self) -> None:
        """Count an item; let other tasks run if the slice is over."""
        self.items += 1
        is_over = self.clock.now_ms() - self.begun_ms >= SLICE_MS
        if is_over or self.items >= MAX_ITEMS:
            await asyncio.sleep(0)
            self.begun_ms = self.clock.now_ms()
            self.items = 0
