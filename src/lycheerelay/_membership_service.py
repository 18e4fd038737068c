"""Run the membership of one entry VM over UDP."""

import contextlib
import logging
import socket
import threading
from collections.abc import Iterable
from typing import Final, final

from result import Err

from ._clock import MS_PER_SECOND, Clock
from ._members import MemberCounts
from ._membership import Datagram, Membership
from ._membership_messages import (
    MAX_DATAGRAM_BYTES,
    Values,
    decode,
    encode,
)
from ._membership_peers import PeerState
from ._membership_settings import MembershipSettings
from ._settings import NodeSettings
from ._traffic import Traffic
from ._vm_client import EntryVm

LOGGER: Final = logging.getLogger(__name__)
IP_UDP_HEADER_BYTES: Final = 28


@final
class MembershipService:
    """Report which entry VMs are alive, from datagrams between them.

    The UDP port has the same number as the HTTP port, so that one address
    serves for both.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        timing: MembershipSettings | None = None,
    ) -> None:
        """Start with the peers of the settings."""
        self.clock = clock
        now_ms = clock.now_ms()
        used = timing or MembershipSettings(settings.name, settings.domain)
        self.state = Membership(used, now_ms, now_ms, now_ms)
        self.identity = f'{settings.name}@{now_ms}'
        self.tick_s = used.tick_ms / MS_PER_SECOND
        self.lock = threading.Lock()
        self.sent_bytes = 0
        self.sent_messages = 0
        self.received_bytes = 0
        self.received_messages = 0
        self.rejected_messages = 0
        self.stopping = threading.Event()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.thread = threading.Thread(
            target=self.run,
            name='membership',
            daemon=True,
        )
        for name, domain, address in parse_peers(settings):
            self.state.add_seed(name, domain, address)

    def start(self, address: str) -> None:
        """Bind the UDP port of the HTTP address and start the thread."""
        host, _, port = address.rpartition(':')
        self.socket.bind((host, int(port)))
        self.thread.start()

    def stop(self) -> None:
        """Stop the thread and close the socket."""
        self.stopping.set()
        if self.thread.ident is not None:
            self.thread.join()
        self.socket.close()

    def leave(self) -> None:
        """Announce to every peer that this node takes no more work."""
        with self.lock:
            due = self.state.leave()
        self._send(due)

    def alive_in_domain(self) -> tuple[str, ...]:
        """Return the live entry VMs of this domain that are not leaving."""
        return self.alive_in(self.state.settings.domain)

    def known_in_domain(self) -> tuple[str, ...]:
        """Return every entry VM of this domain that may still run."""
        with self.lock:
            names = set(self.state.table.peers)
        return tuple(sorted({*names, self.state.settings.name}))

    def alive_in(self, domain: str) -> tuple[str, ...]:
        """Return the live entry VMs of a domain that are not leaving."""
        with self.lock:
            return self.state.alive_in(domain, self.clock.now_ms())

    def address_of(self, name: str) -> str | None:
        """Return the HTTP address of an entry VM, or None if unknown."""
        with self.lock:
            return self.state.address_of(name)

    def has_converged(self) -> bool:
        """Return whether live peers have had time to send a heartbeat."""
        return self.state.has_converged(self.clock.now_ms())

    def is_alive(self, identity: str) -> bool:
        """Return whether one run of an entry VM seems alive and not leaving."""
        name, _, incarnation = identity.partition('@')
        with self.lock:
            if name == self.state.settings.name:
                return identity == self.identity and not self.state.leaving
            peer = self.state.table.peers.get(name)
        if peer is None or peer.leaving or peer.state is PeerState.DEAD:
            return False
        return str(peer.incarnation) == incarnation

    def update_listed(self, entries: Iterable[EntryVm]) -> None:
        """Use the platform's VM list, which lags behind, as a hint."""
        with self.lock:
            self.state.update_listed(entries, self.clock.now_ms())

    def publish(self, key: str, value: str) -> bool:
        """Add a small value to the heartbeats; return whether it fits."""
        with self.lock:
            return self.state.publish(key, value)

    def seen_values(self) -> dict[str, Values]:
        """Return the values last received from each other node."""
        with self.lock:
            return self.state.seen_values()

    def counted(self) -> MemberCounts:
        """Return the counters since the start."""
        with self.lock:
            table = self.state.table
            return MemberCounts(
                table.suspicions,
                table.deaths,
                Traffic(
                    self.sent_messages,
                    self.sent_bytes,
                    self.received_bytes,
                ),
            )

    def run(self) -> None:
        """Receive and send until stopped."""
        next_ms = 0
        while not self.stopping.is_set():
            now_ms = self.clock.now_ms()
            if now_ms >= next_ms:
                next_ms = now_ms + self.state.settings.tick_ms
                with self.lock:
                    due = self.state.tick(now_ms)
                self._send(due)
            self._receive_for(max(next_ms - self.clock.now_ms(), 1))

    def _receive_for(self, wait_ms: int) -> None:
        self.socket.settimeout(wait_ms / MS_PER_SECOND)
        try:
            raw, source = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except OSError:
            return
        self.received_messages += 1
        self.received_bytes += len(raw) + IP_UDP_HEADER_BYTES
        message = decode(raw)
        if isinstance(message, Err):
            self.rejected_messages += 1
            return
        with self.lock:
            due = self.state.receive(
                message.ok_value,
                f'{source[0]}:{source[1]}',
                self.clock.now_ms(),
            )
        self._send(due)

    def _send(self, due: Iterable[Datagram]) -> None:
        for datagram in due:
            host, _, port = datagram.address.rpartition(':')
            raw = encode(datagram.message)
            self.sent_messages += 1
            self.sent_bytes += len(raw) + IP_UDP_HEADER_BYTES
            with contextlib.suppress(OSError):
                self.socket.sendto(raw, (host, int(port)))


def parse_peers(settings: NodeSettings) -> list[tuple[str, str, str]]:
    """Return name, domain and address of each peer in the settings.

    A peer is written as `name=address` or `name@domain=address`.
    """
    peers = []
    for entry in settings.peers:
        label, _, address = entry.partition('=')
        name, _, domain = label.partition('@')
        peers.append((name, domain or settings.domain, address))
    return peers
