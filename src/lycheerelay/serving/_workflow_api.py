"""Serve the workflow API for jobs of steps.

`POST /v1/workflows` submits a job document, `GET` and `DELETE /v1/workflows/ID`
show and cancel a job, and `GET /v1/workflows?queue=NAME` counts the waiting
jobs. Bodies are JSON, and each reply contains a result code. With tenants in the
configuration, calls carry the key of a tenant; calls without one reach public
queues, and jobs without a tenant.
"""

import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, NamedTuple, final
from urllib.parse import parse_qs, urlsplit

import orjson
from result import Err, Result

from .._clock import MS_PER_SECOND, Clock
from .._codes import CODES, Code, Refusal
from .._job_document import JobDocument, read_document, to_spec
from .._registry import Registry
from ..workflow import JobPhase
from ._body_turns import BodyTurns
from ._caller_checks import STATUS_OF_CAUSE
from ._config_watch import ConfigWatch
from ._credentials import KEYLESS, Identity
from ._http_calls import Reply
from ._queues import Queue, QueueTable
from ._request_handler import RequestHandler
from ._request_result import RequestResult, RequestStatus

logger = logging.getLogger('lycheerelay.workflows')

ROOT: Final = '/v1/workflows'
# Timeout of a request. Callers of this API are tools, which wait longer than
# the callers of the platform.
REQUEST_TIMEOUT_MS: Final = 3000
# Header that contains only the API key of a tenant.
KEY_HEADER: Final = 'X-Api-Key'
BAD_METHOD: Final = 405
CODE_OF_STATUS: Final = {
    RequestStatus.REFUSED: Code.NOT_KEPT,
    RequestStatus.UNKNOWN_OUTCOME: Code.TIMEOUT,
    RequestStatus.NO_SUCH_JOB: Code.NOT_FOUND,
    RequestStatus.UNAVAILABLE: Code.NO_OWNER,
    RequestStatus.TOO_LATE: Code.OVERLOADED,
    RequestStatus.OVER_RATE: Code.OVERLOADED,
    RequestStatus.BUSY: Code.OVERLOADED,
    RequestStatus.TOO_MANY_CANCELS: Code.OVERLOADED,
    RequestStatus.KEY_REFUSED: Code.KEY_REFUSED,
    RequestStatus.CONFIG_TOO_OLD: Code.CONFIG_TOO_OLD,
    RequestStatus.OVER_QUOTA: Code.NEVER_IN_QUOTA,
    RequestStatus.NEVER_STORED: Code.TOO_LARGE,
}
CODE_OF_PHASE: Final = {
    JobPhase.QUEUED: Code.ACCEPTED,
    JobPhase.RUNNING: Code.RUNNING,
    JobPhase.COMPLETED: Code.DONE,
    JobPhase.FAILED: Code.TASK_FAILED,
    JobPhase.CANCELLED: Code.CANCELLED,
}


def is_workflow_path(path: str) -> bool:
    """Return whether a path belongs to this API."""
    return path == ROOT or path.startswith(f'{ROOT}/')


