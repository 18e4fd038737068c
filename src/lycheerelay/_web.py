"""Serve JSON over HTTP from a list of routes."""

import json
import logging
import re
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Final, NamedTuple, final
from urllib.parse import parse_qsl

from cheroot import wsgi
from result import Err, Ok, Result

from ._codec import Json, dumps
from ._codes import CODES, Code, Refusal

LOGGER: Final = logging.getLogger(__name__)
MAX_BODY_BYTES: Final = 1_048_576
# Above this size Cheroot closes the connection itself, without a result code.
MAX_READ_BYTES: Final = 4 * MAX_BODY_BYTES
MAX_HEADER_BYTES: Final = 16_384
SHUTDOWN_TIMEOUT_S: Final = 5
REQUEST_TIMEOUT_S: Final = 60
JSON_TYPE: Final = 'application/json'
MAX_QUERY_FIELDS: Final = 16
MAX_INT_DIGITS: Final = 15
REQUEST_KEY: Final = 'lycheerelay.request'
DRAIN_POLL_S: Final = 0.01
WAKE_ACCEPT_LOOP_DELAY_S: Final = 0.02


class Request(NamedTuple):
    """Hold a decoded request."""

    method: str
    path: str
    parts: dict[str, str]
    query: dict[str, str]
    body: Json

    def query_int(self, name: str, default: int) -> int:
        """Return a query field as a whole number, or the default."""
        text = self.query.get(name, '')
        return int(text) if is_whole(text) else default


class Response(NamedTuple):
    """Hold a response before encoding."""

    status: int
    body: Json = None
    text: str | None = None
    retry_after_ms: int = 0


def is_whole(text: str) -> bool:
    """Return whether a text is a whole number within MAX_INT_DIGITS."""
    is_decimal = text.isascii() and text.isdecimal()
    return is_decimal and len(text) <= MAX_INT_DIGITS


Handler = Callable[[Request], Response]


