"""Answer who places, from the replica that a node holds."""

from typing import final

from ._node import Node
from ._routing import JobLocation, unique


@final
class NodeDirectory:
    """Read owners and jobs from the pools of one node."""

    def __init__(self, node: Node) -> None:
        """Read one node."""
        self.node = node

    def owner_of(self, workload: str) -> str:
        """Return the entry VM that places for a workload, or nothing."""
        state = self.node.shards.get(self.node.policy.pool_of(workload))
        return state.owner if state else ''

    def owners(self) -> tuple[str, ...]:
        """Return every entry VM that owns a pool of this domain."""
        states = tuple(self.node.shards.values())
        return unique(state.owner for state in states if state.owner)

    def locate(self, job_id: str) -> JobLocation | None:
        """Find a job of this domain."""
        return self.node.inspect(lambda: self._locate(job_id))

    def _locate(self, job_id: str) -> JobLocation | None:
        found = self.node.find_job(job_id)
        return JobLocation(found[0].owner, found[1].is_final) if found else None
