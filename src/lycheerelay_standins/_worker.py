"""Stand-in of a worker of the platform, served over HTTP."""

from typing import Final, final

from lycheerelay._clock import Clock
from lycheerelay._codec import Json
from lycheerelay._codes import Code
from lycheerelay._jobs import TaskState
from lycheerelay._lease import LeaseGrantor
from lycheerelay._resources import Resources
from lycheerelay._web import Request, Response, Route, route

from ._faults import FaultSwitches
from ._ledger import StartLedger
from ._task_table import TaskTable
from ._tasks import (
    HTTP_CONFLICT,
    TaskEntry,
    refused_response,
    task_from_request,
    task_response,
    unknown_response,
)

USAGE_LAG_MS: Final = 1000
FAILURE_EXIT_CODE: Final = 70


@final
class WorkerStandIn:
    """Simulate tasks that end after the run time in their payload.

    Every request first ends the tasks that are done or expired by now, so
    that a worker that was paused reports no ended task as running.
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
        """Start without tasks; workers may share ledger and checkpoints."""
        self.capacity = capacity
        self.boot = boot
        self.boot_count = 1
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
        self.fault_switches = FaultSwitches(
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
        """Return the tasks that were not forgotten, by id."""
        return self.table.tasks

    @property
    def task_expiry_ms(self) -> int:
        """Return when every task expires unless its lease is renewed."""
        return self.table.expiry_ms

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the worker, with fault switches."""
        return self.fault_switches.wrap(
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
        """Grant or renew the placement lease; wait for and report changes."""
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
                self._extend_leases(body)
                until_ms = self.clock.now_ms() + body['wait_ms']
                self.table.wait_for_change(body['since'], until_ms)
                granted = self.grantor.term == term
            return self._lease_response(granted, body['since'])

    def start(self, request: Request) -> Response:
        """Start a task, at most once for each id."""
        body = request.body
        with self.changed:
            self.table.advance()
            known = self.table.find(body['task_id'])
            if known is not None:
                return task_response(known.state, known.code, self.boot)
            if not self.grantor.admits(body['term']):
                return refused_response(Code.STALE_TERM, self.boot)
            if (
                self.leaving
                or self._is_other_boot(body)
                or self._is_past_latest_start(body)
            ):
                return refused_response(Code.WORKER_REFUSED, self.boot)
            self._start_task(body)
        return task_response(TaskState.RUNNING, Code.OK, self.boot)

    def stop(self, request: Request) -> Response:
        """Stop a task; a later start with an unknown id is refused."""
        body = request.body
        with self.changed:
            self.table.advance()
            if not self.grantor.admits(body['term']):
                return unknown_response(Code.STALE_TERM, self.boot)
            if self._is_other_boot(body):
                return unknown_response(Code.WORKER_REFUSED, self.boot)
            task = self.table.find(body['task_id'])
            if task is None:
                task = self.table.add_not_started(body['task_id'])
            elif task.is_live:
                self._stop_live(task, checkpoint=body['checkpoint'])
            return task_response(task.state, task.code, self.boot)

    def throttle(self, request: Request) -> Response:
        """Change the speed of a task, in percent of its full speed."""
        body = request.body
        with self.changed:
            self.table.advance()
            if not self.grantor.admits(body['term']):
                return unknown_response(Code.STALE_TERM, self.boot)
            task = self.table.find(body['task_id'])
            if task is None:
                return unknown_response(Code.NOT_FOUND, self.boot)
            if task.is_live:
                task.throttle(body['percent'], self.clock.now_ms())
                self.table.report_usage(task)
                self.changed.notify_all()
            return task_response(task.state, task.code, self.boot)

    def forget(self, request: Request) -> Response:
        """Drop an ended task; its id still blocks late repeated starts."""
        with self.changed:
            self.table.advance()
            self.table.forget(request.body['task_id'])
        return task_response(TaskState.DONE, Code.OK, self.boot)

    def show_ledger(self, request: Request) -> Response:
        """Return the ledger of starts."""
        return Response(200, self.ledger.as_json())

    def reboot(self) -> None:
        """Lose every task and lease and change the boot id."""
        with self.changed:
            self.boot_count += 1
            self.boot = f'{self.boot.partition("+")[0]}+{self.boot_count}'
            self.grantor = LeaseGrantor(self.clock)
            self.table.clear()

    def leave(self, leaving: bool) -> None:
        """Set whether the worker is leaving; a leaving one refuses starts."""
        with self.changed:
            self.leaving = leaving
            self.table.publish_change()

    def set_usage_lag(self, usage_lag_ms: int) -> None:
        """Set the delay from a start to the first usage report."""
        self.usage_lag_ms = usage_lag_ms

    def _extend_leases(self, body: Json) -> None:
        """Extend the leases of tasks from the time that the holder names.

        A time of 0 extends nothing.
        """
        as_of_ms = body.get('as_of_ms', self.clock.now_ms())
        if as_of_ms:
            until_ms = as_of_ms + body['task_ttl_ms']
            self.table.expiry_ms = max(self.table.expiry_ms, until_ms)

    def _is_other_boot(self, body: Json) -> bool:
        return (body.get('boot') or self.boot) != self.boot

    def _is_past_latest_start(self, body: Json) -> bool:
        now_ms = self.clock.now_ms()
        return bool((body.get('until_ms') or now_ms) < now_ms)

    def _start_task(self, body: Json) -> None:
        now_ms = self.clock.now_ms()
        self.table.seq += 1
        task = task_from_request(body, self.table.seq, now_ms)
        task.completed_ms = self.checkpoints.get(task.task, 0)
        task.usage_due_ms = now_ms + self.usage_lag_ms
        if self.fail_all:
            task.code = FAILURE_EXIT_CODE
            task.work_ms = 0
        self.tasks[task.task_id] = task
        self.ledger.record_start(
            task.task_id,
            self.name,
            now_ms,
            lambda: self.table.is_live_now(task),
        )
        if not self.table.allocated().fits_in(self.capacity):
            self.overbooked += 1
            self.ledger.record_overbooking(self.name)
        self.changed.notify_all()

    def _stop_live(self, task: TaskEntry, checkpoint: bool) -> None:
        task.update_progress(self.clock.now_ms())
        if checkpoint:
            self.checkpoints[task.task] = task.completed_ms
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
