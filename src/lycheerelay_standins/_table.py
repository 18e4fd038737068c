"""Keep the task table of one worker and let time pass in it."""

import threading
from typing import Final, final

from lycheerelay._clock import MS_PER_SECOND, Clock
from lycheerelay._jobs import TaskState
from lycheerelay._resources import Resources

from ._ledger import StartLedger
from ._tasks import TaskEntry

KEPT_IDS: Final = 4096


@final
class TaskTable:
    """Hold tasks that run while their common lease lasts.

    Callers hold `changed` around every call.
    """

    def __init__(self, clock: Clock, ledger: StartLedger) -> None:
        """Start empty."""
        self.clock = clock
        self.ledger = ledger
        self.tasks: dict[str, TaskEntry] = {}
        self.forgotten: dict[str, TaskEntry] = {}
        self.seq = 1
        self.loud_seq = 1
        self.expiry_ms = 0
        self.changed = threading.Condition()

    def find(self, task_id: str) -> TaskEntry | None:
        """Return a task, also one that was forgotten not long ago."""
        return self.tasks.get(task_id) or self.forgotten.get(task_id)

    def add_void(self, task_id: str) -> TaskEntry:
        """Take an id so that nothing can start under it."""
        task = TaskEntry(
            task_id,
            Resources(),
            TaskState.NOT_STARTED,
            self.bump(),
        )
        self.tasks[task_id] = task
        return task

    def end(self, task: TaskEntry, state: TaskState) -> None:
        """End a task and wake whoever polls."""
        task.seq = self.bump()
        task.state = state
        self.ledger.end(task.task_id)

    def forget(self, task_id: str) -> None:
        """Drop an ended task; its id stays taken for late repeats."""
        task = self.tasks.get(task_id)
        if task is not None and not task.is_live:
            self.forgotten[task_id] = self.tasks.pop(task_id)
        while len(self.forgotten) > KEPT_IDS:
            self.forgotten.pop(next(iter(self.forgotten)))

    def clear(self) -> None:
        """Lose every task, as a reboot does."""
        for task in self.tasks.values():
            self.ledger.end(task.task_id)
        self.tasks.clear()
        self.forgotten.clear()
        self.expiry_ms = 0
        self.bump()

    def used(self) -> Resources:
        """Sum up what live tasks book."""
        total = Resources()
        for task in self.tasks.values():
            if task.is_live:
                total = total.plus(task.demand)
        return total

    def is_live_now(self, task: TaskEntry) -> bool:
        """Tell whether a task runs, also before the worker looked."""
        over_ms = min(task.ends_ms, self.expiry_ms)
        return task.is_live and self.clock.now_ms() < over_ms

    def advance(self) -> None:
        """Show due usage and end what is done or lapsed."""
        now_ms = self.clock.now_ms()
        for task in self.tasks.values():
            if task.is_live:
                self._advance_task(task, now_ms)

    def show_usage(self, task: TaskEntry) -> None:
        """Report the usage of a task from the next reply on."""
        self.seq += 1
        task.seq = self.seq
        task.usage_shown = True

    def await_change(self, since: int, until_ms: int) -> None:
        """Wait for an end, another loud change or the given time."""
        while self.loud_seq <= since:
            now_ms = self.clock.now_ms()
            if now_ms >= until_ms:
                return
            due_ms = min(self._next_end_ms(), until_ms)
            self.changed.wait(max(1, due_ms - now_ms) / MS_PER_SECOND)
            self.advance()

    def bump(self) -> int:
        """Move on and wake whoever polls."""
        self.seq += 1
        self.loud_seq = self.seq
        self.changed.notify_all()
        return self.seq

    def _advance_task(self, task: TaskEntry, now_ms: int) -> None:
        if not task.usage_shown and task.usage_due_ms <= now_ms:
            self.show_usage(task)
        if task.ends_ms <= min(now_ms, self.expiry_ms):
            failed = task.code != 0
            self.end(task, TaskState.FAILED if failed else TaskState.DONE)
        elif now_ms > self.expiry_ms:
            self.end(task, TaskState.LAPSED)

    def _next_end_ms(self) -> int:
        lapse_ms = self.expiry_ms + 1
        ends = (task.ends_ms for task in self.tasks.values() if task.is_live)
        return min((min(end_ms, lapse_ms) for end_ms in ends), default=lapse_ms)
