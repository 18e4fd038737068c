"""Compute how long this process may act as the owner."""

import math
from typing import Final, NamedTuple, final

# A member that does not renew within this time loses its group membership,
# unless the store requires a longer time. Kept short so that a failed owner is
# replaced within 2 s.
GROUP_TTL_MS: Final = 1000
# Interval between rounds; two rounds may be lost within GROUP_TTL_MS.
JOIN_INTERVAL_MS: Final = 250
# Orders stop this long before the store may reassign the ownership.
OWNERSHIP_MARGIN_MS: Final = 100

# Resources that an owner needs. Each halving below them delays a VM's claims by
# CLAIM_DELAY_PER_HALVING_MS, so that better equipped VMs claim first.
REFERENCE_CORES: Final = 0.5
REFERENCE_LINK_MBPS: Final = 50
CLAIM_DELAY_PER_HALVING_MS: Final = 250


class ElectionTimes(NamedTuple):
    """Hold the TTL of a membership and the delay of own claims, in ms."""

    ttl_ms: int
    claim_delay_ms: int = 0


def claim_delay_ms(cores: float, link_mbps: float) -> int:
    """Return how long a VM waits for better equipped VMs to claim, in ms."""
    ratios = (REFERENCE_CORES / cores, REFERENCE_LINK_MBPS / link_mbps)
    halvings = sum(max(math.log2(ratio), 0) for ratio in ratios)
    return int(CLAIM_DELAY_PER_HALVING_MS * halvings)


@final
class OwnershipLease:
    """Track until when the store cannot have reassigned the ownership."""

    def __init__(self, fence: int, sent_ms: int, ttl_ms: int) -> None:
        """Start at the time at which the successful claim was sent."""
        self.fence = fence
        self.ttl_ms = ttl_ms
        self.until_ms = 0
        self.confirm(sent_ms)

    def confirm(self, sent_ms: int) -> None:
        """Extend the lease, counted from when the confirming call was sent."""
        until_ms = sent_ms + self.ttl_ms - OWNERSHIP_MARGIN_MS
        self.until_ms = max(self.until_ms, until_ms)

    def is_valid(self, now_ms: int) -> bool:
        """Return whether orders may be sent now."""
        return now_ms < self.until_ms
