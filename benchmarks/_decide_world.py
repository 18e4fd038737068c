"""Echo journal and workers to the core, in virtual time."""

import random
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Final

from _decide_load import POOL, Arrival, Scenario
from _decide_measure import Measure

from lycheerelay._commands import (
    Append,
    Command,
    ReplyRefused,
    StartTask,
    StopTask,
)
from lycheerelay._core import step
from lycheerelay._events import (
    CancelRequested,
    Configured,
    Event,
    LeaseHeld,
    LeaseLost,
    Recorded,
    SubmitRequested,
    TaskReport,
    TasksReported,
    Tick,
    WorkerListed,
)
from lycheerelay._jobs import AttemptKey, TaskState
from lycheerelay._policy import Policy
from lycheerelay._records import Intended, TermTaken
from lycheerelay._resources import Resources
from lycheerelay._state import ShardState

COMMIT_MS: Final = 20
LOG_DELAY_MS: Final = 10
SEND_MS: Final = 2
REPORT_LAG_MS: Final = 100
CHECKPOINT_MS: Final = 200
RESTART_MS: Final = 5000
TICK_MS: Final = 100
MAX_BURST: Final = 200
NS_PER_US: Final = 1000


@dataclass(slots=True)
class EchoWorker:
    """Run tasks for their true time and check every hard limit."""

    name: str
    free: Resources
    boot: str = 'boot-0'
    tasks: dict[AttemptKey, Resources] = field(default_factory=dict)
    begun_ms: dict[AttemptKey, int] = field(default_factory=dict)


