"""Serve the workflow API for jobs of steps.

`POST /v1/workflows` submits a job document, `GET` and `DELETE /v1/workflows/ID`
show and cancel a job, and `GET /v1/workflows?queue=NAME` counts the waiting
jobs. Bodies are JSON, and each reply contains a result code.
"""

import logging
from typing import Any, Final, final
from urllib.parse import parse_qs, urlsplit

import orjson
from result import Err

from .._clock import MS_PER_SECOND, Clock
from .._codes import CODES, Code, Refusal
from .._job_document import JobDocument, read_document, to_spec
from ..workflow import JobPhase
from ._config_watch import ConfigWatch
from ._http_calls import Reply
from ._request_handler import RequestHandler, RequestResult, RequestStatus

logger = logging.getLogger('lycheerelay.workflows')

ROOT: Final = '/v1/workflows'
# Timeout of a request. Callers of this API are tools, which wait longer than
# the callers of the platform.
REQUEST_TIMEOUT_MS: Final = 3000
BAD_METHOD: Final = 405
CODE_OF_STATUS: Final = {
    RequestStatus.REFUSED: Code.NOT_KEPT,
    RequestStatus.UNKNOWN_OUTCOME: Code.TIMEOUT,
    RequestStatus.NO_SUCH_JOB: Code.NOT_FOUND,
    RequestStatus.UNAVAILABLE: Code.NO_OWNER,
    RequestStatus.TOO_LATE: Code.OVERLOADED,
    RequestStatus.OVER_RATE: Code.OVERLOADED,
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
        self, handler: RequestHandler, config: ConfigWatch, clock: Clock
    ) -> None:
        """Serve through the request handler with the newest configuration."""
        self.handler = handler
        self.config = config
        self.clock = clock

    async def answer(self, method: str, target: str, raw: bytes) -> Reply:
        """Answer one request; `target` is a path with its query."""
        parts = urlsplit(target)
        job_id = parts.path.removeprefix(ROOT).removeprefix('/')
        if method == 'POST' and not job_id:
            return await self._submit(raw)
        if method == 'GET' and job_id:
            return _state_reply(
                job_id,
                await self.handler.state(job_id, '', REQUEST_TIMEOUT_MS),
            )
        if method == 'DELETE' and job_id:
            outcome = await self.handler.cancel(job_id, '', REQUEST_TIMEOUT_MS)
            return _job_reply(job_id, Code.OK, outcome)
        if method == 'GET':
            return await self._count(parts.query)
        return Reply(BAD_METHOD)

    async def _submit(self, raw: bytes) -> Reply:
        table = self.config.table
        if table is None:
            detail = 'no configuration is known yet'
            return _refusal_reply(Refusal(Code.NOT_READY, detail, not_run=True))
        try:
            body = orjson.loads(raw)
        except ValueError as error:
            return _refusal_reply(
                Refusal(Code.BAD_FIELD, f'not JSON: {error}', True)
            )
        read = read_document(body)
        if isinstance(read, Err):
            return _refusal_reply(read.err_value.refusal())
        document: JobDocument = read.ok_value
        queue = table.named(document.queue)
        if queue is None:
            names = ', '.join(
                sorted(known.policy.name for known in table.queues)
            )
            detail = f'queue: got {document.queue!r}, expected one of: {names}'
            return _refusal_reply(Refusal(Code.BAD_FIELD, detail, not_run=True))
        spec = to_spec(document, queue.policy, self.clock.now_ms())
        outcome = await self.handler.submit(spec, REQUEST_TIMEOUT_MS)
        return _job_reply(document.job_id, Code.ACCEPTED, outcome)

    async def _count(self, query: str) -> Reply:
        names = parse_qs(query).get('queue', ())
        if len(names) != 1:
            detail = 'queue: expected one name in the query'
            return _refusal_reply(Refusal(Code.BAD_FIELD, detail))
        outcome = await self.handler.waiting(names[0], REQUEST_TIMEOUT_MS)
        if outcome.status is not RequestStatus.OK:
            return _failure_reply(outcome)
        return _json_reply(
            Code.OK, {'queue': names[0], 'waiting': outcome.content}
        )


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
    retry_after_ms = outcome.retry_after_s * MS_PER_SECOND
    return _refusal_reply(
        Refusal(
            code,
            CODES[code].text,
            not_run=outcome.status is RequestStatus.OVER_RATE,
            retry_after_ms=retry_after_ms,
        ),
    )


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
