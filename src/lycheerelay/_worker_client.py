"""Call the task API of the platform's workers over HTTP."""

from typing import Final, NamedTuple, final

from result import Err, Ok, Result

from ._codec import Json
from ._events import TaskReport
from ._http import CallError, HttpCaller
from ._jobs import AttemptKey, JobSpec, TaskState, parse_attempt

HTTP_OK = 200
HTTP_CONFLICT = 409
POLL_SLACK_MS = 2000
RENEWAL: Final = 'renewal'
TASK: Final = 'task'


class LeaseRequest(NamedTuple):
    """Request the placement lease of a worker, or renew it.

    The call returns as soon as a task has changed after `since`, at the
    latest after `wait_ms`. Task leases are extended until
    `as_of_ms + task_ttl_ms` by the worker's clock; with an `as_of_ms` of 0
    none is extended.
    """

    pool: str
    holder: str
    term: int
    ttl_ms: int
    task_ttl_ms: int
    since: int
    wait_ms: int
    as_of_ms: int = 0


class LeaseReply(NamedTuple):
    """Hold the worker's answer to a lease request."""

    granted: bool
    term: int
    holder: str
    boot: str
    seq: int
    leaving: bool
    reports: tuple[TaskReport, ...]
    now_ms: int = 0


class StartReply(NamedTuple):
    """Hold a worker's reply to a task command."""

    state: TaskState
    code: int
    boot: str = ''


@final
class WorkerClient:
    """Call one worker."""

    def __init__(self, caller: HttpCaller, address: str) -> None:
        """Use the worker at an address."""
        self.caller = caller.with_purpose(RENEWAL)
        self.task_caller = caller.with_purpose(TASK)
        self.base = f'http://{address}/v1'

    def renew(self, request: LeaseRequest) -> Result[LeaseReply, CallError]:
        """Acquire or renew the placement lease and return task changes."""
        timeout_ms = request.wait_ms + POLL_SLACK_MS
        url = f'{self.base}/lease'
        reply = self.caller.call('POST', url, request, timeout_ms)
        if isinstance(reply, Err):
            return reply
        if reply.ok_value.status not in {HTTP_OK, HTTP_CONFLICT}:
            return Err(CallError(url, f'status {reply.ok_value.status}'))
        return Ok(_parse_lease_reply(reply.ok_value.body))

    def start(
        self,
        term: int,
        key: AttemptKey,
        spec: JobSpec,
        boot: str = '',
        until_ms: int = 0,
    ) -> Result[StartReply, CallError]:
        """Create a task under its attempt id; the call is idempotent.

        With an `until_ms`, the worker refuses the task from that time of its
        own clock on.
        """
        body = {
            'task_id': key.to_text(),
            'term': term,
            'cores_milli': spec.cores_milli,
            'memory_mb': spec.memory_mb,
            'accelerators': spec.accelerators,
            'connections': spec.connections,
            'payload': spec.payload,
            'boot': boot,
            'until_ms': until_ms,
        }
        return self._task_call('tasks', body)

    def stop(
        self,
        term: int,
        key: AttemptKey,
        checkpoint: bool,
        boot: str = '',
    ) -> Result[StartReply, CallError]:
        """Stop an attempt; one that has not started never will."""
        body = {
            'task_id': key.to_text(),
            'term': term,
            'checkpoint': checkpoint,
            'boot': boot,
        }
        return self._task_call('stop', body)

    def throttle(
        self,
        term: int,
        key: AttemptKey,
        percent: int,
        boot: str = '',
    ) -> Result[StartReply, CallError]:
        """Limit an attempt to a percentage of its full speed."""
        body = {
            'task_id': key.to_text(),
            'term': term,
            'percent': percent,
            'boot': boot,
        }
        return self._task_call('throttle', body)

    def forget(
        self,
        term: int,
        key: AttemptKey,
    ) -> Result[StartReply, CallError]:
        """Drop an ended attempt from the worker's run table."""
        body = {'task_id': key.to_text(), 'term': term}
        return self._task_call('forget', body)

    def _task_call(
        self,
        path: str,
        body: Json,
    ) -> Result[StartReply, CallError]:
        url = f'{self.base}/{path}'
        reply = self.task_caller.call('POST', url, body)
        if isinstance(reply, Err):
            return reply
        if reply.ok_value.status not in {HTTP_OK, HTTP_CONFLICT}:
            return Err(CallError(url, f'status {reply.ok_value.status}'))
        answer = reply.ok_value.body
        return Ok(
            StartReply(
                TaskState(answer['state']),
                answer['code'],
                answer.get('boot', ''),
            ),
        )


def _parse_lease_reply(body: Json) -> LeaseReply:
    reports = (_parse_report(entry) for entry in body['reports'])
    return LeaseReply(
        body['granted'],
        body['term'],
        body['holder'],
        body['boot'],
        body['seq'],
        body['leaving'],
        tuple(report for report in reports if report is not None),
        body.get('now_ms', 0),
    )


def _parse_report(entry: Json) -> TaskReport | None:
    key = parse_attempt(entry['task_id'])
    if key is None:
        return None
    return TaskReport(
        key,
        TaskState(entry['state']),
        entry['code'],
        entry['answer'],
        entry['used_cores_milli'],
        entry['used_memory_mb'],
    )