class Route(NamedTuple):
    """Map an HTTP method and a path pattern to a handler."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler


def route(method: str, template: str, handler: Handler) -> Route:
    """Create a route from a template such as `/v1/jobs/{job_id}`."""
    pattern = re.sub(r'\{(\w+)\}', r'(?P<\1>[^/]+)', template)
    return Route(method, re.compile(f'^{pattern}$'), handler)


def refused(refusal: Refusal) -> Response:
    """Return the response for a refusal."""
    body = {
        'code': int(refusal.code),
        'detail': refusal.detail,
        'not_run': refusal.not_run,
    }
    if refusal.retry_after_ms:
        body['retry_after_ms'] = refusal.retry_after_ms
    status = CODES[refusal.code].http
    return Response(status, body, retry_after_ms=refusal.retry_after_ms)


class _RequestGateway(wsgi.Gateway_10):
    """Give the application access to the Cheroot request."""

    def get_environ(self) -> Any:
        """Return the WSGI environment with the request added to it."""
        environ: Any = super().get_environ()  # type: ignore[no-untyped-call]
        environ[REQUEST_KEY] = self.req
        return environ


@final
class WebServer:
    """Serve routes with a fixed-size thread pool."""

    def __init__(
        self,
        host: str,
        port: int,
        routes: Iterable[Route],
        threads: int = 32,
    ) -> None:
        """Bind the address; port 0 selects a free port."""
        self.routes = tuple(routes)
        self.in_flight = 0
        self.closing = False
        self.codes: Counter[int] = Counter()
        self.lock = threading.Lock()
        self.server = wsgi.Server(
            (host, port),
            self.handle_wsgi_request,
            numthreads=threads,
            timeout=REQUEST_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            request_queue_size=256,
        )
        self.server.gateway = _RequestGateway
        self.server.max_request_header_size = MAX_HEADER_BYTES
        self.server.max_request_body_size = MAX_READ_BYTES
        self.server.prepare()
        self.thread = threading.Thread(
            target=self.server.serve,
            name='http',
            daemon=True,
        )

    @property
    def address(self) -> str:
        """Return the bound address as `host:port`."""
        host, port = self.server.bind_addr[:2]
        return f'{host}:{port}'

    def start(self) -> None:
        """Start serving in a background thread."""
        self.thread.start()

    def close_after_responses(self) -> None:
        """Close each connection after its next response."""
        self.closing = True

    def drain(self, timeout_ms: int) -> bool:
        """Wait for requests in flight; return whether all of them ended."""
        self.closing = True
        until_s = time.monotonic() + timeout_ms / 1000
        while self.in_flight and time.monotonic() < until_s:
            time.sleep(DRAIN_POLL_S)
        return not self.in_flight

    def stop(self) -> None:
        """Close the listener and wait for requests in flight."""
        self.closing = True
        # The accept loop checks for the stop only every half second while it
        # is idle; a connection wakes it.
        wake_timer = threading.Timer(
            WAKE_ACCEPT_LOOP_DELAY_S, self._wake_accept_loop
        )
        wake_timer.start()
        self.server.stop()
        self.thread.join(SHUTDOWN_TIMEOUT_S)

    def handle_wsgi_request(
        self, environ: Any, start_response: Any
    ) -> list[bytes]:
        """Handle one WSGI request."""
        with self.lock:
            self.in_flight += 1
        try:
            return self._respond(environ, start_response)
        finally:
            with self.lock:
                self.in_flight -= 1

    def _respond(self, environ: Any, start_response: Any) -> list[bytes]:
        response = self._dispatch(environ)
        if isinstance(response.body, dict) and 'code' in response.body:
            with self.lock:
                self.codes[response.body['code']] += 1
        payload, content_type = _encode(response)
        headers = [
            ('Content-Type', content_type),
            ('Content-Length', str(len(payload))),
        ]
        if self.closing or _is_chunked(environ):
            environ[REQUEST_KEY].close_connection = True
        if response.retry_after_ms:
            seconds = -(-response.retry_after_ms // 1000)
            headers.append(('Retry-After', str(seconds)))
        status = HTTPStatus(response.status)
        start_response(f'{status.value} {status.phrase}', headers)
        return [payload]

    def _wake_accept_loop(self) -> None:
        try:
            socket.create_connection(self.server.bind_addr[:2], 1).close()
        except OSError:
            LOGGER.debug('listener is already closed')

    def _dispatch(self, environ: Any) -> Response:
        method = environ['REQUEST_METHOD']
        path = environ['PATH_INFO']
        for entry in self.routes:
            match = entry.pattern.match(path)
            if match is not None and entry.method == method:
                return self._handle(entry, environ, match.groupdict())
        detail = f'no route for {method} {path}'
        return refused(Refusal(Code.NOT_FOUND, detail, not_run=True))

    def _handle(
        self,
        entry: Route,
        environ: Any,
        parts: dict[str, str],
    ) -> Response:
        body = _read_body(environ)
        if isinstance(body, Err):
            return refused(body.err_value)
        try:
            query = dict(
                parse_qsl(
                    environ.get('QUERY_STRING', ''),
                    max_num_fields=MAX_QUERY_FIELDS,
                ),
            )
        except ValueError:
            detail = f'query: expected at most {MAX_QUERY_FIELDS} fields'
            return refused(Refusal(Code.TOO_LARGE, detail, not_run=True))
        request = Request(
            entry.method,
            environ['PATH_INFO'],
            parts,
            query,
            body.ok_value,
        )
        return _call_handler(entry.handler, request)


def _call_handler(handler: Handler, request: Request) -> Response:
    try:
        return handler(request)
    except ConnectionError:
        # The handler dropped the connection, so no response is sent.
        raise
    except Exception:
        # Callers get a result code even when a handler has a defect.
        LOGGER.exception('handler failed', extra={'path': request.path})
        detail = 'the request failed; it may have taken effect'
        return refused(Refusal(Code.INTERNAL, detail, retry_after_ms=1000))


def _is_chunked(environ: Any) -> bool:
    return 'HTTP_TRANSFER_ENCODING' in environ


def _read_body(environ: Any) -> Result[Json, Refusal]:
    if _is_chunked(environ):
        detail = (
            'header Transfer-Encoding: not supported, expected Content-Length'
        )
        return Err(Refusal(Code.BAD_FIELD, detail, not_run=True))
    text = environ.get('CONTENT_LENGTH') or '0'
    if not is_whole(text):
        detail = f'header Content-Length: got {text[:20]!r}, expected a number'
        return Err(Refusal(Code.BAD_FIELD, detail, not_run=True))
    length = int(text)
    if length > MAX_BODY_BYTES:
        detail = f'body: {length} bytes, at most {MAX_BODY_BYTES}'
        return Err(Refusal(Code.TOO_LARGE, detail, not_run=True))
    raw = environ['wsgi.input'].read(length) if length else b''
    try:
        return Ok(json.loads(raw) if raw else None)
    except (ValueError, RecursionError) as error:
        detail = f'body: {error}; expected JSON'
        return Err(Refusal(Code.BAD_FIELD, detail, not_run=True))


def _encode(response: Response) -> tuple[bytes, str]:
    if response.text is not None:
        return response.text.encode(), 'text/plain; charset=utf-8'
    return dumps(response.body), JSON_TYPE
