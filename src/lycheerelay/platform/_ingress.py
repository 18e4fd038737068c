"""Serve the HTTP requests of callers and the platform's readiness check."""

import logging
import string
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, final

import orjson
from aiohttp import web
from result import Err, Ok, Result

from .._clock import Clock
from .._registry import Registry
from ..serving import (
    KEY_HEADER,
    STATUS_OF_CAUSE,
    ConfigWatch,
    Identity,
    Queue,
    QueueTable,
    RequestHandler,
    RequestResult,
    RequestStatus,
)
from ..serving.connections import BodyTurns
from ._bodies import BodyFault, read_body
from ._decode import decode_job

logger = logging.getLogger('lycheerelay.ingress')

READINESS_PATH: Final = '/v1/readiness'
TIMEOUT_HEADER: Final = 'X-Deadline-Milliseconds'
# Assumed timeout of callers that do not send one.
DEFAULT_TIMEOUT_MS: Final = 3000
# Longest time that a request is worked on, and the digits of a plausible one.
MAX_TIMEOUT_MS: Final = 60_000
MAX_TIMEOUT_DIGITS: Final = 9
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
    RequestStatus.KEY_REFUSED: 401,
    RequestStatus.CONFIG_TOO_OLD: 503,
    RequestStatus.BUSY: 503,
    RequestStatus.OVER_QUOTA: 429,
    RequestStatus.NEVER_STORED: 413,
    RequestStatus.TOO_MANY_CANCELS: 503,
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
    RequestStatus.BUSY: (
        'too many large jobs wait; the job was not stored and has not run'
    ),
    RequestStatus.TOO_MANY_CANCELS: (
        'too many jobs that are not known were cancelled; '
        'this cancellation was not stored'
    ),
    RequestStatus.CONFIG_TOO_OLD: (
        'the configuration is too old to check the key; the request has not run'
    ),
}
FINAL_ERRORS: Final = {
    RequestStatus.KEY_REFUSED: f'{KEY_HEADER}: the key is missing or unknown',
}
NOT_FOUND: Final = 404
BAD_REQUEST: Final = 400
METHOD_NOT_ALLOWED: Final = 405
SERVICE_UNAVAILABLE: Final = 503
BODY_ERRORS: Final = {
    BodyFault.TOO_LARGE: 'the request body is too large',
    BodyFault.MALFORMED: 'the request body is malformed or incomplete',
}


class Target(NamedTuple):
    """Queue, job and caller of a request, by one version of the configuration.

    `job_id` is the rest of the path and may be empty or malformed. `raw` is the
    body of a submission.
    """

    queue: Queue
    job_id: str
    table: QueueTable
    identity: Identity
    raw: bytes = b''


