"""Count what one connection holds and how far its newest request has come."""

from dataclasses import dataclass

# Memory of a parsed header field beside its bytes.
FIELD_BYTES = 400


@dataclass(slots=True)
class ConnectionAccount:
    """Bytes that a connection holds, and times in ms.

    `begun_ms` and `received_bytes` are those of the newest request that has begun.
    """

    begun_ms: int
    progressed_ms: int
    # Received bytes of a head that is not complete.
    head_bytes: int = 0
    # Received bytes that have not been parsed.
    waiting_bytes: int = 0
    # Parsed bytes that nobody has read yet, with the cost of fields.
    unread_bytes: int = 0
    body_bytes: int = 0
    answer_bytes: int = 0
    received_bytes: int = 0
    # Requests whose head is complete and that have no answer yet.
    unanswered: int = 0
    # Held bytes that the table of connections knows of.
    counted_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes that the connection holds."""
        received_bytes = self.waiting_bytes + self.unread_bytes
        return received_bytes + self.body_bytes + self.answer_bytes

    def begin_request(self, now_ms: int) -> None:
        """Notice that the next byte is the first one of a request."""
        self.begun_ms = now_ms
        self.received_bytes = 0

    def receive(self, piece: bytes, now_ms: int, *, is_kept: bool) -> None:
        """Count received bytes, as held unless they are dropped."""
        self.progressed_ms = now_ms
        self.received_bytes += len(piece)
        if is_kept:
            self.unread_bytes += len(piece)

    def receive_head(self, piece: bytes, heads: int) -> None:
        """Count bytes of heads, of which so many are complete now."""
        # Empty lines and colons in values are no fields.
        fields = min(piece.count(b'\n'), piece.count(b':'))
        self.unread_bytes += fields * FIELD_BYTES
        if heads:
            self.head_bytes = 0
            self.unanswered += heads
        else:
            self.head_bytes += len(piece)

    def read_body(self, size: int, *, is_parser_empty: bool) -> None:
        """Count a body of which a handler has read so many bytes."""
        self.body_bytes = size
        if is_parser_empty:
            self.unread_bytes = 0

    def answer(self, size: int) -> None:
        """Count an answer that is sent."""
        self.answer_bytes = size

    def finish_answer(self, now_ms: int) -> None:
        """Notice that the peer has taken an answer."""
        self.progressed_ms = now_ms
        # Requests that wait behind this one hold their share.
        requests_bytes = self.unread_bytes - self.head_bytes
        self.unread_bytes -= requests_bytes // max(self.unanswered, 1)
        self.unanswered -= 1
        self.answer_bytes = 0
        self.body_bytes = 0

    def drop_all(self) -> None:
        """Notice that what was received is dropped."""
        self.head_bytes = 0
        self.unread_bytes = 0
