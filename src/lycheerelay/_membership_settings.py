"""Define the timing of membership."""

from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """Set the names and the timing of one node's membership.

    Heartbeats go out every `period_ms`, or every `per_peer_ms` times the
    number of peers if that is longer; dead peers get one in every
    `dead_rounds`. A peer is suspect from a phi of `suspect_phi` on, and dead
    if no heartbeat of it arrives within `confirm_ms`, directly or relayed by
    one of the `helpers`. Dead peers that are not listed are removed after
    `forget_ms`. Peers have `join_ms` after the start to send a first
    heartbeat. Other domains get a digest about every `digest_ms`, which they
    use for `digest_fresh_ms`.
    """

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
