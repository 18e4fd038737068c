"""Judge the entry VMs of one failure domain."""

import random
from collections.abc import Iterator
from typing import final

from ._failure_detector import ArrivalWindow
from ._membership_peers import Peer, PeerState
from ._membership_settings import MembershipSettings


@final
class PeerTable:
    """Hold the peers and move them between alive, suspect and dead."""

    def __init__(
        self,
        settings: MembershipSettings,
        rng: random.Random,
        now_ms: int,
    ) -> None:
        """Know nobody yet."""
        self.settings = settings
        self.random = rng
        self.ticked_ms = now_ms
        self.peers: dict[str, Peer] = {}
        self.suspicions = 0
        self.deaths = 0

    @property
    def period_ms(self) -> int:
        """Return the pace of heartbeats, slower among many peers."""
        spread_ms = self.settings.per_peer_ms * len(self.peers)
        return max(self.settings.period_ms, spread_ms)

    def introduce(self, name: str, address: str, now_ms: int) -> None:
        """Learn of a peer; only heartbeats move one that lives."""
        known = self.peers.get(name)
        if known is None:
            window = ArrivalWindow(self.period_ms, now_ms)
            self.peers[name] = Peer(name, address, window, now_ms)
        elif known.state is PeerState.DEAD:
            known.address = address

    def alive_names(self) -> list[str]:
        """Return the peers that seem alive and stay."""
        return [
            peer.name
            for peer in self.peers.values()
            if peer.state is not PeerState.DEAD and not peer.leaving
        ]

    def drop_unlisted(self, name: str) -> None:
        """Forget a peer that is silent and no longer listed."""
        peer = self.peers.get(name)
        if peer is not None and peer.state is not PeerState.ALIVE:
            self.peers.pop(name)

    def hear(
        self,
        peer: Peer,
        incarnation: int,
        sequence: int,
        now_ms: int,
    ) -> None:
        """Take a later heartbeat of a peer for a sign of life."""
        if peer.state is PeerState.DEAD:
            peer.window = ArrivalWindow(self.period_ms, now_ms)
        peer.window.arrive(now_ms)
        peer.incarnation = incarnation
        peer.sequence = sequence
        if peer.state is not PeerState.ALIVE:
            peer.state = PeerState.ALIVE
            peer.since_ms = now_ms

    def judge_all(
        self,
        kept: frozenset[str],
        now_ms: int,
    ) -> Iterator[Peer]:
        """Judge every peer; yield suspects to ask others about."""
        self._leave_out_pause(now_ms)
        for peer in tuple(self.peers.values()):
            if self._judge(peer, now_ms):
                yield peer
            if peer.state is PeerState.DEAD and peer.name not in kept:
                self._forget_if_old(peer, now_ms)

    def helpers(self, suspect: Peer) -> list[Peer]:
        """Choose whom to ask whether a suspect is still heard."""
        helpers = [
            peer
            for peer in self.peers.values()
            if peer.state is PeerState.ALIVE and peer is not suspect
        ]
        count = min(self.settings.helpers, len(helpers))
        return self.random.sample(helpers, count)

    def _leave_out_pause(self, now_ms: int) -> None:
        gap_ms = now_ms - self.ticked_ms
        self.ticked_ms = now_ms
        if gap_ms <= 3 * self.settings.tick_ms:
            return
        for peer in self.peers.values():
            peer.window.shift(gap_ms, now_ms)
            peer.since_ms = min(peer.since_ms + gap_ms, now_ms)

    def _judge(self, peer: Peer, now_ms: int) -> bool:
        if peer.state is PeerState.ALIVE and self._is_silent(peer, now_ms):
            peer.state = PeerState.SUSPECT
            peer.since_ms = now_ms
            peer.queried = 0
            self.suspicions += 1
        if peer.state is not PeerState.SUSPECT:
            return False
        silent_ms = now_ms - peer.since_ms
        if silent_ms >= self.settings.confirm_ms:
            peer.state = PeerState.DEAD
            peer.since_ms = now_ms
            self.deaths += 1
            return False
        if silent_ms * 2 < self.settings.confirm_ms * peer.queried:
            return False
        peer.queried += 1
        return True

    def _is_silent(self, peer: Peer, now_ms: int) -> bool:
        return peer.window.phi(now_ms) >= self.settings.suspect_phi

    def _forget_if_old(self, peer: Peer, now_ms: int) -> None:
        if now_ms > peer.since_ms + self.settings.forget_ms:
            self.peers.pop(peer.name)
