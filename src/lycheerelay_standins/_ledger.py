"""Record what workers really started, for tests and benchmarks."""

import threading
from collections.abc import Callable
from typing import NamedTuple, final

from lycheerelay._codec import Json

IsLive = Callable[[], bool]


class LiveAttempt(NamedTuple):
    """Name an attempt, its worker and how to ask whether it still runs."""

    attempt: str
    worker: str
    is_live: IsLive


@final
class StartLedger:
    """Count starts and notice tasks that run in two places at once."""

    def __init__(self) -> None:
        """Start with no start recorded."""
        self.starts: dict[str, int] = {}
        self.started_ms: dict[str, int] = {}
        self.overbooked: list[str] = []
        self.two_live: list[tuple[str, str]] = []
        self.running: dict[str, list[LiveAttempt]] = {}
        self.lock = threading.Lock()

    def add(self, attempt: str, worker: str, now_ms: int, live: IsLive) -> None:
        """Record a start and compare it with the task's other attempts."""
        task, _, _ = attempt.rpartition(':')
        with self.lock:
            self.starts[attempt] = self.starts.get(attempt, 0) + 1
            self.started_ms.setdefault(attempt, now_ms)
            others = [
                other for other in self.running.get(task, []) if other.is_live()
            ]
            self.two_live.extend((other.attempt, attempt) for other in others)
            entry = LiveAttempt(attempt, worker, live)
            self.running[task] = [*others, entry]

    def end(self, attempt: str) -> None:
        """Drop an attempt that ended."""
        task, _, _ = attempt.rpartition(':')
        with self.lock:
            left = [
                other
                for other in self.running.get(task, [])
                if other.attempt != attempt
            ]
            if left:
                self.running[task] = left
            else:
                self.running.pop(task, None)

    def overbook(self, worker: str) -> None:
        """Record that a worker was given more than it can hold."""
        with self.lock:
            self.overbooked.append(worker)

    def shown(self) -> dict[str, Json]:
        """Return the whole record as JSON values."""
        with self.lock:
            return {
                'starts': dict(self.starts),
                'started_ms': dict(self.started_ms),
                'overbooked': list(self.overbooked),
                'two_live': [list(pair) for pair in self.two_live],
            }
