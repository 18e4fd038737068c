"""Serve the HTTP requests of callers and the platform's readiness check."""

import logging
import string
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, final

import orjson
from aiohttp import web
from result import Err

from .._clock import Clock
from .._registry import Registry
from ..serving import (
    ConfigWatch,
    Queue,
    QueueTable,
    RequestHandler,
    RequestResult,
    RequestStatus,
)
from ._decode import decode_job

logger = logging.getLogger('lycheerelay.ingress')

READINESS_PATH: Final = '/v1/readiness'
TIMEOUT_HEADER: Final = 'X-Deadline-Milliseconds'
# Assumed timeout of callers that do not send one.
DEFAULT_TIMEOUT_MS: Final = 3000
JOB_ID_DIGITS: Final = 16
HEX_DIGITS: Final = frozenset(string.hexdigits)

HTTP_STATUSES: Final = {
    RequestStatus.OK: 200,
    RequestStatus.REFUSED: 503,
    RequestStatus.UNKNOWN_OUTCOME: 504,
    RequestStatus.NO_SUCH_JOB: 410,
    RequestStatus.UNAVAILABLE: 503,
    RequestStatus.TOO_LATE: 429,
    RequestStatus.OVER_RATE: 429,
}
# Responses with these statuses carry a Retry-After header.
RETRYABLE_ERRORS: Final = {
    RequestStatus.REFUSED: 'the store is unavailable',
    RequestStatus.UNAVAILABLE: 'the owner is unavailable',
    RequestStatus.TOO_LATE: 'the job cannot finish in time',
    RequestStatus.OVER_RATE: (
        'the tenant is over its rate and capacity is short; '
        'the job was not stored and has not run'
    ),
}
NOT_FOUND: Final = 404
BAD_REQUEST: Final = 400
CONTENT_TOO_LARGE: Final = 413
METHOD_NOT_ALLOWED: Final = 405
SERVICE_UNAVAILABLE: Final = 503


class Target(NamedTuple):
    """Job of a request, and the configuration that it was matched against."""

    queue: Queue
    job_id: str
    table: QueueTable


@final
class Ingress:
    """Translate HTTP requests of callers for the request handler."""

    def __init__(
        self,
        handler: RequestHandler,
        config: ConfigWatch,
        clock: Clock,
        is_ready: Callable[[], bool],
    ) -> None:
        """Route requests by the current version of `config`."""
        self.handler = handler
        self.config = config
        self.clock = clock
        self.is_ready = is_ready
        self.closing = False
        self.requests_in_flight = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request of a caller."""
        self.requests_in_flight += 1
        try:
            response = await self._route(request)
        finally:
            self.requests_in_flight -= 1
        if self.closing:
            response.force_close()
        return response

    async def handle_readiness(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Respond whether this VM accepts new connections."""
        if request.path == READINESS_PATH and self.is_ready():
            return web.Response()
        return web.Response(status=SERVICE_UNAVAILABLE)

    async def _route(self, request: web.BaseRequest) -> web.Response:
        table = self.config.table
        if table is None:
            return _error_response(
                SERVICE_UNAVAILABLE, 'no configuration loaded yet', 1
            )
        host = (request.headers.get('Host') or '').partition(':')[0]
        queue = table.find(host, request.path)
        if queue is None:
            return _error_response(NOT_FOUND, 'no such queue')
        job_id = request.path[len(queue.prefix) :]
        if not job_id and request.method == 'GET':
            outcome = await self.handler.waiting(
                queue.policy.name, _timeout_ms(request)
            )
            return _outcome_response(outcome, 'waiting')
        if len(job_id) != JOB_ID_DIGITS or not HEX_DIGITS.issuperset(job_id):
            return _error_response(
                NOT_FOUND, 'a job id has 16 hexadecimal digits'
            )
        handler = METHODS.entries.get(request.method)
        if handler is None:
            return _error_response(
                METHOD_NOT_ALLOWED,
                'method not allowed: use POST, GET or DELETE',
            )
        return await handler(self, request, Target(queue, job_id, table))


MethodHandler = Callable[
    ['Ingress', web.BaseRequest, 'Target'], Awaitable[web.Response]
]
METHODS: Final[Registry[str, MethodHandler]] = Registry('method')


@METHODS.register('POST')
async def submit(
    ingress: Ingress,
    request: web.BaseRequest,
    target: Target,
) -> web.Response:
    """Submit a job."""
    raw = await request.read()
    if len(raw) > target.table.max_body_bytes:
        return _error_response(
            CONTENT_TOO_LARGE, 'the request body is too large'
        )
    decoded = decode_job(
        raw,
        target.job_id,
        target.queue.policy,
        ingress.clock.now_ms(),
    )
    if isinstance(decoded, Err):
        logger.info(
            'submission_malformed',
            extra={'job': target.job_id, 'error': decoded.err_value},
        )
        return _error_response(BAD_REQUEST, decoded.err_value)
    outcome = await ingress.handler.submit(
        decoded.ok_value, _timeout_ms(request)
    )
    return _outcome_response(outcome, '')


@METHODS.register('GET')
async def state(
    ingress: Ingress,
    request: web.BaseRequest,
    target: Target,
) -> web.Response:
    """Return the state of a job."""
    outcome = await ingress.handler.state(
        target.job_id,
        target.queue.policy.name,
        _timeout_ms(request),
    )
    return _outcome_response(outcome, 'state')


@METHODS.register('DELETE')
async def cancel(
    ingress: Ingress,
    request: web.BaseRequest,
    target: Target,
) -> web.Response:
    """Cancel a job."""
    outcome = await ingress.handler.cancel(
        target.job_id,
        target.queue.policy.name,
        _timeout_ms(request),
    )
    return _outcome_response(outcome, '')


def _timeout_ms(request: web.BaseRequest) -> int:
    text = request.headers.get(TIMEOUT_HEADER, '')
    return int(text) if text.isdecimal() else DEFAULT_TIMEOUT_MS


def _outcome_response(outcome: RequestResult, field: str) -> web.Response:
    status = HTTP_STATUSES[outcome.status]
    if outcome.status in RETRYABLE_ERRORS:
        text = RETRYABLE_ERRORS[outcome.status]
        return _error_response(status, text, outcome.retry_after_s)
    if outcome.status is not RequestStatus.OK:
        return _error_response(status, outcome.status.value)
    body = {field: outcome.content} if field else {}
    return _json_response(status, body)


def _error_response(
    status: int, error: str, retry_after_s: int = 0
) -> web.Response:
    response = _json_response(status, {'error': error})
    if retry_after_s:
        response.headers['Retry-After'] = str(retry_after_s)
    return response


def _json_response(status: int, body: dict[str, object]) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps(body),
        content_type='application/json',
    )
