"""Claim the right to place in a pool and follow who holds it."""

from collections.abc import Callable
from typing import Final, final

from ._clock import Clock
from ._hashing import owner_of
from ._members import Members
from ._records import Record, TermTaken
from ._state import ShardState

REPEAT_CLAIM_MS: Final = 2000


@final
class Ownership:
    """Append claims for pools that rendezvous hashing gives this node.

    A claim takes effect when it is read back from the log; the first of two
    claims for one term wins there.
    """

    def __init__(
        self,
        name: str,
        members: Members,
        clock: Clock,
        append: Callable[[Record], None],
    ) -> None:
        """Claim nothing yet."""
        self.name = name
        self.members = members
        self.clock = clock
        self.append = append
        self.asked: dict[str, tuple[int, int]] = {}

    def review(self, state: ShardState) -> None:
        """Claim the pool, if this node should own it and does not."""
        if state.is_owner or self.chosen_for(state) != self.name:
            return
        now_ms = self.clock.now_ms()
        wanted = state.term + 1
        term, asked_ms = self.asked.get(state.pool, (0, 0))
        if term == wanted and now_ms < asked_ms + REPEAT_CLAIM_MS:
            return
        self.asked[state.pool] = (wanted, now_ms)
        self.append(TermTaken(state.pool, wanted, self.name, now_ms))

    def chosen_for(self, state: ShardState) -> str | None:
        """Return the live entry VM that should own the pool."""
        key = f'{state.domain}/{state.pool}'
        return owner_of(key, self.members.alive_in_domain())
