"""Choose how long the core may sleep until time itself matters."""

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

    A tick that led to commands may have stopped at its bound, so the next
    follows at once. Waiting jobs look again for reservations and fair shares
    that change with time; else only what is due by the clock counts.
    """
    if had_commands:
        return BUSY_MS
    longest_ms = IDLE_MS
    for state in states:
        if state.waiting:
            longest_ms = WAITING_MS
        for due_ms in _dues(state):
            longest_ms = min(longest_ms, due_ms - now_ms)
    return max(BUSY_MS, longest_ms)


def _dues(state: ShardState) -> Iterator[int]:
    heaps = (state.delayed, state.waiting.delayed, state.deadlines)
    yield from (heap[0][0] for heap in heaps if heap)
