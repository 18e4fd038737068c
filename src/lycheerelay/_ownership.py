"""Claim the right to place in a pool and follow who holds it."""

from collections import deque
from collections.abc import Callable
from typing import Final, final

from ._clock import Clock
from ._hashing import owner_of
from ._members import Members, name_of
from ._records import Record, TermTaken
from ._state import ShardState

REPEAT_CLAIM_MS: Final = 2000
STABLE_MS: Final = 30_000
LOSS_WINDOW_MS: Final = 60_000
HOLD_OFF_MS: Final = 500
MAX_HOLD_OFF_MS: Final = 30_000


@final
class Ownership:
    """Append claims for pools that rendezvous hashing gives this node.

    A claim takes effect when it is read back from the log; the first of two
    claims for one term wins there. A dead or leaving owner is replaced at
    once, a living one only after the choice was stable for a time. A node
    that lost pools to others holds off, longer after each loss, so that two
    that hear the log but not each other do not take turns.
    """

    def __init__(
        self,
        members: Members,
        clock: Clock,
        append: Callable[[Record], None],
    ) -> None:
        """Claim nothing yet."""
        self.members = members
        self.clock = clock
        self.append = append
        self.asked: dict[str, tuple[int, int]] = {}
        self.chosen_ms: dict[str, int] = {}
        self.owned: set[str] = set()
        self.losses: dict[str, deque[int]] = {}
        self.claims = 0

    def review(self, state: ShardState) -> None:
        """Claim the pool, if this node should own it and does not."""
        now_ms = self.clock.now_ms()
        self._follow_loss(state, now_ms)
        if state.is_owner or not self._is_chosen(state):
            self.chosen_ms.pop(state.pool, None)
            return
        since_ms = self.chosen_ms.setdefault(state.pool, now_ms)
        is_stable = now_ms >= since_ms + STABLE_MS
        if not is_stable and self._must_wait(state, now_ms):
            return
        self._claim(state, now_ms)

    def chosen_for(self, state: ShardState) -> str | None:
        """Return the live entry VM that should own the pool."""
        key = f'{state.domain}/{state.pool}'
        return owner_of(key, self.members.alive_in_domain())

    def _is_chosen(self, state: ShardState) -> bool:
        name = name_of(self.members.identity)
        return self.members.is_settled() and self.chosen_for(state) == name

    def _must_wait(self, state: ShardState, now_ms: int) -> bool:
        if state.owner and self.members.is_alive(state.owner):
            return True
        losses = self.losses.get(state.pool)
        if not losses:
            return False
        doubled_ms = HOLD_OFF_MS << min(len(losses), 10)
        return now_ms < losses[-1] + min(doubled_ms, MAX_HOLD_OFF_MS)

    def _follow_loss(self, state: ShardState, now_ms: int) -> None:
        if state.is_owner:
            self.owned.add(state.pool)
        elif state.pool in self.owned:
            self.owned.discard(state.pool)
            self.losses.setdefault(state.pool, deque()).append(now_ms)
        losses = self.losses.get(state.pool)
        while losses and losses[0] < now_ms - LOSS_WINDOW_MS:
            losses.popleft()

    def _claim(self, state: ShardState, now_ms: int) -> None:
        wanted = state.term + 1
        term, asked_ms = self.asked.get(state.pool, (0, 0))
        if term == wanted and now_ms < asked_ms + REPEAT_CLAIM_MS:
            return
        self.asked[state.pool] = (wanted, now_ms)
        self.claims += 1
        identity = self.members.identity
        self.append(TermTaken(state.pool, wanted, identity, now_ms))
