"""Record the task starts of all workers for tests and benchmarks."""

import threading
from collections.abc import Callable
from typing import NamedTuple, final

from lycheerelay._codec import Json

IsLive = Callable[[], bool]


class LiveAttempt(NamedTuple):
    """An attempt, its worker and a check whether it still runs."""

    attempt: str
    worker: str
    is_live: IsLive


@final
class StartLedger:
    """Count starts and detect tasks with two live attempts at once."""

    def __init__(self) -> None:
        """Create an empty ledger."""
        self.starts: dict[str, int] = {}
        self.started_ms: dict[str, int] = {}
        self.overbooked: list[str] = []
        self.two_live: list[tuple[str, str]] = []
        self.running: dict[str, list[LiveAttempt]] = {}
        self.lock = threading.Lock()

    def record_start(
        self,
        attempt: str,
        worker: str,
        now_ms: int,
        is_live: IsLive,
    ) -> None:
        """Record a start and every other live attempt of the same task."""
        task, _, _ = attempt.rpartition(':')
        with self.lock:
            self.starts[attempt] = self.starts.get(attempt, 0) + 1
            self.started_ms.setdefault(attempt, now_ms)
            others = [
                other for other in self.running.get(task, []) if other.is_live()
            ]
            self.two_live.extend((other.attempt, attempt) for other in others)
            live_attempt = LiveAttempt(attempt, worker, is_live)
            self.running[task] = [*others, live_attempt]

    def record_end(self, attempt: str) -> None:
        """Remove an ended attempt from the running ones."""
        task, _, _ = attempt.rpartition(':')
        with self.lock:
            remaining = [
                other
                for other in self.running.get(task, [])
                if other.attempt != attempt
            ]
            if remaining:
                self.running[task] = remaining
            else:
                self.running.pop(task, None)

    def record_overbooking(self, worker: str) -> None:
        """Record that a start exceeded the capacity of a worker."""
        with self.lock:
            self.overbooked.append(worker)

    def as_json(self) -> dict[str, Json]:
        """Return the ledger as JSON values."""
        with self.lock:
            return {
                'starts': dict(self.starts),
                'started_ms': dict(self.started_ms),
                'overbooked': list(self.overbooked),
                'two_live': [list(pair) for pair in self.two_live],
            }
