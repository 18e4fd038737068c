"""Track what one entry VM knows of each other one."""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from ._failure_detector import ArrivalWindow
from ._membership_messages import Values


@unique
class PeerState(StrEnum):
    """Name how a peer is judged."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'


@dataclass(slots=True)
class Peer:
    """Hold one entry VM of the same failure domain."""

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
        """Tell whether a heartbeat came later than all known ones.

        A dead peer may come back with a clock that is behind.
        """
        if self.state is PeerState.DEAD and incarnation != self.incarnation:
            return True
        return (incarnation, sequence) > (self.incarnation, self.sequence)
