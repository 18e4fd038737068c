"""Task table of one worker stand-in."""

import threading
from typing import Final, final

from lycheerelay._clock import MS_PER_SECOND, Clock
from lycheerelay._jobs import TaskState
from lycheerelay._resources import Resources

from ._ledger import StartLedger
from ._tasks import TaskEntry

MAX_FORGOTTEN_TASKS: Final = 4096


@final
class TaskTable:
    """Tasks of a worker, which run until their shared lease expires.

    Callers must hold the condition `changed` during every call. `seq` numbers
    all changes; `wakeup_seq` is the last change that ends a long poll.
    """

    def __init__(self, clock: Clock, ledger: StartLedger) -> None:
        """Create an empty table."""
        self.clock = clock
        self.ledger = ledger
        self.tasks: dict[str, TaskEntry] = {}
        self.forgotten: dict[str, TaskEntry] = {}
        self.seq = 1
        self.wakeup_seq = 1
        self.expiry_ms = 0
        self.changed = threading.Condition()

    def find(self, task_id: str) -> TaskEntry | None:
        """Return a task, including a recently forgotten one."""
        return self.tasks.get(task_id) or self.forgotten.get(task_id)

    def add_not_started(self, task_id: str) -> TaskEntry:
        """Reserve an id so that no task can start with it."""
        task = TaskEntry(
            task_id,
            Resources(),
            TaskState.NOT_STARTED,
            self.publish_change(),
        )
        self.tasks[task_id] = task
        return task

    def end(self, task: TaskEntry, state: TaskState) -> None:
        """End a task and wake up long polls."""
        task.seq = self.publish_change()
        task.state = state
        self.ledger.record_end(task.task_id)

    def forget(self, task_id: str) -> None:
        """Drop an ended task; its id still blocks late repeated starts."""
        task = self.tasks.get(task_id)
        if task is not None and not task.is_live:
            self.forgotten[task_id] = self.tasks.pop(task_id)
        while len(self.forgotten) > MAX_FORGOTTEN_TASKS:
            self.forgotten.pop(next(iter(self.forgotten)))

    def clear(self) -> None:
        """Drop every task, as a reboot does."""
        for task in self.tasks.values():
            self.ledger.record_end(task.task_id)
        self.tasks.clear()
        self.forgotten.clear()
        self.expiry_ms = 0
        self.publish_change()

    def allocated(self) -> Resources:
        """Return the resources allocated to live tasks."""
        total = Resources()
        for task in self.tasks.values():
            if task.is_live:
                total = total.plus(task.demand)
        return total

    def is_live_now(self, task: TaskEntry) -> bool:
        """Return whether a task runs now, even before `advance` ends it."""
        end_ms = min(task.end_ms, self.expiry_ms)
        return task.is_live and self.clock.now_ms() < end_ms

    def advance(self) -> None:
        """Report due usage and end the tasks that are done or expired."""
        now_ms = self.clock.now_ms()
        for task in self.tasks.values():
            if task.is_live:
                self._advance_task(task, now_ms)

    def report_usage(self, task: TaskEntry) -> None:
        """Include the usage of a task in reports from now on."""
        self.seq += 1
        task.seq = self.seq
        task.usage_reported = True

    def wait_for_change(self, since: int, until_ms: int) -> None:
        """Wait for a change after `since` that ends the poll, or `until_ms`."""
        while self.wakeup_seq <= since:
            now_ms = self.clock.now_ms()
            if now_ms >= until_ms:
                return
            due_ms = min(self._next_end_ms(), until_ms)
            self.changed.wait(max(1, due_ms - now_ms) / MS_PER_SECOND)
            self.advance()

    def publish_change(self) -> int:
        """Count a change, wake up long polls and return its number."""
        self.seq += 1
        self.wakeup_seq = self.seq
        self.changed.notify_all()
        return self.seq

    def _advance_task(self, task: TaskEntry, now_ms: int) -> None:
        if not task.usage_reported and task.usage_due_ms <= now_ms:
            self.report_usage(task)
        if task.end_ms <= min(now_ms, self.expiry_ms):
            failed = task.code != 0
            self.end(task, TaskState.FAILED if failed else TaskState.DONE)
        elif now_ms > self.expiry_ms:
            self.end(task, TaskState.LAPSED)

    def _next_end_ms(self) -> int:
        expired_ms = self.expiry_ms + 1
        ends = (task.end_ms for task in self.tasks.values() if task.is_live)
        return min(
            (min(end_ms, expired_ms) for end_ms in ends), default=expired_ms
        )
