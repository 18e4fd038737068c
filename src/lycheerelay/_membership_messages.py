"""Define the datagrams of membership and their encoding."""

import json
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from ._codec import FieldError

MAX_DATAGRAM_BYTES: Final = 1400

Values = dict[str, str]


class Heartbeat(NamedTuple):
    """Announce that a node of the same failure domain is running."""

    node: str
    incarnation: int
    sequence: int
    domain: str
    leaving: int
    values: Values


class Query(NamedTuple):
    """Ask another node for its last heartbeat of a suspect."""

    node: str
    suspect: str


class HeartbeatRelay(NamedTuple):
    """Relay the newest heartbeat received from a suspect."""

    node: str
    suspect: str
    incarnation: int
    sequence: int


class Digest(NamedTuple):
    """Tell another failure domain which nodes are alive in this one."""

    node: str
    incarnation: int
    sequence: int
    domain: str
    values: Values
    members: Values


Message = Heartbeat | Query | HeartbeatRelay | Digest

MESSAGE_TYPES: Final[dict[str, type[Any]]] = {
    'h': Heartbeat,
    'q': Query,
    'v': HeartbeatRelay,
    'd': Digest,
}
TAGS: Final = {kind: tag for tag, kind in MESSAGE_TYPES.items()}
NUMBER_FIELDS: Final = {'incarnation': int, 'sequence': int, 'leaving': int}


def encode(message: Message) -> bytes:
    """Return a message as a compact JSON array that starts with its tag."""
    parts = [TAGS[type(message)], *message]
    return json.dumps(parts, separators=(',', ':')).encode()


def decode(raw: bytes) -> Result[Message, FieldError]:
    """Parse a datagram, which can come from any sender and hold any bytes."""
    try:
        parts = json.loads(raw)
    except (ValueError, RecursionError):
        return Err(FieldError('datagram', repr(raw)[:80], 'JSON'))
    if not isinstance(parts, list) or not parts:
        return Err(FieldError('datagram', repr(raw)[:80], 'an array'))
    kind = MESSAGE_TYPES.get(parts[0]) if isinstance(parts[0], str) else None
    if kind is None or len(parts) != len(kind._fields) + 1:
        return Err(FieldError('datagram', repr(raw)[:80], 'a known kind'))
    for name, part in zip(kind._fields, parts[1:], strict=True):
        if not _is_valid(name, part):
            return Err(FieldError(name, repr(part)[:80], 'another type'))
    return Ok(kind(*parts[1:]))


def _is_valid(name: str, part: object) -> bool:
    if name in {'values', 'members'}:
        return isinstance(part, dict) and all(
            isinstance(entry, str) for entry in part.values()
        )
    if isinstance(part, bool):
        return False
    return isinstance(part, NUMBER_FIELDS.get(name, str))
