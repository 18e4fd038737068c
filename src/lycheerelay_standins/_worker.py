"""Stand in for one of the platform's workers."""

import json
import threading
from dataclasses import dataclass
from typing import final

from lycheerelay._clock import Clock
from lycheerelay._codec import Json
from lycheerelay._codes import Code
from lycheerelay._jobs import LIVE_TASK_STATES, TaskState
from lycheerelay._lease import LeaseGrantor
from lycheerelay._resources import Resources
from lycheerelay._web import Request, Response, Route, route

POLL_S = 0.005


@dataclass(slots=True)
class TaskEntry:
    """Track one task."""

    task_id: str
    demand: Resources
    state: TaskState
    seq: int
    ends_ms: int = 0
    code: int = 0
    answer: str = ''


@final
class WorkerStandIn:
    """Run pretended tasks that end after the time in their payload."""

    def __init__(self, capacity: Resources, boot: str, clock: Clock) -> None:
        """Start with an empty task table."""
        self.capacity = capacity
        self.boot = boot
        self.clock = clock
        self.grantor = LeaseGrantor(clock)
        self.tasks: dict[str, TaskEntry] = {}
        self.seq = 1
        self.task_expiry_ms = 0
        self.leaving = False
        self.starts: dict[str, int] = {}
        self.overbooked = 0
        self.changed = threading.Condition()

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the worker's protocol."""
        return (
            route('POST', '/v1/lease', self.lease),
            route('POST', '/v1/tasks', self.start),
            route('POST', '/v1/stop', self.stop),
            route('POST', '/v1/forget', self.forget),
        )

    def lease(self, request: Request) -> Response:
        """Grant or renew the placement lease and report changes."""
        body = request.body
        with self.changed:
            self._advance()
            grant = self.grantor.request(
                body['holder'],
                body['term'],
                body['ttl_ms'],
            )
            if grant.granted:
                now_ms = self.clock.now_ms()
                self._prolong(body)
                self._await_change(body['since'], now_ms + body['wait_ms'])
            return self._lease_response(grant.granted, body['since'])

    def start(self, request: Request) -> Response:
        """Create a task under its id, once."""
        body = request.body
        with self.changed:
            self._advance()
            known = self.tasks.get(body['task_id'])
            if known is not None:
                return _answer(known.state, known.code)
            if not self.grantor.admits(body['term']):
                return _answer(TaskState.NOT_STARTED, Code.STALE_TERM, 409)
            if self.leaving or self._is_late(body):
                return _answer(TaskState.NOT_STARTED, Code.WORKER_REFUSED, 409)
            return self._create(body)

    def stop(self, request: Request) -> Response:
        """Stop a task; an unknown id is void from now on."""
        body = request.body
        with self.changed:
            self._advance()
            if not self.grantor.admits(body['term']):
                return _answer(TaskState.UNKNOWN, Code.STALE_TERM, 409)
            task = self.tasks.get(body['task_id'])
            if task is None:
                task = self._add(body['task_id'], Resources())
                self._end(task, TaskState.NOT_STARTED)
            elif task.state in LIVE_TASK_STATES:
                checkpoint = body['checkpoint']
                self._end(
                    task,
                    TaskState.CHECKPOINTED if checkpoint else TaskState.STOPPED,
                )
            return _answer(task.state, task.code)

    def forget(self, request: Request) -> Response:
        """Drop an ended task."""
        with self.changed:
            task = self.tasks.get(request.body['task_id'])
            if task is not None and task.state not in LIVE_TASK_STATES:
                self.tasks.pop(task.task_id)
        return _answer(TaskState.DONE, Code.OK)

    def _prolong(self, body: Json) -> None:
        as_of_ms = body.get('as_of_ms', 0)
        if as_of_ms:
            until_ms = as_of_ms + body['task_ttl_ms']
            self.task_expiry_ms = max(self.task_expiry_ms, until_ms)

    def _is_late(self, body: Json) -> bool:
        until_ms: int = body.get('until_ms', 0)
        return 0 < until_ms < self.clock.now_ms()

    def _create(self, body: Json) -> Response:
        demand = Resources(
            body['cores_milli'],
            body['memory_mb'],
            body['accelerators'],
            1,
            body['connections'],
        )
        task = self._add(body['task_id'], demand)
        work = _read_payload(body['payload'])
        task.ends_ms = self.clock.now_ms() + int(work.get('run_ms', 100))
        task.code = int(work.get('exit_code', 0))
        task.answer = str(work.get('answer', ''))
        self.starts[task.task_id] = self.starts.get(task.task_id, 0) + 1
        if not self._used().fits_in(self.capacity):
            self.overbooked += 1
        return _answer(TaskState.RUNNING, Code.OK)

    def _add(self, task_id: str, demand: Resources) -> TaskEntry:
        self.seq += 1
        task = TaskEntry(task_id, demand, TaskState.RUNNING, self.seq)
        self.tasks[task_id] = task
        return task

    def _end(self, task: TaskEntry, state: TaskState) -> None:
        self.seq += 1
        task.seq = self.seq
        task.state = state
        self.changed.notify_all()

    def _used(self) -> Resources:
        used = Resources()
        for task in self.tasks.values():
            if task.state in LIVE_TASK_STATES:
                used = used.plus(task.demand)
        return used

    def _advance(self) -> None:
        now_ms = self.clock.now_ms()
        for task in self.tasks.values():
            if task.state in LIVE_TASK_STATES:
                self._advance_task(task, now_ms)

    def _advance_task(self, task: TaskEntry, now_ms: int) -> None:
        if task.ends_ms <= min(now_ms, self.task_expiry_ms):
            failed = task.code != 0
            self._end(task, TaskState.FAILED if failed else TaskState.DONE)
        elif now_ms > self.task_expiry_ms:
            self._end(task, TaskState.LAPSED)

    def _await_change(self, since: int, until_ms: int) -> None:
        while self.seq <= since and self.clock.now_ms() < until_ms:
            self.changed.wait(POLL_S)
            self._advance()

    def _lease_response(self, granted: bool, since: int) -> Response:
        reports = [
            _report(task) for task in self.tasks.values() if task.seq > since
        ]
        body = {
            'granted': granted,
            'term': self.grantor.term,
            'holder': self.grantor.holder,
            'boot': self.boot,
            'seq': self.seq,
            'leaving': self.leaving,
            'now_ms': self.clock.now_ms(),
            'reports': reports if granted else [],
        }
        return Response(200 if granted else 409, body)


def _answer(state: TaskState, code: int, status: int = 200) -> Response:
    return Response(status, {'state': state.value, 'code': int(code)})


def _report(task: TaskEntry) -> Json:
    return {
        'task_id': task.task_id,
        'state': task.state.value,
        'code': task.code,
        'answer': task.answer,
        'used_cores_milli': task.demand.cores_milli,
        'used_memory_mb': task.demand.memory_mb,
    }


def _read_payload(text: str) -> dict[str, Json]:
    try:
        work = json.loads(text)
    except ValueError:
        return {}
    return work if isinstance(work, dict) else {}
