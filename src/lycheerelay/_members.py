"""Say which entry VMs are alive and where they are."""

from typing import Protocol, final

from ._settings import NodeSettings


class Members(Protocol):
    """Answer who is alive; each answer is only a suggestion."""

    def alive_in_domain(self) -> tuple[str, ...]:
        """Return the live entry VMs of this domain, this one included."""

    def known_in_domain(self) -> tuple[str, ...]:
        """Return every entry VM of this domain that may still run."""

    def alive_in(self, domain: str) -> tuple[str, ...]:
        """Return the live entry VMs of any domain."""

    def address_of(self, name: str) -> str | None:
        """Return the HTTP address of an entry VM, where it is known."""


@final
class StaticMembers:
    """Take every peer of the settings for alive."""

    def __init__(self, settings: NodeSettings) -> None:
        """Read the peers of the settings."""
        self.settings = settings
        self.addresses = dict(peer.split('=', 1) for peer in settings.peers)

    def alive_in_domain(self) -> tuple[str, ...]:
        """Return the configured entry VMs of this domain."""
        return self.settings.entry_names

    def known_in_domain(self) -> tuple[str, ...]:
        """Return the configured entry VMs of this domain."""
        return self.settings.entry_names

    def alive_in(self, domain: str) -> tuple[str, ...]:
        """Return the configured entry VMs of this domain only."""
        return self.alive_in_domain() if domain == self.settings.domain else ()

    def address_of(self, name: str) -> str | None:
        """Return the HTTP address of an entry VM, where it is known."""
        return self.addresses.get(name)
