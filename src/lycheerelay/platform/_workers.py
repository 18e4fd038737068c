"""Reach the workers: looks, starts, stops and paces."""

import logging
from collections.abc import Iterator, Mapping
from typing import Any, Final, final

from ..serving import (
    NO_ANSWER,
    NOT_SENT,
    Caller,
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
)
from ._decode import UNREADABLE

logger = logging.getLogger('lycheerelay.workers')

# A worker answers within two ways across failure domains, some ms; what takes
# so much longer, in ms, is looked for, and voided if it has not begun.
ORDER_TIMEOUT_MS: Final = 300
# A look answers at its wait's end; it is given so much longer, in ms.
POLL_TIMEOUT_MS: Final = 700
EXPECTED_LIFE: Final = 'X-Expected-Instance'
OK: Final = 200
CONFLICT: Final = 409
CORES_MILLI: Final = 1000

ANSWERS: Final = {
    NO_ANSWER: Answer.NONE,
    NOT_SENT: Answer.UNREACHED,
    OK: Answer.DONE,
    400: Answer.MALFORMED,
    421: Answer.OTHER_INSTANCE,
    429: Answer.UNHEALTHY,
    503: Answer.UNHEALTHY,
}
REASONS: Final = {
    'fence': Answer.FENCED,
    'old': Answer.OUTDATED_RUN,
    'late': Answer.EXPIRED,
    'room': Answer.DOES_NOT_FIT,
    'ticket': Answer.BAD_TICKET,
}


@final
class WorkerCalls:
    """Call workers; each call names the life that it is meant for."""

    def __init__(self, http: Caller, clock_ms: Any) -> None:
        """Take the client and the clock of the answers."""
        self.http = http
        self.clock_ms = clock_ms

    async def poll(self, order: PollRequest) -> PollReply:
        """Prolong the leases and look at what runs."""
        body: dict[str, object] = {
            'fencingToken': order.fence,
            'lastSeen': order.last_seen,
        }
        if order.deadline_ms:
            body['deadlineMs'] = order.deadline_ms
        if order.wait_ms:
            body['waitMs'] = order.wait_ms
        asked_ms = self.clock_ms()
        reply = await post_json(
            self.http,
            f'http://{order.address}/v1/hold',
            POLL_TIMEOUT_MS + order.wait_ms,
            body,
            {EXPECTED_LIFE: order.worker_id},
        )
        answer = _answer(reply)
        if answer is not Answer.DONE:
            return PollReply(answer)
        return _poll_reply(order.worker_id, asked_ms, reply.fields())

    async def start(self, order: StartOrder) -> Answer:
        """Start a run."""
        body: dict[str, object] = {
            'task': task_name(order.run.task),
            'run': order.run.number,
            'spec': order.payload,
            'deadlineMs': order.deadline_ms,
            'fencingToken': order.fence,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        return await self._order(order, '/v1/run-start', body)

    async def stop(self, order: StopOrder) -> Answer:
        """Stop or void a run."""
        return await self._order(order, '/v1/run-stop', _run_fields(order))

    async def pace(self, order: PaceOrder) -> Answer:
        """Set a run's pace."""
        body = {**_run_fields(order), 'percent': order.percent}
        return await self._order(order, '/v1/pace', body)

    async def _order(
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
            {EXPECTED_LIFE: order.worker_id},
        )
        return _answer(reply)


def task_name(task: TaskKey) -> str:
    """Return a task's name on the wire."""
    return f'{task.job_id}.{task.occurrence}.{task.step}.{task.member}'


def task_key(name: str) -> TaskKey:
    """Return the task of a name; raise ValueError for another form."""
    job_id, occurrence, step, member = name.rsplit('.', 3)
    return TaskKey(job_id, int(occurrence), int(step), int(member))


def _run_fields(order: StopOrder | PaceOrder) -> dict[str, object]:
    return {
        'task': task_name(order.run.task),
        'run': order.run.number,
        'fencingToken': order.fence,
    }


def _answer(reply: Reply) -> Answer:
    if reply.status == CONFLICT:
        reason = str(reply.fields().get('reason'))
        return REASONS.get(reason, Answer.MALFORMED)
    found = ANSWERS.get(reply.status)
    if found is None:
        logger.warning('worker_status_unknown', extra={'status': reply.status})
        return Answer.NONE
    return found


def _poll_reply(
    worker_id: str, asked_ms: int, fields: Mapping[str, Any]
) -> PollReply:
    try:
        table = RunTable(
            worker_id,
            asked_ms,
            int(fields['clockMs']),
            tuple(_rows(fields['running'])),
            tuple(_ends(fields['ended'])),
        )
        return PollReply(Answer.DONE, table.clock_ms, table)
    except UNREADABLE as error:
        logger.warning(
            'look_unreadable',
            extra={'worker': worker_id, 'error': str(error)},
        )
        return PollReply(Answer.NONE)


def _rows(rows: list[list[Any]]) -> Iterator[RunTableRow]:
    for name, number, checkpoint, percent, *rest in rows:
        yield RunTableRow(
            RunKey(task_key(name), int(number)),
            str(checkpoint or ''),
            int(percent),
            int(rest[0]) if rest else 0,
        )


def _ends(rows: list[list[Any]]) -> Iterator[RunEnd]:
    for number, name, run, how, checkpoint in rows:
        yield RunEnd(
            int(number),
            RunKey(task_key(name), int(run)),
            RunOutcome(how),
            str(checkpoint or ''),
        )
