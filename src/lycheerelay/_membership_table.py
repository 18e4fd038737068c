"""Track the liveness of the entry VMs of one failure domain."""

import random
from collections.abc import Iterator
from typing import final

from ._failure_detector import ArrivalWindow
from ._membership_peers import Peer, PeerState
from ._membership_settings import MembershipSettings


@final
class PeerTable:
    """Hold the peers and their transitions between alive, suspect and dead."""

    def __init__(
        self,
        settings: MembershipSettings,
        rng: random.Random,
        now_ms: int,
    ) -> None:
        """Start without peers."""
        self.settings = settings
        self.random = rng
        self.last_tick_ms = now_ms
        self.peers: dict[str, Peer] = {}
        self.suspicions = 0
        self.deaths = 0

    @property
    def period_ms(self) -> int:
        """Return the interval of heartbeats, longer among many peers."""
        scaled_ms = self.settings.per_peer_ms * len(self.peers)
        return max(self.settings.period_ms, scaled_ms)

    def add(self, name: str, address: str, now_ms: int) -> None:
        """Add a peer, or update the address of a dead one.

        The address of a live peer changes only by its heartbeats.
        """
        known = self.peers.get(name)
        if known is None:
            window = ArrivalWindow(self.period_ms, now_ms)
            self.peers[name] = Peer(name, address, window, now_ms)
        elif known.state is PeerState.DEAD:
            known.address = address

    def alive_names(self) -> list[str]:
        """Return the peers that seem alive and are not leaving."""
        return [
            peer.name
            for peer in self.peers.values()
            if peer.state is not PeerState.DEAD and not peer.leaving
        ]

    def drop_unlisted(self, name: str) -> None:
        """Remove a peer that is no longer listed, unless it is alive."""
        peer = self.peers.get(name)
        if peer is not None and peer.state is not PeerState.ALIVE:
            self.peers.pop(name)

    def record_heartbeat(
        self,
        peer: Peer,
        incarnation: int,
        sequence: int,
        now_ms: int,
    ) -> None:
        """Record a newer heartbeat of a peer and mark the peer alive."""
        if peer.state is PeerState.DEAD:
            peer.window = ArrivalWindow(self.period_ms, now_ms)
        peer.window.record_arrival(now_ms)
        peer.incarnation = incarnation
        peer.sequence = sequence
        if peer.state is not PeerState.ALIVE:
            peer.state = PeerState.ALIVE
            peer.since_ms = now_ms

    def evaluate(
        self,
        permanent: frozenset[str],
        now_ms: int,
    ) -> Iterator[Peer]:
        """Update the state of every peer; yield suspects to query about.

        Dead peers that are not `permanent` are removed after a time.
        """
        self._exclude_local_pause(now_ms)
        for peer in tuple(self.peers.values()):
            if self._update_state(peer, now_ms):
                yield peer
            if peer.state is PeerState.DEAD and peer.name not in permanent:
                self._remove_if_expired(peer, now_ms)

    def helpers(self, suspect: Peer) -> list[Peer]:
        """Choose random live peers to query about a suspect."""
        helpers = [
            peer
            for peer in self.peers.values()
            if peer.state is PeerState.ALIVE and peer is not suspect
        ]
        count = min(self.settings.helpers, len(helpers))
        return self.random.sample(helpers, count)

    def _exclude_local_pause(self, now_ms: int) -> None:
        # This node receives nothing while it is paused itself, so that time
        # must not count as missing heartbeats of its peers.
        passed_ms = now_ms - self.last_tick_ms
        self.last_tick_ms = now_ms
        if passed_ms <= 3 * self.settings.tick_ms:
            return
        for peer in self.peers.values():
            peer.window.exclude(passed_ms, now_ms)
            peer.since_ms = min(peer.since_ms + passed_ms, now_ms)

    def _update_state(self, peer: Peer, now_ms: int) -> bool:
        is_alive = peer.state is PeerState.ALIVE
        if is_alive and self._is_unresponsive(peer, now_ms):
            peer.state = PeerState.SUSPECT
            peer.since_ms = now_ms
            peer.queried = 0
            self.suspicions += 1
        if peer.state is not PeerState.SUSPECT:
            return False
        suspect_ms = now_ms - peer.since_ms
        if suspect_ms >= self.settings.confirm_ms:
            peer.state = PeerState.DEAD
            peer.since_ms = now_ms
            self.deaths += 1
            return False
        if suspect_ms * 2 < self.settings.confirm_ms * peer.queried:
            return False
        peer.queried += 1
        return True

    def _is_unresponsive(self, peer: Peer, now_ms: int) -> bool:
        return peer.window.phi(now_ms) >= self.settings.suspect_phi

    def _remove_if_expired(self, peer: Peer, now_ms: int) -> None:
        if now_ms > peer.since_ms + self.settings.forget_ms:
            self.peers.pop(peer.name)
