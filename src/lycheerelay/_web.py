"""Serve JSON over HTTP from a table of routes."""

import json
import re
import threading
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Final, NamedTuple, final
from urllib.parse import parse_qsl

from cheroot import wsgi

from ._codec import Json, dumps
from ._codes import CODES, Code, Refusal

MAX_BODY_BYTES: Final = 1_048_576
MAX_HEADER_BYTES: Final = 16_384
SHUTDOWN_TIMEOUT_S: Final = 5
REQUEST_TIMEOUT_S: Final = 60
JSON_TYPE: Final = 'application/json'
MAX_QUERY_FIELDS: Final = 16


class Request(NamedTuple):
    """Hold one decoded request."""

    method: str
    path: str
    parts: dict[str, str]
    query: dict[str, str]
    body: Json

    def query_int(self, name: str, default: int) -> int:
        """Return a query field as a whole number, or the default."""
        text = self.query.get(name, '')
        return int(text) if text.isdigit() else default


class Response(NamedTuple):
    """Hold one response before encoding."""

    status: int
    body: Json = None
    text: str | None = None
    retry_after_ms: int = 0


Handler = Callable[[Request], Response]


class Route(NamedTuple):
    """Bind a method and a path pattern to a handler."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler


def route(method: str, template: str, handler: Handler) -> Route:
    """Build a route from a template such as `/v1/jobs/{job_id}`."""
    pattern = re.sub(r'\{(\w+)\}', r'(?P<\1>[^/]+)', template)
    return Route(method, re.compile(f'^{pattern}$'), handler)


def refused(refusal: Refusal) -> Response:
    """Turn a refusal into a response."""
    body = {
        'code': int(refusal.code),
        'detail': refusal.detail,
        'not_run': refusal.not_run,
    }
    if refusal.retry_after_ms:
        body['retry_after_ms'] = refusal.retry_after_ms
    status = CODES[refusal.code].http
    return Response(status, body, retry_after_ms=refusal.retry_after_ms)


@final
class WebServer:
    """Run the routes on a bounded pool of threads."""

    def __init__(
        self,
        host: str,
        port: int,
        routes: Iterable[Route],
        threads: int = 32,
    ) -> None:
        """Bind the address at once; port 0 takes a free one."""
        self.routes = tuple(routes)
        self.server = wsgi.Server(
            (host, port),
            self.answer,
            numthreads=threads,
            timeout=REQUEST_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            request_queue_size=256,
        )
        self.server.max_request_header_size = MAX_HEADER_BYTES
        self.server.max_request_body_size = MAX_BODY_BYTES
        self.server.prepare()
        self.thread = threading.Thread(
            target=self.server.serve,
            name='http',
            daemon=True,
        )

    @property
    def address(self) -> str:
        """Return host and port as text."""
        host, port = self.server.bind_addr[:2]
        return f'{host}:{port}'

    def start(self) -> None:
        """Serve from a thread of its own."""
        self.thread.start()

    def stop(self) -> None:
        """Close the listener and wait for requests in flight."""
        self.server.stop()
        self.thread.join(SHUTDOWN_TIMEOUT_S)

    def answer(self, environ: Any, start_response: Any) -> list[bytes]:
        """Answer one WSGI request."""
        response = self._dispatch(environ)
        payload, content_type = _encode(response)
        headers = [
            ('Content-Type', content_type),
            ('Content-Length', str(len(payload))),
        ]
        if response.retry_after_ms:
            seconds = -(-response.retry_after_ms // 1000)
            headers.append(('Retry-After', str(seconds)))
        status = HTTPStatus(response.status)
        start_response(f'{status.value} {status.phrase}', headers)
        return [payload]

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
        length = int(environ.get('CONTENT_LENGTH') or 0)
        if length > MAX_BODY_BYTES:
            detail = f'body: {length} bytes, at most {MAX_BODY_BYTES}'
            return refused(Refusal(Code.TOO_LARGE, detail, not_run=True))
        raw = environ['wsgi.input'].read(length) if length else b''
        try:
            body = json.loads(raw) if raw else None
            query = dict(
                parse_qsl(
                    environ.get('QUERY_STRING', ''),
                    max_num_fields=MAX_QUERY_FIELDS,
                ),
            )
        except ValueError as error:
            detail = f'body: {error}; expected JSON'
            return refused(Refusal(Code.BAD_FIELD, detail, not_run=True))
        request = Request(
            entry.method,
            environ['PATH_INFO'],
            parts,
            query,
            body,
        )
        return entry.handler(request)


def _encode(response: Response) -> tuple[bytes, str]:
    if response.text is not None:
        return response.text.encode(), 'text/plain; charset=utf-8'
    return dumps(response.body), JSON_TYPE
