"""Claim the ownership of pools, whose owner places their jobs."""

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
BACKOFF_BASE_MS: Final = 500
MAX_BACKOFF_MS: Final = 30_000
MAX_BACKOFF_DOUBLINGS: Final = 10


@final
class Ownership:
    """Append claims for the pools that rendezvous hashing assigns to this node.

    A claim takes effect when it is read back from the log; the first of two
    claims for one term wins. A dead or leaving owner is replaced at once, a
    live one only after hashing has preferred this node for STABLE_MS. A node
    that lost a pool backs off before it claims again, longer after each
    loss; otherwise two nodes that reach the log but not each other would
    take the pool from each other in turn.
    """

    def __init__(
        self,
        members: Members,
        clock: Clock,
        append: Callable[[Record], None],
    ) -> None:
        """Start without claims."""
        self.members = members
        self.clock = clock
        self.append = append
        self.last_claims: dict[str, tuple[int, int]] = {}
        self.preferred_since_ms: dict[str, int] = {}
        self.owned: set[str] = set()
        self.losses: dict[str, deque[int]] = {}
        self.claims = 0

    def claim_if_due(self, state: ShardState) -> None:
        """Claim the pool if this node should own it and does not."""
        now_ms = self.clock.now_ms()
        self._track_losses(state, now_ms)
        if state.is_owner or not self._is_preferred(state):
            self.preferred_since_ms.pop(state.pool, None)
            return
        since_ms = self.preferred_since_ms.setdefault(state.pool, now_ms)
        is_stable = now_ms >= since_ms + STABLE_MS
        if not is_stable and self._must_wait(state, now_ms):
            return
        self._claim(state, now_ms)

    def preferred_owner(self, state: ShardState) -> str | None:
        """Return the live entry VM that should own the pool."""
        key = f'{state.domain}/{state.pool}'
        return owner_of(key, self.members.alive_in_domain())

    def _is_preferred(self, state: ShardState) -> bool:
        name = name_of(self.members.identity)
        if not self.members.has_converged():
            return False
        return self.preferred_owner(state) == name

    def _must_wait(self, state: ShardState, now_ms: int) -> bool:
        if state.owner and self.members.is_alive(state.owner):
            return True
        losses = self.losses.get(state.pool)
        if not losses:
            return False
        doublings = min(len(losses), MAX_BACKOFF_DOUBLINGS)
        backoff_ms = min(BACKOFF_BASE_MS << doublings, MAX_BACKOFF_MS)
        return now_ms < losses[-1] + backoff_ms

    def _track_losses(self, state: ShardState, now_ms: int) -> None:
        if state.is_owner:
            self.owned.add(state.pool)
        elif state.pool in self.owned:
            self.owned.discard(state.pool)
            self.losses.setdefault(state.pool, deque()).append(now_ms)
        losses = self.losses.get(state.pool)
        while losses and losses[0] < now_ms - LOSS_WINDOW_MS:
            losses.popleft()

    def _claim(self, state: ShardState, now_ms: int) -> None:
        next_term = state.term + 1
        term, claimed_ms = self.last_claims.get(state.pool, (0, 0))
        if term == next_term and now_ms < claimed_ms + REPEAT_CLAIM_MS:
            return
        self.last_claims[state.pool] = (next_term, now_ms)
        self.claims += 1
        identity = self.members.identity
        self.append(TermTaken(state.pool, next_term, identity, now_ms))