@final
class WorkflowApi:
    """Answer the callers of the workflow API."""

    def __init__(
        self,
        handler: RequestHandler,
        config: ConfigWatch,
        clock: Clock,
        turns: BodyTurns,
    ) -> None:
        """Serve through the request handler with the newest configuration."""
        self.handler = handler
        self.config = config
        self.clock = clock
        self.turns = turns

    async def answer(
        self,
        method: str,
        target: str,
        raw: bytes,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Answer one request; `target` is a path with its query."""
        table = self.config.table
        if table is None:
            detail = 'no configuration is known yet'
            return _refusal_reply(Refusal(Code.NOT_READY, detail, not_run=True))
        call = WorkflowCall(table, (headers or {}).get(KEY_HEADER, ''), raw)
        parts = urlsplit(target)
        job_id = parts.path.removeprefix(ROOT).removeprefix('/')
        if method == 'POST' and not job_id:
            return await self._submit_in_turn(call)
        if method == 'GET' and not job_id:
            return await self._count(call, parts.query)
        handler = JOB_METHODS.entries.get(method)
        if handler is None or not job_id:
            return Reply(BAD_METHOD)
        identified = self._identify(call, None)
        if isinstance(identified, Err):
            return identified.err_value
        return await handler(self, job_id, identified.ok_value)

    def _identify(
        self, call: 'WorkflowCall', queue: Queue | None
    ) -> Result[Identity, Reply]:
        return self.handler.checks.identify(
            call.table, queue, call.key
        ).map_err(
            lambda refusal: _failure_reply(
                RequestResult(STATUS_OF_CAUSE[refusal.cause])
            )
        )

    async def _submit_in_turn(self, call: 'WorkflowCall') -> Reply:
        try:
            async with self.turns.turn(len(call.raw), REQUEST_TIMEOUT_MS):
                return await self._submit(call)
        except TimeoutError:
            return _failure_reply(RequestResult(RequestStatus.UNKNOWN_OUTCOME))

    async def _submit(self, call: 'WorkflowCall') -> Reply:
        begun_ms = self.clock.now_ms()
        try:
            body = orjson.loads(call.raw)
        except ValueError as error:
            return _refusal_reply(
                Refusal(Code.BAD_FIELD, f'not JSON: {error}', True)
            )
        read = read_document(body)
        self.turns.report_work(len(call.raw), begun_ms)
        if isinstance(read, Err):
            return _refusal_reply(read.err_value.refusal())
        document: JobDocument = read.ok_value
        queue = call.table.named(document.queue)
        identified = self._identify(call, queue)
        if isinstance(identified, Err):
            return identified.err_value
        identity = identified.ok_value
        if queue is None:
            return _missing_queue_reply(document.queue, call.table, identity)
        spec = to_spec(document, queue.policy, self.clock.now_ms())
        outcome = await self.handler.submit(
            spec._replace(tenant=identity.tenant or ''),
            REQUEST_TIMEOUT_MS,
            identity,
        )
        return _job_reply(document.job_id, Code.ACCEPTED, outcome)

    async def _count(self, call: 'WorkflowCall', query: str) -> Reply:
        names = parse_qs(query).get('queue', ())
        if len(names) != 1:
            detail = 'queue: expected one name in the query'
            return _refusal_reply(Refusal(Code.BAD_FIELD, detail))
        identified = self._identify(call, call.table.named(names[0]))
        if isinstance(identified, Err):
            return identified.err_value
        outcome = await self.handler.waiting(
            names[0], REQUEST_TIMEOUT_MS, identified.ok_value
        )
        if outcome.status is not RequestStatus.OK:
            return _failure_reply(outcome)
        return _json_reply(
            Code.OK, {'queue': names[0], 'waiting': outcome.content}
        )


class WorkflowCall(NamedTuple):
    """Version of the configuration, API key and body of one call."""

    table: QueueTable
    key: str
    raw: bytes


JobHandler = Callable[[WorkflowApi, str, Identity], Awaitable[Reply]]
JOB_METHODS: Final[Registry[str, JobHandler]] = Registry('job method')


@JOB_METHODS.register('GET')
async def show(api: WorkflowApi, job_id: str, identity: Identity) -> Reply:
    """Show the state of a job."""
    outcome = await api.handler.state(job_id, '', REQUEST_TIMEOUT_MS, identity)
    return _state_reply(job_id, _require_key(outcome, identity))


@JOB_METHODS.register('DELETE')
async def cancel(api: WorkflowApi, job_id: str, identity: Identity) -> Reply:
    """Cancel a job."""
    outcome = await api.handler.cancel(job_id, '', REQUEST_TIMEOUT_MS, identity)
    return _job_reply(job_id, Code.OK, _require_key(outcome, identity))


def _require_key(outcome: RequestResult, identity: Identity) -> RequestResult:
    # A job that is unknown to a caller without a key may belong to a tenant.
    if outcome.status is RequestStatus.NO_SUCH_JOB and identity == KEYLESS:
        return RequestResult(RequestStatus.KEY_REFUSED)
    return outcome


def _missing_queue_reply(
    name: str, table: QueueTable, identity: Identity
) -> Reply:
    if identity == KEYLESS:
        return _failure_reply(RequestResult(RequestStatus.KEY_REFUSED))
    names = ', '.join(sorted(known.policy.name for known in table.queues))
    detail = f'queue: got {name!r}, expected one of: {names}'
    return _refusal_reply(Refusal(Code.BAD_FIELD, detail, not_run=True))


def _state_reply(job_id: str, outcome: RequestResult) -> Reply:
    if outcome.status is not RequestStatus.OK:
        return _failure_reply(outcome)
    phase = JobPhase(outcome.content)
    fields = {'job_id': job_id, 'state': phase.value}
    return _json_reply(CODE_OF_PHASE[phase], fields)


def _job_reply(job_id: str, code: Code, outcome: RequestResult) -> Reply:
    if outcome.status is not RequestStatus.OK:
        return _failure_reply(outcome)
    return _json_reply(code, {'job_id': job_id})


def _failure_reply(outcome: RequestResult) -> Reply:
    code = CODE_OF_STATUS[outcome.status]
    text = CODES[code].text
    if outcome.status is RequestStatus.KEY_REFUSED:
        return _refusal_reply(Refusal(code, text, not_run=True))
    if outcome.status in {RequestStatus.OVER_QUOTA, RequestStatus.NEVER_STORED}:
        return _refusal_reply(Refusal(code, outcome.content, not_run=True))
    retry_after_ms = outcome.retry_after_s * MS_PER_SECOND
    is_not_run = outcome.status in {
        RequestStatus.CONFIG_TOO_OLD,
        RequestStatus.OVER_RATE,
        RequestStatus.BUSY,
    }
    return _refusal_reply(Refusal(code, text, is_not_run, retry_after_ms))


def _refusal_reply(refusal: Refusal) -> Reply:
    fields = {
        'detail': refusal.detail,
        'not_run': refusal.not_run,
        'retry_after_ms': refusal.retry_after_ms,
    }
    return _json_reply(refusal.code, fields)


def _json_reply(code: Code, fields: dict[str, Any]) -> Reply:
    body = {'code': int(code), **fields}
    return Reply(CODES[code].http, orjson.dumps(body))