@final
class Ingress:
    """Translate HTTP requests of callers for the request handler."""

    def __init__(
        self,
        handler: RequestHandler,
        config: ConfigWatch,
        clock: Clock,
        is_ready: Callable[[], bool],
        turns: BodyTurns,
    ) -> None:
        """Route requests by the current version of `config`."""
        self.turns = turns
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

    def admit(self, request: web.BaseRequest) -> Result[Target, web.Response]:
        """Return the queue and the caller of a request, or the refusal."""
        table = self.config.table
        if table is None:
            return Err(
                _error_response(
                    SERVICE_UNAVAILABLE, 'no configuration loaded yet', 1
                )
            )
        host = (request.headers.get('Host') or '').partition(':')[0]
        queue = table.find(host, request.path)
        if queue is None:
            return Err(_error_response(NOT_FOUND, 'no such queue'))
        key = request.headers.get(KEY_HEADER, '')
        job_id = request.path[len(queue.prefix) :]
        named_job = job_id if _is_job_id(job_id) else ''
        identified = self.handler.checks.identify(table, queue, key, named_job)
        if isinstance(identified, Err):
            status = STATUS_OF_CAUSE[identified.err_value.cause]
            return Err(_outcome_response(RequestResult(status), ''))
        return Ok(Target(queue, job_id, table, identified.ok_value))

    async def _route(self, request: web.BaseRequest) -> web.Response:
        admitted = self.admit(request)
        raw = b''
        if isinstance(admitted, Ok) and request.method == 'POST':
            limits = admitted.ok_value.table.request_limits
            body = await read_body(request, limits.body_bytes)
            if isinstance(body, Err):
                return _unread_body_response(body.err_value)
            raw = body.ok_value
            # The body may arrive much later than the header, and the key may be
            # revoked in between.
            admitted = self.admit(request)
        if isinstance(admitted, Err):
            return admitted.err_value
        return await self._dispatch(
            request, admitted.ok_value._replace(raw=raw)
        )

    async def _dispatch(
        self, request: web.BaseRequest, target: Target
    ) -> web.Response:
        job_id = target.job_id
        if not job_id and request.method == 'GET':
            outcome = await self.handler.waiting(
                target.queue.policy.name,
                _timeout_ms(request),
                target.identity,
            )
            return _outcome_response(outcome, 'waiting')
        if not _is_job_id(job_id):
            return _error_response(
                NOT_FOUND, 'a job id has 16 hexadecimal digits'
            )
        handler = METHODS.entries.get(request.method)
        if handler is None:
            return _error_response(
                METHOD_NOT_ALLOWED,
                'method not allowed: use POST, GET or DELETE',
            )
        return await handler(self, request, target)


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
    timeout_ms = _timeout_ms(request)
    begun_ms = ingress.clock.now_ms()
    if ingress.turns.expect_wait_ms(len(target.raw)) > timeout_ms:
        outcome = await ingress.handler.refuse_busy(
            target.job_id, target.queue.policy.name, target.identity
        )
        return _outcome_response(outcome, '')
    try:
        async with ingress.turns.turn(len(target.raw), timeout_ms):
            waited_ms = ingress.clock.now_ms() - begun_ms
            return await _submit_body(ingress, target, timeout_ms - waited_ms)
    except TimeoutError:
        logger.info(
            'submission_not_begun',
            extra={
                'job': target.job_id,
                'size': len(target.raw),
                'waited_ms': timeout_ms,
            },
        )
        unknown = RequestResult(RequestStatus.UNKNOWN_OUTCOME)
        return _outcome_response(unknown, '')


async def _submit_body(
    ingress: Ingress, target: Target, timeout_ms: int
) -> web.Response:
    begun_ms = ingress.clock.now_ms()
    decoded = decode_job(
        target.raw,
        target.job_id,
        target.queue.policy,
        begun_ms,
        target.identity.tenant or '',
    )
    ingress.turns.report_work(len(target.raw), begun_ms)
    if isinstance(decoded, Err):
        logger.info(
            'submission_malformed',
            extra={'job': target.job_id, 'error': decoded.err_value},
        )
        return _error_response(BAD_REQUEST, decoded.err_value)
    outcome = await ingress.handler.submit(
        decoded.ok_value, timeout_ms, target.identity
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
        target.identity,
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
        target.identity,
    )
    return _outcome_response(outcome, '')


def _is_job_id(text: str) -> bool:
    return len(text) == JOB_ID_DIGITS and HEX_DIGITS.issuperset(text)


def _timeout_ms(request: web.BaseRequest) -> int:
    text = request.headers.get(TIMEOUT_HEADER, '')
    if not text.isdecimal():
        return DEFAULT_TIMEOUT_MS
    is_long = len(text) > MAX_TIMEOUT_DIGITS
    return MAX_TIMEOUT_MS if is_long else min(int(text), MAX_TIMEOUT_MS)


def _outcome_response(outcome: RequestResult, field: str) -> web.Response:
    status = HTTP_STATUSES[outcome.status]
    if outcome.status in RETRYABLE_ERRORS:
        text = RETRYABLE_ERRORS[outcome.status]
        return _error_response(status, text, outcome.retry_after_s)
    if outcome.status in {RequestStatus.OVER_QUOTA, RequestStatus.NEVER_STORED}:
        # No Retry-After: the job cannot be served later as it is.
        return _error_response(status, outcome.content)
    if outcome.status is not RequestStatus.OK:
        text = FINAL_ERRORS.get(outcome.status, outcome.status.value)
        return _error_response(status, text)
    body = {field: outcome.content} if field else {}
    return _json_response(status, body)


def _unread_body_response(fault: BodyFault) -> web.Response:
    response = _error_response(fault.value, BODY_ERRORS[fault])
    response.force_close()
    return response


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
