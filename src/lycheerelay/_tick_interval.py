"""Compute how long the core may wait for events before the next tick."""

from collections.abc import Iterable, Iterator
from typing import Final

from ._state import ShardState

BUSY_MS: Final = 20
WAITING_MS: Final = 100
IDLE_MS: Final = 200


def sleep_ms(
    states: Iterable[ShardState],
    had_commands: bool,
    now_ms: int,
) -> int:
    """Return the longest wait for an event before the next tick.

    A tick with commands may have stopped at its limit of work, so the next
    one follows after BUSY_MS. Reservations and fair shares change with time,
    so a pool with waiting jobs ticks at least every WAITING_MS. Otherwise
    the next due time or IDLE_MS counts.
    """
    if had_commands:
        return BUSY_MS
    max_wait_ms = IDLE_MS
    for state in states:
        if state.waiting:
            max_wait_ms = WAITING_MS
        for due_ms in _due_times(state):
            max_wait_ms = min(max_wait_ms, due_ms - now_ms)
    return max(BUSY_MS, max_wait_ms)


def _due_times(state: ShardState) -> Iterator[int]:
    heaps = (state.delayed, state.waiting.delayed, state.deadlines)
    yield from (heap[0][0] for heap in heaps if heap)
