"""Hear of the entry VMs of other failure domains."""

from dataclasses import dataclass, field
from typing import final

from ._membership_messages import Digest, Values


@dataclass(slots=True)
class RemoteDomain:
    """Hold another failure domain as its digests describe it."""

    known: dict[str, str] = field(default_factory=dict)
    alive: dict[str, str] = field(default_factory=dict)
    heard_ms: int = 0
    newest: dict[str, tuple[int, int]] = field(default_factory=dict)
    values: dict[str, Values] = field(default_factory=dict)


@final
class RemoteDomains:
    """Hold every other failure domain."""

    def __init__(self, fresh_ms: int) -> None:
        """Trust a digest for a time; after it, fall back to known names."""
        self.fresh_ms = fresh_ms
        self.domains: dict[str, RemoteDomain] = {}

    def introduce(self, name: str, domain: str, address: str) -> None:
        """Learn of a node from the settings or the platform's list."""
        remote = self.domains.setdefault(domain, RemoteDomain())
        remote.known[name] = address

    def drop(self, name: str) -> None:
        """Forget a node that the platform's list no longer names."""
        for remote in self.domains.values():
            for table in (remote.known, remote.alive, remote.newest):
                table.pop(name, None)
            remote.values.pop(name, None)

    def take(self, message: Digest, source: str, now_ms: int) -> None:
        """Take in one digest, unless a later one of its sender came."""
        remote = self.domains.setdefault(message.domain, RemoteDomain())
        age = (message.incarnation, message.sequence)
        if age <= remote.newest.get(message.node, (0, 0)):
            return
        remote.newest[message.node] = age
        remote.values[message.node] = message.values
        remote.alive = {**message.members, message.node: source}
        remote.known.update(remote.alive)
        remote.heard_ms = now_ms

    def alive_in(self, domain: str, now_ms: int) -> tuple[str, ...]:
        """Return the nodes of a domain that seem alive."""
        remote = self.domains.get(domain)
        if remote is None:
            return ()
        is_fresh = now_ms < remote.heard_ms + self.fresh_ms
        is_told = remote.alive and is_fresh
        return tuple(sorted(remote.alive if is_told else remote.known))

    def address_of(self, name: str) -> str | None:
        """Return the address of a node, where it is known."""
        for remote in self.domains.values():
            if name in remote.known:
                return remote.known[name]
        return None

    def seen_values(self) -> dict[str, Values]:
        """Return what each node was last heard to publish."""
        seen: dict[str, Values] = {}
        for remote in self.domains.values():
            seen.update(remote.values)
        return seen

    def targets(self) -> list[list[str]]:
        """Return the addresses of each domain that a digest could go to."""
        return [
            sorted({**remote.known, **remote.alive}.values())
            for remote in self.domains.values()
            if remote.known
        ]
