"""Answer callers and the platform's readiness question."""

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

READY_PATH: Final = '/v1/readiness'
TIMEOUT_HEADER: Final = 'X-Deadline-Milliseconds'
# Callers that do not say how long they wait are taken to wait so long, in ms.
REQUEST_TIMEOUT_MS: Final = 3000
ID_DIGITS: Final = 16
HEX_DIGITS: Final = frozenset(string.hexdigits)

STATUSES: Final = {
    RequestStatus.OK: 200,
    RequestStatus.REFUSED: 503,
    RequestStatus.UNKNOWN_OUTCOME: 504,
    RequestStatus.NO_SUCH_JOB: 410,
    RequestStatus.UNAVAILABLE: 503,
    RequestStatus.TOO_LATE: 429,
}
# Callers are told when to come back after these.
RETRY_TEXTS: Final = {
    RequestStatus.REFUSED: 'the store is away',
    RequestStatus.UNAVAILABLE: 'the owner is away',
    RequestStatus.TOO_LATE: 'the job could only end too late',
}
NO_QUEUE: Final = 404
BAD_BODY: Final = 400
TOO_LARGE: Final = 413
BAD_METHOD: Final = 405
UNAVAILABLE: Final = 503


class Target(NamedTuple):
    """Name the job of a request and the configuration that decided."""

    queue: Queue
    job_id: str
    table: QueueTable


@final
class Ingress:
    """Translate callers' requests into requests to the request handler."""

    def __init__(
        self,
        handler: RequestHandler,
        config: ConfigWatch,
        clock: Clock,
        is_ready: Callable[[], bool],
    ) -> None:
        """Serve by the newest configuration."""
        self.handler = handler
        self.config = config
        self.clock = clock
        self.is_ready = is_ready
        self.closing = False
        self.active = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of a caller."""
        self.active += 1
        try:
            response = await self._answer(request)
        finally:
            self.active -= 1
        if self.closing:
            response.force_close()
        return response

    async def ready(self, request: web.BaseRequest) -> web.StreamResponse:
        """Tell whether new channels are welcome."""
        if request.path == READY_PATH and self.is_ready():
            return web.Response()
        return web.Response(status=UNAVAILABLE)

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        table = self.config.table
        if table is None:
            return _refusal(UNAVAILABLE, 'no configuration yet', 1)
        host = (request.headers.get('Host') or '').partition(':')[0]
        queue = table.find(host, request.path)
        if queue is None:
            return _refusal(NO_QUEUE, 'no such queue')
        job_id = request.path[len(queue.prefix) :]
        if not job_id and request.method == 'GET':
            outcome = await self.handler.waiting(
                queue.policy.name, _timeout_ms(request)
            )
            return _reply(outcome, 'waiting')
        if len(job_id) != ID_DIGITS or not HEX_DIGITS.issuperset(job_id):
            return _refusal(NO_QUEUE, 'a job id has 16 hexadecimal digits')
        handler = METHODS.entries.get(request.method)
        if handler is None:
            return _refusal(BAD_METHOD, 'POST, GET or DELETE a job')
        return await handler(self, request, Target(queue, job_id, table))


Method = Callable[
    ['Ingress', web.BaseRequest, 'Target'], Awaitable[web.Response]
]
METHODS: Final[Registry[str, Method]] = Registry('method')


@METHODS.register('POST')
async def submit(
    ingress: Ingress,
    request: web.BaseRequest,
    target: Target,
) -> web.Response:
    """Take a job in."""
    raw = await request.read()
    if len(raw) > target.table.max_body_bytes:
        return _refusal(TOO_LARGE, 'the body is too large')
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
        return _refusal(BAD_BODY, decoded.err_value)
    outcome = await ingress.handler.submit(
        decoded.ok_value, _timeout_ms(request)
    )
    return _reply(outcome, '')


@METHODS.register('GET')
async def state(
    ingress: Ingress,
    request: web.BaseRequest,
    target: Target,
) -> web.Response:
    """Tell a job's state."""
    outcome = await ingress.handler.state(
        target.job_id,
        target.queue.policy.name,
        _timeout_ms(request),
    )
    return _reply(outcome, 'state')


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
    return _reply(outcome, '')


def _timeout_ms(request: web.BaseRequest) -> int:
    text = request.headers.get(TIMEOUT_HEADER, '')
    return int(text) if text.isdecimal() else REQUEST_TIMEOUT_MS


def _reply(outcome: RequestResult, field: str) -> web.Response:
    status = STATUSES[outcome.status]
    if outcome.status in RETRY_TEXTS:
        text = RETRY_TEXTS[outcome.status]
        return _refusal(status, text, outcome.retry_after_s)
    if outcome.status is not RequestStatus.OK:
        return _refusal(status, outcome.status.value)
    body = {field: outcome.content} if field else {}
    return _json(status, body)


def _refusal(status: int, error: str, retry_after_s: int = 0) -> web.Response:
    response = _json(status, {'error': error})
    if retry_after_s:
        response.headers['Retry-After'] = str(retry_after_s)
    return response


def _json(status: int, body: dict[str, object]) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps(body),
        content_type='application/json',
    )
