"""Tell how long this process may act as the owner."""

from typing import Final, final

# A member that sent nothing for so long, in ms, loses its seat, unless the
# store asks for more: short, so that a dead owner is replaced within 2 s.
GROUP_TTL_MS: Final = 1000
# Rounds begin this often, in ms: two may be lost within the time above.
JOIN_EVERY_MS: Final = 250
# Orders stop so much before the store may deal the ownership anew, in ms.
TENURE_MARGIN_MS: Final = 100


@final
class Tenure:
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
