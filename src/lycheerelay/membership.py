"""Track which entry VMs are alive."""

from ._failure_detector import ArrivalWindow
from ._members import Members, StaticMembers
from ._membership import Datagram, Membership
from ._membership_messages import (
    Digest,
    Heartbeat,
    HeartbeatRelay,
    Message,
    Query,
    decode,
    encode,
)
from ._membership_peers import Peer, PeerState
from ._membership_service import MembershipService
from ._membership_settings import MembershipSettings

__all__ = (
    'ArrivalWindow',
    'Datagram',
    'Digest',
    'Heartbeat',
    'Members',
    'Membership',
    'MembershipService',
    'MembershipSettings',
    'Message',
    'Peer',
    'PeerState',
    'Query',
    'StaticMembers',
    'HeartbeatRelay',
    'decode',
    'encode',
)
