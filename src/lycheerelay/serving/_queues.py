"""Look up queues in the operators' configuration."""

from collections.abc import Callable
from typing import NamedTuple

from ..workflow import QueuePolicy
from ..workflow.tenants import TenantPolicy


class Queue(NamedTuple):
    """Host and path prefix at which callers reach a queue, and its policy.

    Callers of a public queue need no key.
    """

    host: str
    prefix: str
    policy: QueuePolicy
    is_public: bool = True


class QueueTable(NamedTuple):
    """One version of the configuration.

    With `requires_keys`, calls to queues that are not public need the key of a
    tenant.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: frozenset[str]
    max_body_bytes: int
    tenants: tuple[TenantPolicy, ...] = ()
    requires_keys: bool = False

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of the host with the longest matching prefix."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda queue: len(queue.prefix), default=None)

    def named(self, name: str) -> Queue | None:
        """Return the queue with a name."""
        for queue in self.queues:
            if queue.policy.name == name:
                return queue
        return None

    def tenant_named(self, name: str) -> TenantPolicy | None:
        """Return the tenant with a name."""
        for tenant in self.tenants:
            if tenant.name == name:
                return tenant
        return None


# Returns the configuration in force, or None before the first one.
TableSource = Callable[[], QueueTable | None]


def no_table() -> None:
    """Stand for a configuration that is not known."""
