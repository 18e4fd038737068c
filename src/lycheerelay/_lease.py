"""Hold and grant leases that are fenced by terms.

A lease belongs to one holder under one term; a request under a higher term
replaces it, and messages under an older term are refused.
"""

from typing import Final, NamedTuple, final

from ._clock import Clock

DRIFT_DIVISOR: Final = 50


class Grant(NamedTuple):
    """Answer a lease request; a refusal names the current term and holder."""

    granted: bool
    term: int
    holder: str


@final
class HeldLease:
    """Track a lease on the holder's side.

    The lease runs from the time at which its request was sent, less a
    margin, so that the holder stops using it before the grantor may grant
    it to another holder. The margin includes 1/DRIFT_DIVISOR (2%) of the
    time to live, which covers two clocks whose rates are off by 1% each.
    """

    def __init__(self, clock: Clock, ttl_ms: int, margin_ms: int) -> None:
        """Start without a lease."""
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
        """Extend the lease from the time at which its request was sent."""
        lease_ttl_ms = self.ttl_ms if ttl_ms is None else ttl_ms
        margin_ms = self.margin_ms + lease_ttl_ms // DRIFT_DIVISOR
        self.term = term
        self.valid_until_ms = sent_ms + lease_ttl_ms - margin_ms

    def drop(self) -> None:
        """Stop using the lease at once."""
        self.valid_until_ms = 0

    def is_valid(self, term: int) -> bool:
        """Return whether a message under the term may be sent now."""
        return term == self.term and self.clock.now_ms() < self.valid_until_ms


@final
class LeaseGrantor:
    """Grant one lease to the holder of the highest term."""

    def __init__(self, clock: Clock) -> None:
        """Start without a holder."""
        self.clock = clock
        self.term = 0
        self.holder = ''
        self.expires_ms = 0

    def request(self, holder: str, term: int, ttl_ms: int) -> Grant:
        """Grant a higher term at once and the current term to its holder."""
        if term < self.term:
            return Grant(granted=False, term=self.term, holder=self.holder)
        if term == self.term and holder != self.holder:
            return Grant(granted=False, term=self.term, holder=self.holder)
        self.term = term
        self.holder = holder
        self.expires_ms = self.clock.now_ms() + ttl_ms
        return Grant(granted=True, term=term, holder=holder)

    def admits(self, term: int) -> bool:
        """Return whether a message under the term is accepted now."""
        return term == self.term and self.clock.now_ms() < self.expires_ms
