"""Count calls and bytes by purpose."""

import threading
from typing import NamedTuple, final


class Traffic(NamedTuple):
    """Hold counters of calls; bytes include the HTTP headers."""

    calls: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


@final
class TrafficCounters:
    """Hold thread-safe traffic counters by purpose."""

    def __init__(self) -> None:
        """Initialize without counters."""
        self.sums: dict[str, Traffic] = {}
        self.lock = threading.Lock()

    def count_sent(self, purpose: str, size: int) -> None:
        """Count a request of the given size in bytes."""
        with self.lock:
            previous = self.sums.get(purpose, Traffic())
            self.sums[purpose] = previous._replace(
                calls=previous.calls + 1,
                sent_bytes=previous.sent_bytes + size,
            )

    def count_received(self, purpose: str, size: int) -> None:
        """Count a reply of the given size in bytes."""
        with self.lock:
            previous = self.sums.get(purpose, Traffic())
            received = previous.received_bytes + size
            self.sums[purpose] = previous._replace(received_bytes=received)

    def snapshot(self) -> dict[str, Traffic]:
        """Return a copy of the counters, sorted by purpose."""
        with self.lock:
            return dict(sorted(self.sums.items()))
