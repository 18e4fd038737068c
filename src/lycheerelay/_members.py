"""Say which entry VMs are alive and where they are."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol, final

from ._settings import NodeSettings
from ._traffic import Traffic
from ._vm_client import EntryVm


def name_of(identity: str) -> str:
    """Return the name of the entry VM that an identity is one run of."""
    return identity.partition('@')[0]


class MemberCounts(NamedTuple):
    """Count what membership saw and sent."""

    suspicions: int = 0
    deaths: int = 0
    traffic: Traffic = Traffic()


class Members(Protocol):
    """Answer who is alive; each answer is only a suggestion.

    An identity is `name@incarnation`: it names one run of an entry VM.
    """

    identity: str

    def alive_in_domain(self) -> tuple[str, ...]:
        """Return the live entry VMs of this domain, this one included."""

    def known_in_domain(self) -> tuple[str, ...]:
        """Return every entry VM of this domain that may still run."""

    def alive_in(self, domain: str) -> tuple[str, ...]:
        """Return the live entry VMs of any domain."""

    def address_of(self, name: str) -> str | None:
        """Return the HTTP address of an entry VM, where it is known."""

    def is_alive(self, identity: str) -> bool:
        """Tell whether one run of an entry VM seems alive and stays."""

    def is_settled(self) -> bool:
        """Tell whether living peers had time to be heard."""

    def update_listed(self, entries: Iterable[EntryVm]) -> None:
        """Use the platform's lagging list as a hint."""

    def publish(self, key: str, value: str) -> bool:
        """Let other nodes see a small value; tell whether it fits."""

    def seen_values(self) -> dict[str, dict[str, str]]:
        """Return what each other node was last heard to publish."""

    def leave(self) -> None:
        """Tell every peer that this node takes no more work."""

    def stop(self) -> None:
        """Fall silent."""

    def counted(self) -> MemberCounts:
        """Return the counters since the start."""


@final
class StaticMembers:
    """Take every peer of the settings for alive."""

    def __init__(self, settings: NodeSettings) -> None:
        """Read the peers of the settings."""
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
        """Return the HTTP address of an entry VM, where it is known."""
        return self.addresses.get(name)

    def is_alive(self, identity: str) -> bool:
        """Take every configured entry VM for alive."""
        return identity in self.alive_in_domain()

    def is_settled(self) -> bool:
        """Need no time to hear anybody."""
        return True

    def update_listed(self, entries: Iterable[EntryVm]) -> None:
        """Keep to the settings."""

    def publish(self, key: str, value: str) -> bool:
        """Tell nobody."""
        return True

    def seen_values(self) -> dict[str, dict[str, str]]:
        """Hear of nobody's values."""
        return {}

    def leave(self) -> None:
        """Remember that this node goes."""
        self.leaving = True

    def stop(self) -> None:
        """Need not fall silent."""

    def counted(self) -> MemberCounts:
        """Count nothing."""
        return MemberCounts()
