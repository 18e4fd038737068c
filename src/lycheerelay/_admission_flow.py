"""Predict waits from how fast each team's work has been started."""

from dataclasses import dataclass, field
from typing import Final

from ._jobs import Kind

WINDOW_MS: Final = 30_000

FlowKey = tuple[str, Kind]


@dataclass(slots=True)
class Flow:
    """Count recent starts of one team and kind while work waits."""

    since_ms: int
    updated_ms: int
    starts: float = 0

    def note(self, count: int, now_ms: int) -> None:
        """Count starts; older ones fade over the window."""
        self.starts = self._faded(now_ms) + count
        self.updated_ms = now_ms

    def wait_for(self, waiting: int, now_ms: int) -> int:
        """Predict the wait behind so many tasks (Little, 1961)."""
        watched_ms = max(1, min(WINDOW_MS, now_ms - self.since_ms))
        starts = self._faded(now_ms)
        if starts < 1:
            return now_ms - self.since_ms
        return int(waiting * watched_ms / starts)

    def _faded(self, now_ms: int) -> float:
        passed_ms = now_ms - self.updated_ms
        return self.starts * max(0, 1 - passed_ms / WINDOW_MS)


@dataclass(slots=True)
class Flows:
    """Hold a flow for each team and kind that has work waiting."""

    by_key: dict[FlowKey, Flow] = field(default_factory=dict)

    def note_starts(self, key: FlowKey, count: int, now_ms: int) -> None:
        """Count starts of waiting work."""
        flow = self.by_key.get(key)
        if flow is None:
            flow = Flow(now_ms, now_ms)
            self.by_key[key] = flow
        flow.note(count, now_ms)

    def follow(self, counts: dict[FlowKey, int], now_ms: int) -> None:
        """Watch what waits now; forget what no longer does."""
        for key in counts:
            if key not in self.by_key:
                self.by_key[key] = Flow(now_ms, now_ms)
        for key in tuple(self.by_key):
            if key not in counts:
                self.by_key.pop(key)

    def predict(
        self,
        key: FlowKey,
        counts: dict[FlowKey, int],
        now_ms: int,
    ) -> int:
        """Predict how long a new task would wait."""
        waiting = counts.get(key, 0)
        flow = self.by_key.get(key)
        if not waiting or flow is None:
            return 0
        return flow.wait_for(waiting, now_ms)
