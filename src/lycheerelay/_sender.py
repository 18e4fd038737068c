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
class Lane:
    """Hold what one worker still has to be told, in order."""

    worker: str
    backoff: Backoff
    commands: deque[TaskCommand] = field(default_factory=deque)
    scheduled: bool = False
    is_probe: bool = False


@final
class Sender:
    """Send commands under a valid lease only, and repeat lost ones.

    Each worker has a lane of its own with one command in flight. Workers
    that failed their last command share a few of the threads, so that dead
    ones cannot hold up the others. Commands that a lane drops are issued
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
        self.lanes: dict[str, Lane] = {}
        self.ready: list[tuple[int, int, Lane]] = []
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
            lane = self.lanes.get(command.worker)
            if lane is None:
                lane = Lane(command.worker, Backoff(command.worker))
                self.lanes[command.worker] = lane
            if len(lane.commands) >= MAX_QUEUED:
                self._drop(lane)
            lane.commands.append(command)
            if not lane.scheduled:
                self._schedule(lane, 0)

    def stop(self) -> None:
        """Let commands in flight finish, drop the others."""
        with self.wake:
            self.stopping = True
            self.wake.notify_all()
        for thread in self.threads:
            thread.join()

    def run(self) -> None:
        """Serve lanes until stopped."""
        while not self.stopping:
            lane = self._next_lane()
            if lane is not None:
                self._serve(lane)

    def _next_lane(self) -> Lane | None:
        with self.wake:
            wait_ms = self._wait_ms()
            if wait_ms:
                self.wake.wait(wait_ms / MS_PER_SECOND)
                return None
            lane = heapq.heappop(self.ready)[2]
            lane.is_probe = lane.backoff.failures > 0
            if lane.is_probe and self.probing >= PROBE_THREADS:
                self._schedule(lane, lane.backoff.pace.base_ms)
                return None
            self.probing += lane.is_probe
            return lane

    def _wait_ms(self) -> int:
        if not self.ready:
            return IDLE_MS
        return max(self.ready[0][0] - self.clock.now_ms(), 0)

    def _serve(self, lane: Lane) -> None:
        with self.wake:
            command = lane.commands.popleft()
        link = self.find_link(lane.worker)
        is_past = link is None or command.term != link.term
        may_send = link is not None and link.lease.is_valid(command.term)
        answered = may_send and self._try(link, command, lane.is_probe)
        with self.wake:
            self.probing -= lane.is_probe
            lane.scheduled = False
            if answered:
                self.sent += 1
                lane.backoff.reset()
            elif may_send:
                self.repeated += 1
                lane.commands.appendleft(command)
            else:
                self._give_up(lane, is_past)
            self._go_on(lane, failed=may_send and not answered)

    def _give_up(self, lane: Lane, is_past: bool) -> None:
        self.dropped += 1
        if not is_past:
            self._drop(lane)

    def _go_on(self, lane: Lane, *, failed: bool) -> None:
        delay_ms = lane.backoff.next_ms() if failed else 0
        if lane.commands:
            self._schedule(lane, delay_ms)
        elif lane.backoff.failures == 0:
            self.lanes.pop(lane.worker, None)

    def _schedule(self, lane: Lane, delay_ms: int) -> None:
        lane.scheduled = True
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self.ready, (at_ms, next(self.order), lane))
        self.wake.notify()

    def _drop(self, lane: Lane) -> None:
        self.dropped += len(lane.commands)
        lane.commands.clear()
        link = self.find_link(lane.worker)
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
