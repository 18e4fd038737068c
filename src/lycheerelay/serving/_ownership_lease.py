"""Tell how long this process may act as the owner."""

import math
from typing import Final, NamedTuple, final

# A member that sent nothing for so long, in ms, loses its seat, unless the
# store asks for more: short, so that a dead owner is replaced within 2 s.
GROUP_TTL_MS: Final = 1000
# Rounds begin this often, in ms: two may be lost within the time above.
JOIN_EVERY_MS: Final = 250
# Orders stop so much before the store may deal the ownership anew, in ms.
TENURE_MARGIN_MS: Final = 100


# An owner needs about as much; each halving below delays a VM's claims by the
# last of these, in ms, so that others come first.
ABLE_CORES: Final = 0.5
ABLE_LINK_MBPS: Final = 50
CLAIM_DELAY_MS: Final = 250


class ElectionTimes(NamedTuple):
    """Tell how long the seat is kept and left to others, in ms."""

    ttl_ms: int
    claim_delay_ms: int = 0


def claim_delay_ms(cores: float, link_mbps: float) -> int:
    """Return for how long a VM leaves a vacant seat to abler ones, in ms."""
    lacking = (ABLE_CORES / cores, ABLE_LINK_MBPS / link_mbps)
    halvings = sum(max(math.log2(part), 0) for part in lacking)
    return int(CLAIM_DELAY_MS * halvings)


@final
class OwnershipLease:
    """Track until when the store cannot have dealt the ownership anew."""

    def __init__(self, fence: int, asked_ms: int, ttl_ms: int) -> None:
        """Count from the call that brought the ownership."""
        self.fence = fence
        self.ttl_ms = ttl_ms
        self.until_ms = 0
        self.confirm(asked_ms)

    def confirm(self, asked_ms: int) -> None:
        """Prolong by a call that was sent then and confirmed it."""
        until_ms = asked_ms + self.ttl_ms - TENURE_MARGIN_MS
        self.until_ms = max(self.until_ms, until_ms)

    def is_valid(self, now_ms: int) -> bool:
        """Tell whether orders may be sent now."""
        return now_ms < self.until_ms
