"""Count messages and bytes by what they are for."""

import threading
from typing import NamedTuple, final


class Traffic(NamedTuple):
    """Sum up calls: request and reply with their HTTP headers."""

    calls: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


@final
class TrafficCounters:
    """Keep one sum per purpose."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self.sums: dict[str, Traffic] = {}
        self.lock = threading.Lock()

    def count_sent(self, purpose: str, size: int) -> None:
        """Count a request."""
        with self.lock:
            known = self.sums.get(purpose, Traffic())
            self.sums[purpose] = known._replace(
                calls=known.calls + 1,
                sent_bytes=known.sent_bytes + size,
            )

    def count_received(self, purpose: str, size: int) -> None:
        """Count a reply."""
        with self.lock:
            known = self.sums.get(purpose, Traffic())
            received = known.received_bytes + size
            self.sums[purpose] = known._replace(received_bytes=received)

    def shown(self) -> dict[str, Traffic]:
        """Return every sum by purpose, in order of name."""
        with self.lock:
            return dict(sorted(self.sums.items()))
