"""Serve HTTP on connections that report what they hold.

`serving.connections` decides which of them give way; the table of connections carries
its decisions out.
"""

import asyncio
from typing import Any, Final

from aiohttp import web

from ..serving.connections import ConnectionLoad, Stage
from ._connection_account import ConnectionAccount
from ._connection_table import ConnectionTable

# Bytes that one connection delivers at a time.
READ_BYTES: Final = 16_384
# Buffers of one connection, beyond which reading or writing pauses.
PARSED_BYTES: Final = 16_384
WRITE_BYTES: Final = 16_384
# Limits of the HTTP parser for parts of a head, above any limit of a whole one.
PARSER_HEAD_BYTES: Final = 16 * 1024 * 1024
# After an answer to an unfinished request, what still comes is dropped within
# these bounds, so that a reset does not overtake the answer.
LINGER_BYTES: Final = 262_144
LINGER_S: Final = 2
# Idle connections stay open for longer than callers pause, so that no request
# arrives while its connection is being closed.
IDLE_TIMEOUT_S: Final = 75

BAD_REQUEST: Final = 400
REQUEST_TIMEOUT: Final = 408
HEAD_TOO_LARGE: Final = 431
REASONS: Final = {
    REQUEST_TIMEOUT: 'Request Timeout',
    HEAD_TOO_LARGE: 'Request Header Fields Too Large',
}
# Errors of a request, not of the code that handles it.
PEER_ERRORS: Final = (web.RequestPayloadError, ConnectionError)
# Characters of a path that a log line may have.
MAX_LOGGED_ID: Final = 32
JOB_METHODS: Final = frozenset(('POST', 'GET', 'DELETE'))


