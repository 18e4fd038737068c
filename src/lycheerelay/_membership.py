"""Track which entry VMs are alive, without sockets, threads or a clock.

The caller passes the time and the datagrams in and sends what is returned.
"""

import random
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple, final

from ._membership_messages import (
    Digest,
    Heartbeat,
    HeartbeatRelay,
    Message,
    Query,
    Values,
)
from ._membership_peers import PeerState
from ._membership_remote import RemoteDomains
from ._membership_settings import MembershipSettings
from ._membership_table import PeerTable
from ._vm_client import EntryVm

MAX_VALUES_BYTES: Final = 64
MAX_DIGEST_MEMBERS: Final = 24


class Datagram(NamedTuple):
    """Address a message to another entry VM."""

    address: str
    message: Message


@final
class Membership:
    """Track the entry VMs of this failure domain and of the others.

    A peer becomes suspect before it counts as dead, and other members are
    asked about it, as in Das, Gupta and Motivala, "SWIM", 2002. Time in
    which this node itself was paused does not count against its peers, as in
    Dadgar, Phillips and Currey, "Lifeguard", 2018.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        incarnation: int,
        seed: int,
        now_ms: int,
    ) -> None:
        """Start without peers."""
        self.settings = settings
        self.incarnation = incarnation
        self.random = random.Random(seed)
        self.started_ms = now_ms
        self.next_heartbeat_ms = now_ms
        self.next_digest_ms = now_ms
        self.sequence = 0
        self.leaving = False
        self.values: Values = {}
        self.table = PeerTable(settings, self.random, now_ms)
        self.seeds: set[str] = set()
        self.listed: set[str] = set()
        self.remotes = RemoteDomains(settings.digest_fresh_ms)
        self.heartbeat_rounds = 0

    def add_seed(self, name: str, domain: str, address: str) -> None:
        """Add a peer from the settings, which is never removed."""
        self.seeds.add(name)
        self._add_peer(name, domain, address, self.started_ms)

    def update_listed(self, entries: Iterable[EntryVm], now_ms: int) -> None:
        """Add listed VMs and drop peers that are no longer listed.

        The list lags behind, so a peer that still sends heartbeats stays.
        """
        listed = tuple(entries)
        gone = self.listed - {entry.name for entry in listed}
        self.listed = {entry.name for entry in listed}
        for entry in listed:
            self._add_peer(entry.name, entry.domain, entry.address, now_ms)
        for name in gone - self.seeds:
            self.table.drop_unlisted(name)
            self.remotes.drop(name)

    def publish(self, key: str, value: str) -> bool:
        """Add a small value to the heartbeats; return whether it fits."""
        values = {**self.values, key: value}
        size = sum(len(name) + len(text) for name, text in values.items())
        if size > MAX_VALUES_BYTES:
            return False
        self.values = values
        return True

    def has_converged(self, now_ms: int) -> bool:
        """Return whether live peers have had time to send a heartbeat."""
        return now_ms >= self.started_ms + self.settings.join_ms

    def leave(self) -> list[Datagram]:
        """Mark this node as leaving and return heartbeats to every peer."""
        self.leaving = True
        return list(self._heartbeats(everyone=True))

    def alive_in(self, domain: str, now_ms: int) -> tuple[str, ...]:
        """Return the entry VMs of a domain that seem alive and not leaving."""
        if domain == self.settings.domain:
            return self._alive_in_own_domain()
        return self.remotes.alive_in(domain, now_ms)

    def address_of(self, name: str) -> str | None:
        """Return the address of an entry VM, or None if unknown."""
        peer = self.table.peers.get(name)
        if peer is not None:
            return peer.address
        return self.remotes.address_of(name)

    def seen_values(self) -> dict[str, Values]:
        """Return the values last received from each other node."""
        seen = {name: peer.values for name, peer in self.table.peers.items()}
        return {**seen, **self.remotes.seen_values()}

    def tick(self, now_ms: int) -> list[Datagram]:
        """Evaluate peers and return the datagrams that are due."""
        due: list[Datagram] = []
        if now_ms >= self.next_heartbeat_ms:
            self.next_heartbeat_ms = now_ms + self.table.period_ms
            self.heartbeat_rounds += 1
            is_full = self.heartbeat_rounds % self.settings.dead_rounds == 0
            everyone = is_full or not self.has_converged(now_ms)
            due.extend(self._heartbeats(everyone=everyone))
        if now_ms >= self.next_digest_ms and not self.leaving:
            self.next_digest_ms = now_ms + self._jittered_digest_ms()
            due.extend(self._digests())
        due.extend(self._queries(now_ms))
        return due

    def receive(
        self,
        message: Message,
        source: str,
        now_ms: int,
    ) -> list[Datagram]:
        """Process one datagram and return the replies to send."""
        if message.node == self.settings.name:
            return []
        if isinstance(message, Heartbeat):
            self._process_heartbeat(message, source, now_ms)
        elif isinstance(message, HeartbeatRelay):
            self._process_heartbeat_relay(message, now_ms)
        elif isinstance(message, Digest):
            if message.domain != self.settings.domain:
                self.remotes.process_digest(message, source, now_ms)
        else:
            return list(self._answer_query(message, source, now_ms))
        return []

    def _add_peer(
        self,
        name: str,
        domain: str,
        address: str,
        now_ms: int,
    ) -> None:
        if name == self.settings.name:
            return
        if domain == self.settings.domain:
            self.table.add(name, address, now_ms)
        else:
            self.remotes.add(name, domain, address)

    def _jittered_digest_ms(self) -> int:
        return self.settings.digest_ms * self.random.randint(8, 12) // 10

    def _alive_in_own_domain(self) -> tuple[str, ...]:
        names = self.table.alive_names()
        if not self.leaving:
            names.append(self.settings.name)
        return tuple(sorted(names))

    def _process_heartbeat(
        self,
        message: Heartbeat,
        source: str,
        now_ms: int,
    ) -> None:
        if message.domain != self.settings.domain:
            return
        self.table.add(message.node, source, now_ms)
        peer = self.table.peers[message.node]
        if not peer.is_newer(message.incarnation, message.sequence):
            return
        peer.address = source
        peer.leaving = bool(message.leaving)
        peer.values = message.values
        self.table.record_heartbeat(
            peer,
            message.incarnation,
            message.sequence,
            now_ms,
        )

    def _process_heartbeat_relay(
        self, message: HeartbeatRelay, now_ms: int
    ) -> None:
        peer = self.table.peers.get(message.suspect)
        if peer is None or peer.state is not PeerState.SUSPECT:
            return
        if peer.is_newer(message.incarnation, message.sequence):
            self.table.record_heartbeat(
                peer,
                message.incarnation,
                message.sequence,
                now_ms,
            )

    def _answer_query(
        self,
        message: Query,
        source: str,
        now_ms: int,
    ) -> Iterator[Datagram]:
        peer = self.table.peers.get(message.suspect)
        if peer is None or peer.state is not PeerState.ALIVE:
            return
        yield Datagram(
            source,
            HeartbeatRelay(
                self.settings.name,
                peer.name,
                peer.incarnation,
                peer.sequence,
            ),
        )

    def _queries(self, now_ms: int) -> Iterator[Datagram]:
        permanent = frozenset(self.seeds | self.listed)
        for suspect in self.table.evaluate(permanent, now_ms):
            query = Query(self.settings.name, suspect.name)
            for helper in self.table.helpers(suspect):
                yield Datagram(helper.address, query)

    def _heartbeats(self, *, everyone: bool) -> Iterator[Datagram]:
        self.sequence += 1
        message = Heartbeat(
            self.settings.name,
            self.incarnation,
            self.sequence,
            self.settings.domain,
            int(self.leaving),
            self.values,
        )
        for peer in self.table.peers.values():
            if everyone or peer.state is not PeerState.DEAD:
                yield Datagram(peer.address, message)

    def _digests(self) -> Iterator[Datagram]:
        self.sequence += 1
        members = {
            name: self.table.peers[name].address
            for name in self._alive_in_own_domain()
            if name in self.table.peers
        }
        message = Digest(
            self.settings.name,
            self.incarnation,
            self.sequence,
            self.settings.domain,
            self.values,
            dict(sorted(members.items())[:MAX_DIGEST_MEMBERS]),
        )
        for addresses in self.remotes.targets():
            yield Datagram(self.random.choice(addresses), message)
