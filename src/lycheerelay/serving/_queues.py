"""Hold the operators' configuration and find the queue of a request."""

from typing import NamedTuple

from ..workflow import AdvicePolicy


class Queue(NamedTuple):
    """Describe one queue; objective in ms."""

    name: str
    host: str
    prefix: str
    pool: str
    max_attempts: int
    stretch: float
    objective_ms: int
    priority: int
    advice: AdvicePolicy | None


class QueueTable(NamedTuple):
    """Hold one version of the configuration."""

    version: int
    queues: tuple[Queue, ...]
    pools: frozenset[str]
    most_body_bytes: int

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of the host with the longest fitting prefix."""
        fitting = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(fitting, key=lambda queue: len(queue.prefix), default=None)
