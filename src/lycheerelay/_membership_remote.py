"""Track the entry VMs of other failure domains by their digests."""

from dataclasses import dataclass, field
from typing import final

from ._membership_messages import Digest, Values


@dataclass(slots=True)
class RemoteDomain:
    """Hold the nodes of another failure domain and their addresses.

    `known` holds all nodes ever listed or reported, `alive` those of the
    last digest, `newest` the newest incarnation and sequence of each sender.
    """

    known: dict[str, str] = field(default_factory=dict)
    alive: dict[str, str] = field(default_factory=dict)
    last_contact_ms: int = 0
    newest: dict[str, tuple[int, int]] = field(default_factory=dict)
    values: dict[str, Values] = field(default_factory=dict)


@final
class RemoteDomains:
    """Track every other failure domain."""

    def __init__(self, fresh_ms: int) -> None:
        """Use a digest for `fresh_ms`, then fall back to all known nodes."""
        self.fresh_ms = fresh_ms
        self.domains: dict[str, RemoteDomain] = {}

    def add(self, name: str, domain: str, address: str) -> None:
        """Add a node from the settings or the platform's list."""
        remote = self.domains.setdefault(domain, RemoteDomain())
        remote.known[name] = address

    def drop(self, name: str) -> None:
        """Remove a node that the platform no longer lists."""
        for remote in self.domains.values():
            for table in (remote.known, remote.alive, remote.newest):
                table.pop(name, None)
            remote.values.pop(name, None)

    def process_digest(
        self,
        message: Digest,
        source: str,
        now_ms: int,
    ) -> None:
        """Apply a digest unless a newer one of its sender was applied."""
        remote = self.domains.setdefault(message.domain, RemoteDomain())
        version = (message.incarnation, message.sequence)
        if version <= remote.newest.get(message.node, (0, 0)):
            return
        remote.newest[message.node] = version
        remote.values[message.node] = message.values
        remote.alive = {**message.members, message.node: source}
        remote.known.update(remote.alive)
        remote.last_contact_ms = now_ms

    def alive_in(self, domain: str, now_ms: int) -> tuple[str, ...]:
        """Return the nodes of a domain that seem alive."""
        remote = self.domains.get(domain)
        if remote is None:
            return ()
        is_fresh = now_ms < remote.last_contact_ms + self.fresh_ms
        use_digest = remote.alive and is_fresh
        return tuple(sorted(remote.alive if use_digest else remote.known))

    def address_of(self, name: str) -> str | None:
        """Return the address of a node, or None if unknown."""
        for remote in self.domains.values():
            if name in remote.known:
                return remote.known[name]
        return None

    def seen_values(self) -> dict[str, Values]:
        """Return the values last received from each node."""
        seen: dict[str, Values] = {}
        for remote in self.domains.values():
            seen.update(remote.values)
        return seen

    def targets(self) -> list[list[str]]:
        """Return, for each domain, the addresses that can get a digest."""
        return [
            sorted({**remote.known, **remote.alive}.values())
            for remote in self.domains.values()
            if remote.known
        ]
