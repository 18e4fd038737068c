"""Simulate the log and the workers of one pool in virtual time."""

import random
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Final

from _decide_load import POOL, Arrival, Scenario
from _decide_measure import RunMetrics

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

COMMIT_INTERVAL_MS: Final = 20
LOG_DELAY_MS: Final = 10
SEND_DELAY_MS: Final = 2
REPORT_DELAY_MS: Final = 100
CHECKPOINT_DELAY_MS: Final = 200
RESTART_DELAY_MS: Final = 5000
TICK_INTERVAL_MS: Final = 100
MAX_EVENTS_PER_CYCLE: Final = 200
NS_PER_US: Final = 1000


@dataclass(slots=True)
class SimulatedWorker:
    """Track the tasks and the free resources of one worker."""

    name: str
    free: Resources
    boot: str = 'boot-0'
    tasks: dict[AttemptKey, Resources] = field(default_factory=dict)
    started_ms: dict[AttemptKey, int] = field(default_factory=dict)


class PoolSimulation:
    """Run the core through one scenario and collect its metrics."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        """Schedule all inputs of the scenario."""
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.state = ShardState('a', POOL, 'n1')
        self.events: list[tuple[int, int, str, object]] = []
        self.sequence = 0
        self.now_ms = 0
        self.arrivals: dict[str, Arrival] = {}
        self.remaining_ms: dict[tuple[str, int], int] = {}
        self.workers: dict[str, SimulatedWorker] = {}
        self.metrics = RunMetrics(scenario)
        self.policy = policy
        self._push_inputs()

    def run(self) -> RunMetrics:
        """Process events up to the horizon of the scenario."""
        while self.events and self.events[0][0] <= self.scenario.horizon_ms:
            self._run_cycle()
        self.metrics.finish(self.state, self.scenario.horizon_ms)
        return self.metrics

    def _push_inputs(self) -> None:
        self._push_event(0, Configured(self.policy))
        for spec in self.scenario.workers:
            self.workers[spec.name] = SimulatedWorker(spec.name, spec.capacity)
            self._push_event(0, WorkerListed(spec))
        self._push_event(0, Recorded(TermTaken(POOL, 1, 'n1', 0)))
        for spec in self.scenario.workers:
            self._push_event(0, LeaseHeld(spec.name, 1, 'boot-0', False, ()))
        for arrival in self.scenario.arrivals(self.rng):
            self._push(arrival.at_ms, 'submit', arrival)
        for at_ms in range(0, self.scenario.horizon_ms, TICK_INTERVAL_MS):
            self._push(at_ms, 'tick', None)
        if self.scenario.cancel_at_ms:
            self._push(self.scenario.cancel_at_ms, 'cancel', None)
        every_ms = self.scenario.restart_every_ms
        if every_ms:
            for at_ms in range(every_ms, self.scenario.horizon_ms, every_ms):
                self._push(at_ms, 'restart', None)

    def _push(self, at_ms: int, kind: str, item: object) -> None:
        self.sequence += 1
        heappush(self.events, (at_ms, self.sequence, kind, item))

    def _push_event(self, at_ms: int, event: Event) -> None:
        self._push(at_ms, 'event', event)

    def _run_cycle(self) -> None:
        """Process a bounded number of due events, then tick; as a VM does."""
        self.now_ms = self.events[0][0]
        spent_ns = 0
        for _ in range(MAX_EVENTS_PER_CYCLE):
            if not self.events or self.events[0][0] > self.now_ms:
                break
            _, _, kind, item = heappop(self.events)
            spent_ns += getattr(self, f'_on_{kind}')(item)
        spent_ns += self._step(Tick())
        self.metrics.record_cycle(self.now_ms, spent_ns)

    def _step(self, event: Event) -> int:
        started_ns = time.perf_counter_ns()
        _, commands = step(self.state, event, self.now_ms)
        spent_ns = time.perf_counter_ns() - started_ns
        self.metrics.record_step(self.now_ms, event, commands, spent_ns)
        self._execute(commands)
        return spent_ns

    def _execute(self, commands: Iterable[Command]) -> None:
        for command in commands:
            if isinstance(command, Append):
                self._append(command)
            elif isinstance(command, StartTask):
                self._push(self.now_ms + SEND_DELAY_MS, 'start', command)
            elif isinstance(command, StopTask):
                self._push(self.now_ms + SEND_DELAY_MS, 'stop', command)
            elif isinstance(command, ReplyRefused):
                self.metrics.record_refused(command)

    def _append(self, command: Append) -> None:
        next_commit = (
            self.now_ms // COMMIT_INTERVAL_MS + 1
        ) * COMMIT_INTERVAL_MS
        self._push_event(next_commit + LOG_DELAY_MS, Recorded(command.record))
        if isinstance(command.record, Intended):
            self.metrics.intents += 1

    def _on_event(self, event: Event) -> int:
        return self._step(event)

    def _on_tick(self, nothing: None) -> int:
        return 0

    def _on_submit(self, arrival: Arrival) -> int:
        self.arrivals[arrival.spec.job_id] = arrival
        self.metrics.record_submit(arrival, self.now_ms)
        return self._step(SubmitRequested(self.sequence, arrival.spec))

    def _on_cancel(self, nothing: None) -> int:
        names = [
            name
            for name in self.state.waiting
            if self.rng.random() < self.scenario.cancel_share
        ]
        for name in names:
            self._push_event(self.now_ms, CancelRequested(0, name))
            self.metrics.record_cancel(name)
        self.metrics.cancelled = len(names)
        self.metrics.cancel_wave_ms = self.now_ms
        return 0

    def _on_start(self, command: StartTask) -> int:
        worker = self.workers[command.worker]
        key = command.key
        if key in worker.tasks or command.boot != worker.boot:
            return 0
        demand = command.spec.demand
        worker.tasks[key] = demand
        worker.started_ms[key] = self.now_ms
        worker.free = worker.free.minus(demand)
        self.metrics.record_start(key, demand, self.now_ms)
        if min(worker.free) < 0:
            self.metrics.overbooked += 1
        self._report(worker, TaskReport(key, TaskState.RUNNING))
        remaining_ms = self._remaining_ms(key)
        self._push(self.now_ms + remaining_ms, 'end', (worker.name, key))
        return 0

    def _remaining_ms(self, key: AttemptKey) -> int:
        arrival = self.arrivals[key.job_id]
        task = (key.job_id, key.task_index)
        return self.remaining_ms.get(task, arrival.run_ms[key.task_index])

    def _on_stop(self, command: StopTask) -> int:
        kind = 'checkpointed' if command.checkpoint else 'stopped'
        item = (command.worker, command.key)
        self._push(self.now_ms + CHECKPOINT_DELAY_MS, kind, item)
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
            self.metrics.preempted += 1
            if spec.checkpointable:
                ran_ms = self.now_ms - worker.started_ms[key]
                remaining_ms = max(1, self._remaining_ms(key) - ran_ms)
                self.remaining_ms[(key.job_id, key.task_index)] = remaining_ms
        return self._finish(item, TaskState.CHECKPOINTED)

    def _finish(self, item: tuple[str, AttemptKey], state: TaskState) -> int:
        worker = self.workers[item[0]]
        demand = worker.tasks.pop(item[1], None)
        if demand is None:
            return 0
        worker.free = worker.free.plus(demand)
        started_ms = worker.started_ms.pop(item[1])
        self.metrics.record_end(demand, started_ms, self.now_ms)
        self._report(worker, TaskReport(item[1], state))
        return 0

    def _report(self, worker: SimulatedWorker, report: TaskReport) -> None:
        event = TasksReported(worker.name, worker.boot, False, (report,))
        self._push_event(self.now_ms + REPORT_DELAY_MS, event)

    def _on_restart(self, nothing: None) -> int:
        """Restart a random worker, which loses all of its tasks."""
        worker = self.workers[self.rng.choice(sorted(self.workers))]
        for key, demand in tuple(worker.tasks.items()):
            worker.tasks.pop(key)
            worker.free = worker.free.plus(demand)
            started_ms = worker.started_ms.pop(key)
            self.metrics.record_end(demand, started_ms, self.now_ms)
        worker.boot = f'boot-{self.sequence}'
        held = LeaseHeld(worker.name, 1, worker.boot, False, ())
        self._push_event(self.now_ms, LeaseLost(worker.name))
        self._push_event(self.now_ms + RESTART_DELAY_MS, held)
        return 0
