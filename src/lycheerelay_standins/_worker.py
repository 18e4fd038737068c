"""Stand in for one of the platform's workers."""

from typing import Final, final

from lycheerelay._clock import Clock
from lycheerelay._codec import Json
from lycheerelay._codes import Code
from lycheerelay._jobs import TaskState
from lycheerelay._lease import LeaseGrantor
from lycheerelay._resources import Resources
from lycheerelay._web import Request, Response, Route, route

from ._faults import SwitchBoard
from ._ledger import StartLedger
from ._table import TaskTable
from ._tasks import (
    HTTP_CONFLICT,
    TaskEntry,
    answer,
    read_task,
    refusal,
    unknown,
)

USAGE_LAG_MS: Final = 1000
FAILED_EXIT: Final = 70


@final
class WorkerStandIn:
    """Run pretended tasks that end after the time in their payload.

    Every request first ends what is done or lapsed by the clock, so that a
    worker that was paused grants and reports nothing that is over.
    """

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
        self.table = TaskTable(clock, self.ledger)
        self.changed = self.table.changed
        self.leaving = False
        self.fail_all = False
        self.usage_lag_ms = USAGE_LAG_MS
        self.overbooked = 0
        self.polls = 0
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

    @property
    def tasks(self) -> dict[str, TaskEntry]:
        """Return the tasks that are not forgotten."""
        return self.table.tasks

    @property
    def task_expiry_ms(self) -> int:
        """Return when every task lapses unless a renewal comes."""
        return self.table.expiry_ms

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
        term: int = body['term']
        with self.changed:
            self.table.advance()
            self.polls += 1
            granted = self.grantor.request(
                body['holder'],
                term,
                body['ttl_ms'],
            ).granted
            if granted:
                self._prolong(body)
                until_ms = self.clock.now_ms() + body['wait_ms']
                self.table.await_change(body['since'], until_ms)
                granted = self.grantor.term == term
            return self._lease_response(granted, body['since'])

    def start(self, request: Request) -> Response:
        """Create a task under its id, once."""
        body = request.body
        with self.changed:
            self.table.advance()
            known = self.table.find(body['task_id'])
            if known is not None:
                return answer(known.state, known.code, self.boot)
            if not self.grantor.admits(body['term']):
                return refusal(Code.STALE_TERM, self.boot)
            if self.leaving or self._is_other_boot(body) or self._is_late(body):
                return refusal(Code.WORKER_REFUSED, self.boot)
            self._create(body)
        return answer(TaskState.RUNNING, Code.OK, self.boot)

    def stop(self, request: Request) -> Response:
        """Stop a task; an unknown id is void from now on."""
        body = request.body
        with self.changed:
            self.table.advance()
            if not self.grantor.admits(body['term']):
                return unknown(Code.STALE_TERM, self.boot)
            if self._is_other_boot(body):
                return unknown(Code.WORKER_REFUSED, self.boot)
            task = self.table.find(body['task_id'])
            if task is None:
                task = self.table.add_void(body['task_id'])
            elif task.is_live:
                self._halt(task, checkpoint=body['checkpoint'])
            return answer(task.state, task.code, self.boot)

    def throttle(self, request: Request) -> Response:
        """Change the speed of a task in percent of its full one."""
        body = request.body
        with self.changed:
            self.table.advance()
            if not self.grantor.admits(body['term']):
                return unknown(Code.STALE_TERM, self.boot)
            task = self.table.find(body['task_id'])
            if task is None:
                return unknown(Code.NOT_FOUND, self.boot)
            if task.is_live:
                task.throttle(body['percent'], self.clock.now_ms())
                self.table.show_usage(task)
                self.changed.notify_all()
            return answer(task.state, task.code, self.boot)

    def forget(self, request: Request) -> Response:
        """Drop an ended task; its id stays taken for late repeats."""
        with self.changed:
            self.table.advance()
            self.table.forget(request.body['task_id'])
        return answer(TaskState.DONE, Code.OK, self.boot)

    def show_ledger(self, request: Request) -> Response:
        """Show every start that was ever taken."""
        return Response(200, self.ledger.shown())

    def reboot(self) -> None:
        """Lose every task and lease and come back under another boot id."""
        with self.changed:
            self.boots += 1
            self.boot = f'{self.boot.partition("+")[0]}+{self.boots}'
            self.grantor = LeaseGrantor(self.clock)
            self.table.clear()

    def leave(self, leaving: bool) -> None:
        """Refuse starts from now on, and say so."""
        with self.changed:
            self.leaving = leaving
            self.table.bump()

    def set_usage_lag(self, usage_lag_ms: int) -> None:
        """Report usage this long after a start."""
        self.usage_lag_ms = usage_lag_ms

    def _prolong(self, body: Json) -> None:
        """Let tasks live on, counted from the time that the holder names."""
        as_of_ms = body.get('as_of_ms', self.clock.now_ms())
        if as_of_ms:
            until_ms = as_of_ms + body['task_ttl_ms']
            self.table.expiry_ms = max(self.table.expiry_ms, until_ms)

    def _is_other_boot(self, body: Json) -> bool:
        return (body.get('boot') or self.boot) != self.boot

    def _is_late(self, body: Json) -> bool:
        now_ms = self.clock.now_ms()
        return bool((body.get('until_ms') or now_ms) < now_ms)

    def _create(self, body: Json) -> None:
        now_ms = self.clock.now_ms()
        self.table.seq += 1
        task = read_task(body, self.table.seq, now_ms)
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
            lambda: self.table.is_live_now(task),
        )
        if not self.table.used().fits_in(self.capacity):
            self.overbooked += 1
            self.ledger.overbook(self.name)
        self.changed.notify_all()

    def _halt(self, task: TaskEntry, checkpoint: bool) -> None:
        task.progress(self.clock.now_ms())
        if checkpoint:
            self.checkpoints[task.task] = task.done_ms
            self.table.end(task, TaskState.CHECKPOINTED)
        else:
            self.table.end(task, TaskState.STOPPED)

    def _lease_response(self, granted: bool, since: int) -> Response:
        reports = [
            task.report()
            for task in self.tasks.values()
            if granted and task.seq > since
        ]
        body = {
            'granted': granted,
            'term': self.grantor.term,
            'holder': self.grantor.holder,
            'boot': self.boot,
            'seq': self.table.seq,
            'leaving': self.leaving,
            'now_ms': self.clock.now_ms(),
            'reports': reports,
        }
        return Response(200 if granted else HTTP_CONFLICT, body)
