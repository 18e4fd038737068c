"""Hold the state of one peer in the same failure domain."""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from ._failure_detector import ArrivalWindow
from ._membership_messages import Values


@unique
class PeerState(StrEnum):
    """Name the liveness states of a peer."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'


@dataclass(slots=True)
class Peer:
    """Hold what this node knows of another entry VM.

    `since_ms` is when the present state began, `queried` how often other
    members were asked about the peer while it was suspect.
    """

    name: str
    address: str
    window: ArrivalWindow
    since_ms: int
    state: PeerState = PeerState.DEAD
    incarnation: int = 0
    sequence: int = 0
    leaving: bool = False
    queried: int = 0
    values: Values = field(default_factory=dict)

    def is_newer(self, incarnation: int, sequence: int) -> bool:
        """Return whether a heartbeat is newer than the last known one.

        Any other incarnation of a dead peer counts as newer, since its
        replacement may run with a clock that is behind.
        """
        if self.state is PeerState.DEAD and incarnation != self.incarnation:
            return True
        return (incarnation, sequence) > (self.incarnation, self.sequence)
