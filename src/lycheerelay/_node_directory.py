"""Look up owners and jobs in the replica that a node holds."""

from typing import final

from ._node import Node
from ._routing import JobLocation, unique


@final
class NodeDirectory:
    """Look up owners and jobs in the pools of one node."""

    def __init__(self, node: Node) -> None:
        """Use the pools of a node."""
        self.node = node

    def owner_of(self, workload: str) -> str:
        """Return the owner of a workload's pool, or an empty string."""
        state = self.node.shards.get(self.node.policy.pool_of(workload))
        return state.owner if state else ''

    def owners(self) -> tuple[str, ...]:
        """Return every entry VM that owns a pool of this domain."""
        states = tuple(self.node.shards.values())
        return unique(state.owner for state in states if state.owner)

    def locate(self, job_id: str) -> JobLocation | None:
        """Return the owner and the finality of a job, or None."""
        return self.node.inspect(lambda: self._locate(job_id))

    def _locate(self, job_id: str) -> JobLocation | None:
        found = self.node.find_job(job_id)
        return JobLocation(found[0].owner, found[1].is_final) if found else None
