"""Set the pace of membership."""

from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """Set the names and the pace of one node's membership."""

    name: str
    domain: str
    period_ms: int = 500
    per_peer_ms: int = 100
    tick_ms: int = 100
    suspect_phi: float = 8
    confirm_ms: int = 800
    helpers: int = 2
    join_ms: int = 1500
    digest_ms: int = 5000
    digest_fresh_ms: int = 30_000
    dead_rounds: int = 5
    forget_ms: int = 600_000
