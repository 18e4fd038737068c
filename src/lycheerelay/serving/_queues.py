"""Look up queues and tenants in the operators' configuration.

Load: each call looks up its queue and its key, while operators add 1,900 queues
at once. The indexes are built once per version.
"""

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final, NamedTuple, final

from ..workflow import QueuePolicy
from ..workflow.tenants import TenantPolicy
from ._connection_limits import RequestLimits

# Key of the configuration in the operators' stream.
CONFIG_KEY: Final = 'config'


class Queue(NamedTuple):
    """Host and path prefix at which callers reach a queue, and its policy.

    Callers of a public queue need no key.
    """

    host: str
    prefix: str
    policy: QueuePolicy
    is_public: bool = True


@final
class PrefixIndex:
    """Find the longest matching prefix of one host.

    A lookup takes one step per distinct prefix length, however many prefixes
    there are.
    """

    def __init__(self, queues: Iterable[Queue]) -> None:
        """Build the index; the first queue of a prefix counts."""
        self.queues: dict[str, Queue] = {}
        for queue in queues:
            self.queues.setdefault(queue.prefix, queue)
        self.lengths = sorted(set(map(len, self.queues)), reverse=True)

    def find(self, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path."""
        for length in self.lengths:
            queue = self.queues.get(path[:length])
            if queue is not None:
                return queue
        return None


@dataclass(slots=True, eq=False)
class QueueTable:
    """One version of the configuration.

    With `requires_keys`, calls to queues that are not public need the key of a
    tenant. The fields do not change after the creation, which builds the indexes.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: frozenset[str]
    request_limits: RequestLimits = RequestLimits()
    tenants: tuple[TenantPolicy, ...] = ()
    requires_keys: bool = False
    queues_by_host: dict[str, PrefixIndex] = field(init=False, repr=False)
    queues_by_name: dict[str, Queue] = field(init=False, repr=False)
    tenants_by_key: dict[bytes, TenantPolicy] = field(init=False, repr=False)
    tenants_by_name: dict[str, TenantPolicy] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        """Build the indexes."""
        by_host: dict[str, list[Queue]] = {}
        self.queues_by_name = {}
        for queue in self.queues:
            by_host.setdefault(queue.host, []).append(queue)
            self.queues_by_name.setdefault(queue.policy.name, queue)
        self.queues_by_host = {
            host: PrefixIndex(queues) for host, queues in by_host.items()
        }
        self.tenants_by_name = {tenant.name: tenant for tenant in self.tenants}
        self.tenants_by_key = {}
        for tenant in self.tenants:
            for digest in tenant.keys:
                self.tenants_by_key.setdefault(digest, tenant)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of the host with the longest matching prefix."""
        index = self.queues_by_host.get(host)
        return None if index is None else index.find(path)

    def named(self, name: str) -> Queue | None:
        """Return the queue with a name."""
        return self.queues_by_name.get(name)

    def find_tenant(self, key: str) -> TenantPolicy | None:
        """Return the tenant that holds an API key."""
        return self.tenants_by_key.get(digest_of(key))

    def tenant_named(self, name: str) -> TenantPolicy | None:
        """Return the tenant with a name."""
        return self.tenants_by_name.get(name)


def digest_of(key: str) -> bytes:
    """Return the SHA-256 digest of an API key."""
    # Headers may contain bytes that are not UTF-8, decoded as surrogates.
    return hashlib.sha256(key.encode(errors='surrogateescape')).digest()


# Returns the configuration in force, or None before the first one.
TableSource = Callable[[], QueueTable | None]


def no_table() -> None:
    """Stand for a configuration that is not known."""
