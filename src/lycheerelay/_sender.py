"""Send the core's task commands to workers and retry lost ones."""

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
MAX_QUEUED_COMMANDS: Final = 2000
IDLE_MS: Final = 30_000

# The reply to a command does not carry the task's answer. The report that the
# link delivers does, so only that report may end an attempt in these states.
STATES_WITH_ANSWERS: Final = frozenset((TaskState.DONE, TaskState.FAILED))

TaskCommand = StartTask | StopTask | ThrottleTask | ForgetTask


@dataclass(slots=True)
class WorkerQueue:
    """Hold the commands to send to one worker, in order."""

    worker: str
    backoff: Backoff
    commands: deque[TaskCommand] = field(default_factory=deque)
    scheduled: bool = False
    is_probe: bool = False


@final
class Sender:
    """Send commands only under a valid lease, and repeat unanswered ones.

    Each worker has its own queue with one command in flight. Workers whose
    last command failed share PROBE_THREADS of the threads, so that
    unresponsive workers do not delay the others. The core issues dropped
    commands again once the link has delivered the worker's run table.
    """

    def __init__(
        self,
        find_link: Callable[[str], WorkerLink | None],
        post: Callable[[str, Event], None],
        clock: Clock,
        threads: int = THREADS,
    ) -> None:
        """Start the threads, which look links up by worker name."""
        self.find_link = find_link
        self.post = post
        self.clock = clock
        self.queues: dict[str, WorkerQueue] = {}
        self.ready: list[tuple[int, int, WorkerQueue]] = []
        self.sequence = itertools.count()
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
            if len(queue.commands) >= MAX_QUEUED_COMMANDS:
                self._drop_commands(queue)
            queue.commands.append(command)
            if not queue.scheduled:
                self._schedule(queue, 0)

    def stop(self) -> None:
        """Finish the commands in flight and drop the others."""
        with self.wake:
            self.stopping = True
            self.wake.notify_all()
        for thread in self.threads:
            thread.join()

    def run(self) -> None:
        """Send commands until stopped."""
        while not self.stopping:
            queue = self._next_queue()
            if queue is not None:
                self._send_next(queue)

    def _next_queue(self) -> WorkerQueue | None:
        with self.wake:
            wait_ms = self._wait_ms()
            if wait_ms:
                self.wake.wait(wait_ms / MS_PER_SECOND)
                return None
            queue = heapq.heappop(self.ready)[2]
            queue.is_probe = queue.backoff.failures > 0
            if queue.is_probe and self.probing >= PROBE_THREADS:
                self._schedule(queue, queue.backoff.delays.base_ms)
                return None
            self.probing += queue.is_probe
            return queue

    def _wait_ms(self) -> int:
        if not self.ready:
            return IDLE_MS
        return max(self.ready[0][0] - self.clock.now_ms(), 0)

    def _send_next(self, queue: WorkerQueue) -> None:
        with self.wake:
            command = queue.commands.popleft()
        link = self.find_link(queue.worker)
        is_outdated = link is None or command.term != link.term
        may_send = link is not None and link.lease.is_valid(command.term)
        answered = may_send and self._call(link, command, queue.is_probe)
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
                self._count_unsent(queue, is_outdated)
            self._reschedule(queue, failed=may_send and not answered)

    def _count_unsent(self, queue: WorkerQueue, is_outdated: bool) -> None:
        self.dropped += 1
        if not is_outdated:
            self._drop_commands(queue)

    def _reschedule(self, queue: WorkerQueue, *, failed: bool) -> None:
        delay_ms = queue.backoff.next_ms() if failed else 0
        if queue.commands:
            self._schedule(queue, delay_ms)
        elif queue.backoff.failures == 0:
            self.queues.pop(queue.worker, None)

    def _schedule(self, queue: WorkerQueue, delay_ms: int) -> None:
        queue.scheduled = True
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self.ready, (at_ms, next(self.sequence), queue))
        self.wake.notify()

    def _drop_commands(self, queue: WorkerQueue) -> None:
        self.dropped += len(queue.commands)
        queue.commands.clear()
        link = self.find_link(queue.worker)
        if link is not None:
            link.resync()

    def _call(
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
            throttled = link.client.throttle(
                command.term,
                command.key,
                command.percent,
            )
            return not isinstance(throttled, Err)
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
            # An earlier copy may have been accepted; the run table shows it.
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
