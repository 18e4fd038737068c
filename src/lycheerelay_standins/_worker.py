"""Stand in for one of the platform's workers."""

import threading
from typing import Final, final

from lycheerelay._clock import MS_PER_SECOND, Clock
from lycheerelay._codec import Json
from lycheerelay._codes import Code
from lycheerelay._jobs import TaskState
from lycheerelay._lease import LeaseGrantor
from lycheerelay._resources import Resources
from lycheerelay._web import Request, Response, Route, route

from ._faults import SwitchBoard
from ._ledger import StartLedger
from ._tasks import HTTP_CONFLICT, TaskEntry, answer, read_task, refusal

USAGE_LAG_MS: Final = 1000
FAILED_EXIT: Final = 70
KEPT_IDS: Final = 4096


@final
class WorkerStandIn:
    """Run pretended tasks that end after the time in their payload."""

    def __init__(
        self,
        capacity: Resources,
        boot: str,
        clock: Clock,
        name: str = 'worker',
        ledger: StartLedger | None = None,
        checkpoints: dict[str, int] | None = None,
    ) -> None:
        """Start empty; ledger and checkpoints may be shared by workers."""
        self.capacity = capacity
        self.boot = boot
        self.boots = 1
        self.clock = clock
        self.name = name
        self.ledger = ledger or StartLedger()
        self.checkpoints = {} if checkpoints is None else checkpoints
        self.grantor = LeaseGrantor(clock)
        self.tasks: dict[str, TaskEntry] = {}
        self.seq = 1
        self.loud_seq = 1
        self.forgotten: dict[str, TaskEntry] = {}
        self.task_expiry_ms = 0
        self.leaving = False
        self.fail_all = False
        self.usage_lag_ms = USAGE_LAG_MS
        self.overbooked = 0
        self.polls = 0
        self.changed = threading.Condition()
        self.board = SwitchBoard(
            clock,
            {
                'reboot': lambda _: self.reboot(),
                'leaving': self.leave,
                'fail_all': lambda fails: setattr(self, 'fail_all', fails),
                'usage_lag_ms': self.set_usage_lag,
            },
        )

    @property
    def starts(self) -> dict[str, int]:
        """Return how often each attempt was started."""
        return self.ledger.starts

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the worker's protocol."""
        return self.board.wrap(
            (
                route('POST', '/v1/lease', self.lease),
                route('POST', '/v1/tasks', self.start),
                route('POST', '/v1/stop', self.stop),
                route('POST', '/v1/throttle', self.throttle),
                route('POST', '/v1/forget', self.forget),
                route('GET', '/ledger', self.show_ledger),
            ),
        )

    def lease(self, request: Request) -> Response:
        """Grant or renew the placement lease and report changes."""
        body = request.body
        with self.changed:
            self._advance()
            self.polls += 1
            grant = self.grantor.request(
                body['holder'],
                body['term'],
                body['ttl_ms'],
            )
            since = body['since']
            if grant.granted:
                now_ms = self.clock.now_ms()
                self.task_expiry_ms = now_ms + body['task_ttl_ms']
                until_ms = now_ms + body['wait_ms']
                self._await_change(since, grant.term, until_ms)
            granted = grant.granted and grant.term == self.grantor.term
            return self._lease_response(granted, since)

    def start(self, request: Request) -> Response:
        """Create a task under its id, once."""
        body = request.body
        with self.changed:
            self._advance()
            task_id = body['task_id']
            known = self.tasks.get(task_id) or self.forgotten.get(task_id)
            if known is not None:
                return answer(known.state, known.code)
            if not self.grantor.admits(body['term']):
                return refusal(Code.STALE_TERM)
            meant_boot = body.get('boot') or self.boot
            if self.leaving or meant_boot != self.boot:
                return refusal(Code.WORKER_REFUSED)
            self._create(body)
        return answer(TaskState.RUNNING, Code.OK)

    def stop(self, request: Request) -> Response:
        """Stop a task; an unknown id is void from now on."""
        body = request.body
        with self.changed:
            self._advance()
            if not self.grantor.admits(body['term']):
                return answer(
                    TaskState.UNKNOWN,
                    Code.STALE_TERM,
                    HTTP_CONFLICT,
                )
            task = self.tasks.get(body['task_id'])
            if task is None:
                task = TaskEntry(
                    body['task_id'],
                    Resources(),
                    TaskState.NOT_STARTED,
                    self._bump(),
                )
                self.tasks[task.task_id] = task
            elif task.is_live:
                self._halt(task, checkpoint=body['checkpoint'])
            return answer(task.state, task.code)

    def throttle(self, request: Request) -> Response:
        """Change the speed of a task in percent of its full one."""
        body = request.body
        with self.changed:
            self._advance()
            if not self.grantor.admits(body['term']):
                return refusal(Code.STALE_TERM)
            task = self.tasks.get(body['task_id'])
            if task is None:
                return answer(TaskState.UNKNOWN, Code.NOT_FOUND, HTTP_CONFLICT)
            if task.is_live:
                task.throttle(body['percent'], self.clock.now_ms())
                self._show_usage(task)
                self.changed.notify_all()
            return answer(task.state, task.code)

    def forget(self, request: Request) -> Response:
        """Drop an ended task; its id stays taken for late repeats."""
        with self.changed:
            self._advance()
            task = self.tasks.get(request.body['task_id'])
            if task is not None and not task.is_live:
                self.forgotten[task.task_id] = self.tasks.pop(task.task_id)
            while len(self.forgotten) > KEPT_IDS:
                self.forgotten.pop(next(iter(self.forgotten)))
        return answer(TaskState.DONE, Code.OK)

    def show_ledger(self, request: Request) -> Response:
        """Show every start that was ever taken."""
        return Response(200, self.ledger.shown())

    def reboot(self) -> None:
        """Lose every task and lease and come back under another boot id."""
        with self.changed:
            for task in self.tasks.values():
                self.ledger.end(task.task_id)
            self.tasks.clear()
            self.boots += 1
            self.boot = f'{self.boot.partition("+")[0]}+{self.boots}'
            self.grantor = LeaseGrantor(self.clock)
            self.task_expiry_ms = 0
            self._bump()

    def leave(self, leaving: bool) -> None:
        """Refuse starts from now on, and say so."""
        with self.changed:
            self.leaving = leaving
            self._bump()

    def set_usage_lag(self, usage_lag_ms: int) -> None:
        """Report usage this long after a start."""
        self.usage_lag_ms = usage_lag_ms

    def is_live_now(self, task: TaskEntry) -> bool:
        """Tell whether a task runs, also before the worker looked."""
        over_ms = min(task.ends_ms, self.task_expiry_ms)
        return task.is_live and self.clock.now_ms() < over_ms

    def _create(self, body: Json) -> None:
        now_ms = self.clock.now_ms()
        self.seq += 1
        task = read_task(body, self.seq, now_ms)
        task.done_ms = self.checkpoints.get(task.task, 0)
        task.usage_due_ms = now_ms + self.usage_lag_ms
        if self.fail_all:
            task.code = FAILED_EXIT
            task.work_ms = 0
        self.tasks[task.task_id] = task
        self.ledger.add(
            task.task_id,
            self.name,
            now_ms,
            lambda: self.is_live_now(task),
        )
        if not self._used().fits_in(self.capacity):
            self.overbooked += 1
            self.ledger.overbook(self.name)
        self.changed.notify_all()

    def _halt(self, task: TaskEntry, checkpoint: bool) -> None:
        task.progress(self.clock.now_ms())
        if checkpoint:
            self.checkpoints[task.task] = task.done_ms
            self._end(task, TaskState.CHECKPOINTED)
        else:
            self._end(task, TaskState.STOPPED)

    def _end(self, task: TaskEntry, state: TaskState) -> None:
        task.seq = self._bump()
        task.state = state
        self.ledger.end(task.task_id)

    def _used(self) -> Resources:
        used = Resources()
        for task in self.tasks.values():
            if task.is_live:
                used = used.plus(task.demand)
        return used

    def _advance(self) -> None:
        now_ms = self.clock.now_ms()
        for task in self.tasks.values():
            if task.is_live:
                self._advance_task(task, now_ms)

    def _advance_task(self, task: TaskEntry, now_ms: int) -> None:
        if not task.usage_shown and task.usage_due_ms <= now_ms:
            self._show_usage(task)
        if task.ends_ms <= min(now_ms, self.task_expiry_ms):
            failed = task.code != 0
            self._end(task, TaskState.FAILED if failed else TaskState.DONE)
        elif now_ms > self.task_expiry_ms:
            self._end(task, TaskState.LAPSED)

    def _show_usage(self, task: TaskEntry) -> None:
        self.seq += 1
        task.seq = self.seq
        task.usage_shown = True

    def _await_change(self, since: int, term: int, until_ms: int) -> None:
        while self.loud_seq <= since and self.grantor.term == term:
            now_ms = self.clock.now_ms()
            if now_ms >= until_ms:
                return
            due_ms = min(self._next_end_ms(), until_ms)
            self.changed.wait(max(1, due_ms - now_ms) / MS_PER_SECOND)
            self._advance()

    def _next_end_ms(self) -> int:
        lapse_ms = self.task_expiry_ms + 1
        ends = (task.ends_ms for task in self.tasks.values() if task.is_live)
        return min((min(end_ms, lapse_ms) for end_ms in ends), default=lapse_ms)

    def _bump(self) -> int:
        """Move on and wake whoever polls."""
        self.seq += 1
        self.loud_seq = self.seq
        self.changed.notify_all()
        return self.seq

    def _lease_response(self, granted: bool, since: int) -> Response:
        changed = [
            task for task in self.tasks.values() if granted and task.seq > since
        ]
        body = {
            'granted': granted,
            'term': self.grantor.term,
            'holder': self.grantor.holder,
            'boot': self.boot,
            'seq': self.seq,
            'leaving': self.leaving,
            'reports': [task.report() for task in changed],
        }
        return Response(200 if granted else HTTP_CONFLICT, body)
