"""Hold and grant leases that are fenced by terms."""

from typing import Final, NamedTuple, final

from ._clock import Clock

DRIFT_DIVISOR: Final = 50


class Grant(NamedTuple):
    """Answer a request for a lease."""

    granted: bool
    term: int
    holder: str


@final
class HeldLease:
    """Track a lease from its holder's side.

    The lease counts from before its request was sent, less a margin, so
    that the holder stops using it before the grantor could give it away.
    The margin grows by a fiftieth of the time to live: that covers two
    clocks whose rates are off by one percent each.
    """

    def __init__(self, clock: Clock, ttl_ms: int, margin_ms: int) -> None:
        """Hold nothing at first."""
        self.clock = clock
        self.ttl_ms = ttl_ms
        self.margin_ms = margin_ms
        self.term = 0
        self.valid_until_ms = 0

    def extend(
        self,
        term: int,
        sent_ms: int,
        ttl_ms: int | None = None,
    ) -> None:
        """Count a grant from the time its request was sent."""
        asked_ms = self.ttl_ms if ttl_ms is None else ttl_ms
        margin_ms = self.margin_ms + asked_ms // DRIFT_DIVISOR
        self.term = term
        self.valid_until_ms = sent_ms + asked_ms - margin_ms

    def drop(self) -> None:
        """Give the lease up at once."""
        self.valid_until_ms = 0

    def is_valid(self, term: int) -> bool:
        """Tell whether a message under the term may be sent now."""
        return term == self.term and self.clock.now_ms() < self.valid_until_ms


@final
class LeaseGrantor:
    """Grant one lease, to the highest term only."""

    def __init__(self, clock: Clock) -> None:
        """Start with no holder."""
        self.clock = clock
        self.term = 0
        self.holder = ''
        self.expires_ms = 0

    def request(self, holder: str, term: int, ttl_ms: int) -> Grant:
        """Grant a higher term at once, the held term to its holder only."""
        if term < self.term:
            return Grant(granted=False, term=self.term, holder=self.holder)
        if term == self.term and holder != self.holder:
            return Grant(granted=False, term=self.term, holder=self.holder)
        self.term = term
        self.holder = holder
        self.expires_ms = self.clock.now_ms() + ttl_ms
        return Grant(granted=True, term=term, holder=holder)

    def admits(self, term: int) -> bool:
        """Tell whether a message under the term is still allowed."""
        return term == self.term and self.clock.now_ms() < self.expires_ms
