"""Report which entry VMs are alive and their addresses."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol, final

from ._settings import NodeSettings
from ._traffic import Traffic
from ._vm_client import EntryVm


def name_of(identity: str) -> str:
    """Return the entry VM's name from an identity `name@incarnation`."""
    return identity.partition('@')[0]


class MemberCounts(NamedTuple):
    """Count the suspicions, the deaths and the traffic of membership."""

    suspicions: int = 0
    deaths: int = 0
    traffic: Traffic = Traffic()


class Members(Protocol):
    """Report which entry VMs seem alive; any answer can be out of date.

    An identity, `name@incarnation`, names one run of an entry VM.
    """

    identity: str

    def alive_in_domain(self) -> tuple[str, ...]:
        """Return the live entry VMs of this domain, including this one."""

    def known_in_domain(self) -> tuple[str, ...]:
        """Return every entry VM of this domain that may still run."""

    def alive_in(self, domain: str) -> tuple[str, ...]:
        """Return the live entry VMs of a domain."""

    def address_of(self, name: str) -> str | None:
        """Return the HTTP address of an entry VM, or None if unknown."""

    def is_alive(self, identity: str) -> bool:
        """Return whether one run of an entry VM seems alive and not leaving."""

    def has_converged(self) -> bool:
        """Return whether live peers have had time to send a heartbeat."""

    def update_listed(self, entries: Iterable[EntryVm]) -> None:
        """Use the platform's VM list, which lags behind, as a hint."""

    def publish(self, key: str, value: str) -> bool:
        """Publish a small value to other nodes; return whether it fits."""

    def seen_values(self) -> dict[str, dict[str, str]]:
        """Return the values last received from each other node."""

    def leave(self) -> None:
        """Announce to every peer that this node takes no more work."""

    def stop(self) -> None:
        """Stop sending and receiving."""

    def counted(self) -> MemberCounts:
        """Return the counters since the start."""


@final
class StaticMembers:
    """Report every peer of the settings as alive."""

    def __init__(self, settings: NodeSettings) -> None:
        """Read the peers from the settings."""
        self.settings = settings
        self.identity = settings.name
        self.leaving = False
        pairs = (peer.split('=', 1) for peer in settings.peers)
        self.addresses = {
            label.partition('@')[0]: address for label, address in pairs
        }

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
        """Return the HTTP address of an entry VM, or None if unknown."""
        return self.addresses.get(name)

    def is_alive(self, identity: str) -> bool:
        """Return whether the entry VM is configured in this domain."""
        return identity in self.alive_in_domain()

    def has_converged(self) -> bool:
        """Return True, since the peers are fixed."""
        return True

    def update_listed(self, entries: Iterable[EntryVm]) -> None:
        """Ignore the list; only the settings count."""

    def publish(self, key: str, value: str) -> bool:
        """Accept the value without sending it."""
        return True

    def seen_values(self) -> dict[str, dict[str, str]]:
        """Return no values, since none are exchanged."""
        return {}

    def leave(self) -> None:
        """Mark this node as leaving."""
        self.leaving = True

    def stop(self) -> None:
        """Do nothing, since there is no connection."""

    def counted(self) -> MemberCounts:
        """Return counters of 0."""
        return MemberCounts()