class GuardedConnection(web.RequestHandler):
    """One connection, which reports what it holds."""

    def __init__(self, table: ConnectionTable, **options: Any) -> None:
        """Let the parser accept any head; `table` has the limits."""
        super().__init__(
            **options,
            read_bufsize=PARSED_BYTES,
            max_line_size=PARSER_HEAD_BYTES,
            max_field_size=PARSER_HEAD_BYTES,
            max_headers=PARSER_HEAD_BYTES,
            lingering_time=LINGER_S,
            keepalive_timeout=IDLE_TIMEOUT_S,
            access_log=None,  # type: ignore[arg-type]
        )
        self.table = table
        now_ms = table.now_ms()
        self.account = ConnectionAccount(now_ms, now_ms)
        # Body of the newest request.
        self.payload: Any = None
        # Whether a head that is complete may be over the limit.
        self.has_long_head = False
        # Bytes dropped since the connection was refused.
        self.dropped_bytes = 0
        self.is_refused = False

    @property
    def stage(self) -> Stage:
        """Return what the connection waits for."""
        if self.writing_paused:
            return Stage.ANSWER
        if self.is_in_body and self.account.unanswered <= 1:
            return Stage.BODY
        if self.account.unanswered:
            return Stage.HANDLING
        if self.account.head_bytes:
            return Stage.HEAD
        return Stage.IDLE if self._request_count else Stage.UNUSED

    @property
    def is_in_body(self) -> bool:
        """Return whether the newest request lacks a part of its body."""
        return self.payload is not None and not self.payload.is_eof()

    @property
    def is_unfinished(self) -> bool:
        """Return whether a time limit applies to the connection."""
        has_part = self.is_in_body or bool(self.account.head_bytes)
        return has_part or self.writing_paused

    @property
    def job_id(self) -> str:
        """Return the job of the current request, or an empty string."""
        request = self._current_request
        if request is None or request.method not in JOB_METHODS:
            return ''
        return request.path.rpartition('/')[2][:MAX_LOGGED_ID]

    def load(self) -> ConnectionLoad:
        """Return what the connection waits for and holds."""
        return ConnectionLoad(
            id(self),
            self.stage,
            self.account.held_bytes,
            self.account.received_bytes,
            self.account.begun_ms,
            self.account.progressed_ms,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the buffers of a new connection."""
        # asyncio reads at most this many bytes at a time.
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        if isinstance(transport, asyncio.Transport):
            transport.set_write_buffer_limits(WRITE_BYTES)
        super().connection_made(transport)
        self.table.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection, and what would keep it in a cycle."""
        self.table.remove(self, self.account.counted_bytes)
        serving_task = self._task_handler
        super().connection_lost(exc)
        self.payload = None
        if serving_task is not None and not self._request_in_progress:
            # It may have been woken for a request that nobody waits for now.
            serving_task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; none if the parser goes on after a pause."""
        if self.is_refused:
            self._drop(data)
            return
        count = self._request_count
        is_body = self.is_in_body
        now_ms = self.table.now_ms()
        if not is_body and not self.account.head_bytes:
            self.account.begin_request(now_ms)
        # The rest of a body is dropped once its request has an answer.
        is_kept = not is_body or self.account.unanswered > 0
        super().data_received(data)
        self.account.receive(data, now_ms, is_kept=is_kept)
        heads = self._request_count - count
        if heads or not is_body:
            self._take_head(data, heads)
        self._check()

    def pause_writing(self) -> None:
        """Notice that the peer does not read its answers."""
        super().pause_writing()
        self.account.progressed_ms = self.table.now_ms()
        self.table.watch()

    def resume_writing(self) -> None:
        """Notice that the peer reads again."""
        super().resume_writing()
        self.account.progressed_ms = self.table.now_ms()

    def hold_body(self, size: int) -> None:
        """Count the bytes of a body that a handler has read so far."""
        self.account.read_body(size, is_parser_empty=not self._messages)
        self.count()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Count an answer until the peer has taken it."""
        raw = getattr(resp, 'body', None)
        self.account.answer(len(raw) if isinstance(raw, bytes) else 0)
        self.count()
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self.account.finish_answer(self.table.now_ms())
            self.count()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a malformed request without a traceback in the log."""
        if status != BAD_REQUEST:
            return super().handle_error(request, status, exc, message)
        return self.refuse_request(status, 'malformed')

    def log_exception(self, *args: Any, **options: Any) -> None:
        """Log an error of a handler, but not one that the peer has caused."""
        if not isinstance(options.get('exc_info'), PEER_ERRORS):
            super().log_exception(*args, **options)

    def refuse_request(self, status: int, cause: str) -> web.Response:
        """Return the last answer of the connection."""
        self.table.report(self, cause, status)
        response = web.Response(status=status, text=cause)
        response.force_close()
        return response

    def cut(self, cause: str) -> None:
        """Close the connection at once, without an answer."""
        self.table.report(self, cause)
        self.table.remove(self, self.account.counted_bytes)
        self._abort()

    def end_overdue(self, stage: Stage) -> None:
        """End a connection that has reached a time limit."""
        if stage is Stage.HEAD:
            self._refuse_head(REQUEST_TIMEOUT, 'head_timeout')
        else:
            self.cut(f'{stage.value}_timeout')

    def count(self) -> None:
        """Tell the table what the connection holds now."""
        account = self.account
        change = account.held_bytes - account.counted_bytes
        if change and id(self) in self.table.open:
            account.counted_bytes += change
            self.table.change_held(change)

    def _take_head(self, piece: bytes, heads: int) -> None:
        if heads:
            limit = self.table.parts.find_limits().header_bytes
            size = self.account.head_bytes + len(piece)
            self.has_long_head = self.has_long_head or size > limit
        self.account.receive_head(piece, heads)
        if heads and self._messages:
            self.payload = self._messages[-1][1]

    def _check(self) -> None:
        limits = self.table.parts.find_limits()
        if self.account.head_bytes > limits.header_bytes:
            self._refuse_head(HEAD_TOO_LARGE, 'head_size')
            return
        self.count()
        if self.is_unfinished:
            self.table.watch()

    def _refuse_head(self, status: int, cause: str) -> None:
        if self.account.unanswered or self.transport is None:
            # This answer would come before those that are still expected.
            self.cut(cause)
            return
        self.table.report(self, cause, status)
        line = f'HTTP/1.1 {status} {REASONS[status]}\r\n'
        fields = 'Content-Length: 0\r\nConnection: close\r\n\r\n'
        self.transport.write(f'{line}{fields}'.encode())
        self.transport.write_eof()
        self.is_refused = True
        self.account.drop_all()
        self.count()
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_S, self._abort)

    def _drop(self, piece: bytes) -> None:
        self.dropped_bytes += len(piece)
        if self.dropped_bytes > LINGER_BYTES:
            self._abort()

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
