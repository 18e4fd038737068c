"""Send the core's task commands to workers until they are answered."""

import heapq
import itertools
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, final

from result import Err

from ._backoff import Backoff
from ._clock import MS_PER_SECOND, Clock
from ._codes import Code
from ._commands import ForgetTask, StartTask, StopTask, ThrottleTask
from ._events import Event, StartAnswered
from ._jobs import TaskState
from ._worker_link import WorkerLink

THREADS: Final = 16
PROBE_THREADS: Final = 4
MAX_QUEUED: Final = 2000
IDLE_MS: Final = 30_000

# A reply to a command carries no answer of the task; the report that the link
# delivers does, so only that one may end an attempt in these states.
STATES_WITH_ANSWERS: Final = frozenset((TaskState.DONE, TaskState.FAILED))

TaskCommand = StartTask | StopTask | ThrottleTask | ForgetTask


@dataclass(slots=True)
class WorkerQueue:
    """Hold what one worker still has to be told, in order."""

    worker: str
    backoff: Backoff
    commands: deque[TaskCommand] = field(default_factory=deque)
    scheduled: bool = False
    is_probe: bool = False


@final
class Sender:
    """Send commands under a valid lease only, and repeat lost ones.

    Each worker has a queue of its own with one command in flight. Workers
    that failed their last command share a few of the threads, so that dead
    ones cannot hold up the others. Commands that a queue drops are issued
    again once the link has compared the books with the worker's table.
    """

    def __init__(
        self,
        find_link: Callable[[str], WorkerLink | None],
        post: Callable[[str, Event], None],
        clock: Clock,
        threads: int = THREADS,
    ) -> None:
        """Share the links of the node; start the threads."""
        self.find_link = find_link
        self.post = post
        self.clock = clock
        self.queues: dict[str, WorkerQueue] = {}
        self.ready: list[tuple[int, int, WorkerQueue]] = []
        self.order = itertools.count()
        self.probing = 0
        self.sent = 0
        self.repeated = 0
        self.dropped = 0
        self.stopping = False
        self.wake = threading.Condition()
        self.threads = [
            threading.Thread(target=self.run, name='sender', daemon=True)
            for _ in range(threads)
        ]
        for thread in self.threads:
            thread.start()

    def send(self, command: TaskCommand) -> None:
        """Queue a command for its worker."""
        with self.wake:
            queue = self.queues.get(command.worker)
            if queue is None:
                queue = WorkerQueue(command.worker, Backoff(command.worker))
                self.queues[command.worker] = queue
            if len(queue.commands) >= MAX_QUEUED:
                self._drop(queue)
            queue.commands.append(command)
            if not queue.scheduled:
                self._schedule(queue, 0)

    def stop(self) -> None:
        """Let commands in flight finish, drop the others."""
        with self.wake:
            self.stopping = True
            self.wake.notify_all()
        for thread in self.threads:
            thread.join()

    def run(self) -> None:
        """Serve queues until stopped."""
        while not self.stopping:
            queue = self._next_queue()
            if queue is not None:
                self._serve(queue)

    def _next_queue(self) -> WorkerQueue | None:
        with self.wake:
            wait_ms = self._wait_ms()
            if wait_ms:
                self.wake.wait(wait_ms / MS_PER_SECOND)
                return None
            queue = heapq.heappop(self.ready)[2]
            queue.is_probe = queue.backoff.failures > 0
            if queue.is_probe and self.probing >= PROBE_THREADS:
                self._schedule(queue, queue.backoff.pace.base_ms)
                return None
            self.probing += queue.is_probe
            return queue

    def _wait_ms(self) -> int:
        if not self.ready:
            return IDLE_MS
        return max(self.ready[0][0] - self.clock.now_ms(), 0)

    def _serve(self, queue: WorkerQueue) -> None:
        with self.wake:
            command = queue.commands.popleft()
        link = self.find_link(queue.worker)
        is_past = link is None or command.term != link.term
        may_send = link is not None and link.lease.is_valid(command.term)
        answered = may_send and self._try(link, command, queue.is_probe)
        with self.wake:
            self.probing -= queue.is_probe
            queue.scheduled = False
            if answered:
                self.sent += 1
                queue.backoff.reset()
            elif may_send:
                self.repeated += 1
                queue.commands.appendleft(command)
            else:
                self._give_up(queue, is_past)
            self._go_on(queue, failed=may_send and not answered)

    def _give_up(self, queue: WorkerQueue, is_past: bool) -> None:
        self.dropped += 1
        if not is_past:
            self._drop(queue)

    def _go_on(self, queue: WorkerQueue, *, failed: bool) -> None:
        delay_ms = queue.backoff.next_ms() if failed else 0
        if queue.commands:
            self._schedule(queue, delay_ms)
        elif queue.backoff.failures == 0:
            self.queues.pop(queue.worker, None)

    def _schedule(self, queue: WorkerQueue, delay_ms: int) -> None:
        queue.scheduled = True
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self.ready, (at_ms, next(self.order), queue))
        self.wake.notify()

    def _drop(self, queue: WorkerQueue) -> None:
        self.dropped += len(queue.commands)
        queue.commands.clear()
        link = self.find_link(queue.worker)
        if link is not None:
            link.resync()

    def _try(
        self,
        link: WorkerLink | None,
        command: TaskCommand,
        is_repeat: bool,
    ) -> bool:
        if link is None:
            return False
        if isinstance(command, ForgetTask):
            forgotten = link.client.forget(command.term, command.key)
            return not isinstance(forgotten, Err)
        if isinstance(command, ThrottleTask):
            slowed = link.client.throttle(
                command.term,
                command.key,
                command.percent,
            )
            return not isinstance(slowed, Err)
        if isinstance(command, StartTask):
            reply = link.client.start(
                command.term,
                command.key,
                command.spec,
                command.boot,
                link.start_until_ms(),
            )
        else:
            reply = link.client.stop(
                command.term,
                command.key,
                command.checkpoint,
                command.boot,
            )
        if isinstance(reply, Err):
            return False
        answer = reply.ok_value
        is_refused = answer.state is TaskState.NOT_STARTED
        if answer.code == Code.STALE_TERM or (is_refused and is_repeat):
            # An earlier copy may have been taken; the table tells.
            link.resync()
            return True
        if answer.state in STATES_WITH_ANSWERS:
            return True
        self.post(
            command.worker,
            StartAnswered(
                command.worker,
                command.key,
                answer.state,
                answer.code,
                answer.boot,
            ),
        )
        return True