class World:
    """Drive one core through one scenario."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        """Queue the whole stream."""
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.state = ShardState('a', POOL, 'n1')
        self.queue: list[tuple[int, int, str, object]] = []
        self.serial = 0
        self.now_ms = 0
        self.arrivals: dict[str, Arrival] = {}
        self.left_ms: dict[tuple[str, int], int] = {}
        self.workers: dict[str, EchoWorker] = {}
        self.measure = Measure(scenario)
        self.policy = policy
        self._open()

    def run(self) -> Measure:
        """Run to the horizon."""
        while self.queue and self.queue[0][0] <= self.scenario.horizon_ms:
            self._round()
        self.measure.finish(self.state, self.scenario.horizon_ms)
        return self.measure

    def _open(self) -> None:
        self._feed(0, Configured(self.policy))
        for spec in self.scenario.workers:
            self.workers[spec.name] = EchoWorker(spec.name, spec.capacity)
            self._feed(0, WorkerListed(spec))
        self._feed(0, Recorded(TermTaken(POOL, 1, 'n1', 0)))
        for spec in self.scenario.workers:
            self._feed(0, LeaseHeld(spec.name, 1, 'boot-0', False, ()))
        for arrival in self.scenario.arrivals(self.rng):
            self._push(arrival.at_ms, 'submit', arrival)
        for at_ms in range(0, self.scenario.horizon_ms, TICK_MS):
            self._push(at_ms, 'tick', None)
        if self.scenario.cancel_at_ms:
            self._push(self.scenario.cancel_at_ms, 'cancel', None)
        every_ms = self.scenario.restart_every_ms
        if every_ms:
            for at_ms in range(every_ms, self.scenario.horizon_ms, every_ms):
                self._push(at_ms, 'restart', None)

    def _push(self, at_ms: int, what: str, item: object) -> None:
        self.serial += 1
        heappush(self.queue, (at_ms, self.serial, what, item))

    def _feed(self, at_ms: int, event: Event) -> None:
        self._push(at_ms, 'event', event)

    def _round(self) -> None:
        """Take what is due, at most a burst, then tick, as a node does."""
        self.now_ms = self.queue[0][0]
        spent_ns = 0
        for _ in range(MAX_BURST):
            if not self.queue or self.queue[0][0] > self.now_ms:
                break
            _, _, what, item = heappop(self.queue)
            spent_ns += getattr(self, f'_on_{what}')(item)
        spent_ns += self._step(Tick())
        self.measure.note_round(self.now_ms, spent_ns)

    def _step(self, event: Event) -> int:
        begun_ns = time.perf_counter_ns()
        _, commands = step(self.state, event, self.now_ms)
        spent_ns = time.perf_counter_ns() - begun_ns
        self.measure.note_step(self.now_ms, event, commands, spent_ns)
        self._execute(commands)
        return spent_ns

    def _execute(self, commands: Iterable[Command]) -> None:
        for command in commands:
            if isinstance(command, Append):
                self._append(command)
            elif isinstance(command, StartTask):
                self._push(self.now_ms + SEND_MS, 'start', command)
            elif isinstance(command, StopTask):
                self._push(self.now_ms + SEND_MS, 'stop', command)
            elif isinstance(command, ReplyRefused):
                self.measure.note_refused(command)

    def _append(self, command: Append) -> None:
        next_commit = (self.now_ms // COMMIT_MS + 1) * COMMIT_MS
        self._feed(next_commit + LOG_DELAY_MS, Recorded(command.record))
        if isinstance(command.record, Intended):
            self.measure.intents += 1

    def _on_event(self, event: Event) -> int:
        return self._step(event)

    def _on_tick(self, nothing: None) -> int:
        return 0

    def _on_submit(self, arrival: Arrival) -> int:
        self.arrivals[arrival.spec.job_id] = arrival
        self.measure.note_submit(arrival, self.now_ms)
        return self._step(SubmitRequested(self.serial, arrival.spec))

    def _on_cancel(self, nothing: None) -> int:
        names = [
            name
            for name in self.state.waiting
            if self.rng.random() < self.scenario.cancel_share
        ]
        for name in names:
            self._feed(self.now_ms, CancelRequested(0, name))
            self.measure.note_cancel(name)
        self.measure.cancelled = len(names)
        self.measure.wave_ms = self.now_ms
        return 0

    def _on_start(self, command: StartTask) -> int:
        worker = self.workers[command.worker]
        key = command.key
        if key in worker.tasks or command.boot != worker.boot:
            return 0
        demand = command.spec.demand
        worker.tasks[key] = demand
        worker.begun_ms[key] = self.now_ms
        worker.free = worker.free.minus(demand)
        self.measure.note_start(key, demand, self.now_ms)
        if min(worker.free) < 0:
            self.measure.overbooked += 1
        self._report(worker, TaskReport(key, TaskState.RUNNING))
        left_ms = self._left_ms(key)
        self._push(self.now_ms + left_ms, 'end', (worker.name, key))
        return 0

    def _left_ms(self, key: AttemptKey) -> int:
        arrival = self.arrivals[key.job_id]
        task = (key.job_id, key.task_index)
        return self.left_ms.get(task, arrival.run_ms[key.task_index])

    def _on_stop(self, command: StopTask) -> int:
        what = 'checkpointed' if command.checkpoint else 'stopped'
        item = (command.worker, command.key)
        self._push(self.now_ms + CHECKPOINT_MS, what, item)
        return 0

    def _on_end(self, item: tuple[str, AttemptKey]) -> int:
        key = item[1]
        failed = self.arrivals[key.job_id].fails[key.task_index]
        state = TaskState.FAILED if failed else TaskState.DONE
        return self._finish(item, state)

    def _on_stopped(self, item: tuple[str, AttemptKey]) -> int:
        return self._finish(item, TaskState.STOPPED)

    def _on_checkpointed(self, item: tuple[str, AttemptKey]) -> int:
        name, key = item
        worker = self.workers[name]
        spec = self.arrivals[key.job_id].spec
        if key in worker.tasks:
            self.measure.preempted += 1
            if spec.checkpointable:
                ran_ms = self.now_ms - worker.begun_ms[key]
                left_ms = max(1, self._left_ms(key) - ran_ms)
                self.left_ms[(key.job_id, key.task_index)] = left_ms
        return self._finish(item, TaskState.CHECKPOINTED)

    def _finish(self, item: tuple[str, AttemptKey], state: TaskState) -> int:
        worker = self.workers[item[0]]
        demand = worker.tasks.pop(item[1], None)
        if demand is None:
            return 0
        worker.free = worker.free.plus(demand)
        begun_ms = worker.begun_ms.pop(item[1])
        self.measure.note_end(demand, begun_ms, self.now_ms)
        self._report(worker, TaskReport(item[1], state))
        return 0

    def _report(self, worker: EchoWorker, report: TaskReport) -> None:
        event = TasksReported(worker.name, worker.boot, False, (report,))
        self._feed(self.now_ms + REPORT_LAG_MS, event)

    def _on_restart(self, nothing: None) -> int:
        """Lose a worker with everything on it; it comes back empty."""
        worker = self.workers[self.rng.choice(sorted(self.workers))]
        for key, demand in tuple(worker.tasks.items()):
            worker.tasks.pop(key)
            worker.free = worker.free.plus(demand)
            begun_ms = worker.begun_ms.pop(key)
            self.measure.note_end(demand, begun_ms, self.now_ms)
        worker.boot = f'boot-{self.serial}'
        held = LeaseHeld(worker.name, 1, worker.boot, False, ())
        self._feed(self.now_ms, LeaseLost(worker.name))
        self._feed(self.now_ms + RESTART_MS, held)
        return 0
