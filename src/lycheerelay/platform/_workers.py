"""Client of the workers: polls, starts, stops and paces."""

import functools
import logging
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final, final

from ..serving import (
    NO_ANSWER,
    NO_CHANNEL,
    NOT_SENT,
    Caller,
    ChannelBudget,
    PaceOrder,
    PollReply,
    PollRequest,
    Reply,
    StartOrder,
    StopOrder,
    post_json,
)
from ..workflow import (
    Answer,
    RunEnd,
    RunKey,
    RunOutcome,
    RunTable,
    RunTableRow,
    TaskKey,
    WorkerKey,
)
from ._decode import DECODE_ERRORS, decode_worker_key

logger = logging.getLogger('lycheerelay.workers')

# A worker answers within a round trip between failure domains, a few ms. A start
# that is not answered in time is looked up by a poll, and voided if the run has
# not begun.
ORDER_TIMEOUT_MS: Final = 300
# Added to the wait time of a poll, at whose end the worker answers.
POLL_TIMEOUT_MS: Final = 700
EXPECTED_INSTANCE_HEADER: Final = 'X-Expected-Instance'
OK: Final = 200
CONFLICT: Final = 409
CORES_MILLI: Final = 1000
# Names of tasks that are kept with what they stand for, about 300 bytes each.
MAX_CACHED_NAMES: Final = 16_384
# A worker lists at most this many ends in one answer.
MAX_LISTED_ENDS: Final = 500

STATUS_ANSWERS: Final = {
    NO_ANSWER: Answer.NONE,
    NOT_SENT: Answer.UNREACHED,
    NO_CHANNEL: Answer.UNSENT,
    OK: Answer.DONE,
    400: Answer.MALFORMED,
    421: Answer.OTHER_INSTANCE,
    429: Answer.UNHEALTHY,
    503: Answer.UNHEALTHY,
}
CONFLICT_ANSWERS: Final = {
    'fence': Answer.FENCED,
    'old': Answer.OUTDATED_RUN,
    'late': Answer.EXPIRED,
    'room': Answer.DOES_NOT_FIT,
    'ticket': Answer.BAD_TICKET,
}


@final
class PlatformWorkerClient:
    """Call workers; each call names the worker instance that it is meant for."""

    def __init__(self, http: Caller, now_ms: Callable[[], int]) -> None:
        """Take the send times of polls from `now_ms`."""
        self.http = ChannelBudget(http)
        self.now_ms = now_ms

    async def poll(self, request: PollRequest) -> PollReply:
        """Renew the leases of a worker and read its run table."""
        body: dict[str, object] = {
            'fencingToken': request.fence,
            'lastSeen': request.last_seen,
        }
        if request.deadline_ms:
            body['deadlineMs'] = request.deadline_ms
        if request.wait_ms:
            body['waitMs'] = request.wait_ms
        poll_sent_ms = self.now_ms()
        reply = await post_json(
            self.http,
            f'http://{request.address}/v1/hold',
            POLL_TIMEOUT_MS + request.wait_ms,
            body,
            {EXPECTED_INSTANCE_HEADER: request.worker.worker_id},
        )
        answer = _to_answer(reply)
        if answer is not Answer.DONE:
            return PollReply(answer)
        return _decode_poll_reply(request.worker, poll_sent_ms, reply.fields())

    async def start(self, order: StartOrder) -> Answer:
        """Start a run."""
        body: dict[str, object] = {
            'task': format_task_name(order.run.task),
            'run': order.run.number,
            'spec': order.payload,
            'deadlineMs': order.deadline_ms,
            'fencingToken': order.fence,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        return await self._send_order(order, '/v1/run-start', body)

    async def stop(self, order: StopOrder) -> Answer:
        """Stop or void a run."""
        return await self._send_order(order, '/v1/run-stop', _run_fields(order))

    async def pace(self, order: PaceOrder) -> Answer:
        """Set the pace of a run."""
        body = {**_run_fields(order), 'percent': order.percent}
        return await self._send_order(order, '/v1/pace', body)

    async def _send_order(
        self,
        order: StartOrder | StopOrder | PaceOrder,
        path: str,
        body: Mapping[str, object],
    ) -> Answer:
        reply = await post_json(
            self.http,
            f'http://{order.address}{path}',
            ORDER_TIMEOUT_MS,
            body,
            {EXPECTED_INSTANCE_HEADER: order.worker.worker_id},
        )
        return _to_answer(reply)


def format_task_name(task: TaskKey) -> str:
    """Return the name of a task on the wire."""
    return f'{task.job_id}.{task.occurrence}.{task.step}.{task.member}'


def parse_task_name(name: str) -> TaskKey:
    """Return the task of a name; raise ValueError if it is malformed."""
    job_id, occurrence, step, member = name.rsplit('.', 3)
    return TaskKey(job_id, int(occurrence), int(step), int(member))


# Polls list the same tasks again and again.
_find_task = functools.lru_cache(MAX_CACHED_NAMES)(parse_task_name)


def _run_fields(order: StopOrder | PaceOrder) -> dict[str, object]:
    return {
        'task': format_task_name(order.run.task),
        'run': order.run.number,
        'fencingToken': order.fence,
    }


def _to_answer(reply: Reply) -> Answer:
    if reply.status == CONFLICT:
        reason = str(reply.fields().get('reason'))
        return CONFLICT_ANSWERS.get(reason, Answer.MALFORMED)
    found = STATUS_ANSWERS.get(reply.status)
    if found is None:
        logger.warning('worker_status_unknown', extra={'status': reply.status})
        return Answer.NONE
    return found


def _decode_poll_reply(
    asked: WorkerKey, poll_sent_ms: int, fields: Mapping[str, Any]
) -> PollReply:
    try:
        ends = tuple(_decode_ends(fields['ended']))
        table = RunTable(
            decode_worker_key(asked, fields),
            poll_sent_ms,
            int(fields['clockMs']),
            tuple(_decode_rows(fields['running'])),
            ends,
            len(ends) < MAX_LISTED_ENDS,
        )
        return PollReply(Answer.DONE, table.clock_ms, table)
    except DECODE_ERRORS as error:
        logger.warning(
            'look_unreadable',
            extra={'worker': asked.worker_id, 'error': str(error)},
        )
        return PollReply(Answer.NONE)


def _decode_rows(rows: list[list[Any]]) -> Iterator[RunTableRow]:
    for name, number, checkpoint, percent, *rest in rows:
        yield RunTableRow(
            RunKey(_find_task(name), int(number)),
            str(checkpoint or ''),
            int(percent),
            int(rest[0]) if rest else 0,
        )


def _decode_ends(rows: list[list[Any]]) -> Iterator[RunEnd]:
    for number, name, run, outcome, checkpoint in rows:
        yield RunEnd(
            int(number),
            RunKey(parse_task_name(name), int(run)),
            RunOutcome(outcome),
            str(checkpoint or ''),
        )
