"""Collect the figures of one run of the decision benchmark."""

import sys
from collections.abc import Iterable
from dataclasses import fields, is_dataclass
from statistics import quantiles
from typing import Final

from _decide_load import Arrival, Scenario

from lycheerelay._commands import Append, Command, ReplyRefused, StopTask
from lycheerelay._events import Event, Tick
from lycheerelay._jobs import AttemptKey
from lycheerelay._records import Intended
from lycheerelay._resources import Resources
from lycheerelay._state import ShardState

NS_PER_US: Final = 1000
NS_PER_S: Final = 1_000_000_000
RESOURCE_COUNT: Final = 4


def percentile(values: Iterable[float], percent: int) -> float:
    """Return a percentile, or 0 if there are no values."""
    ordered = sorted(values)
    if len(ordered) < 2:
        return ordered[0] if ordered else 0
    return quantiles(ordered, n=100, method='inclusive')[percent - 1]


class RunMetrics:
    """Collect waiting times, resource usage and the cost of decisions.

    `integrals` holds, for each resource, capacity and used amount integrated
    over the time in which some waiting task needs that resource.
    """

    def __init__(self, scenario: Scenario) -> None:
        """Start with empty counters."""
        self.scenario = scenario
        self.capacity = Resources()
        for spec in scenario.workers:
            self.capacity = self.capacity.plus(spec.capacity)
        self.submitted: dict[str, tuple[int, Arrival]] = {}
        self.unstarted: dict[str, set[int]] = {}
        self.waits: list[float] = []
        self.task_waits: list[float] = []
        self.urgent_waits: list[float] = [0]
        self.offered = [0.0] * RESOURCE_COUNT
        self.used = [0.0] * RESOURCE_COUNT
        self.integrals = [[0.0, 0.0] for _ in range(RESOURCE_COUNT)]
        self.waiting_tasks = [0] * RESOURCE_COUNT
        self.last_ms = 0
        self.decision_us: list[float] = []
        self.tick_us: list[float] = []
        self.spent_ns = 0
        self.decisions = 0
        self.refused = 0
        self.overbooked = 0
        self.preempted = 0
        self.intents = 0
        self.cancelled = 0
        self.cancel_wave_ms = 0
        self.cancel_wave_cycles_us: list[float] = []
        self.core_bytes = 0
        self.queue_entries = 0

    def record_submit(self, arrival: Arrival, now_ms: int) -> None:
        """Record a job as waiting and add its demand to the offered volume."""
        spec = arrival.spec
        self.submitted[spec.job_id] = (now_ms, arrival)
        self.unstarted[spec.job_id] = set(range(spec.tasks))
        self._integrate(now_ms)
        run_ms = sum(min(run, 10**7) for run in arrival.run_ms)
        for index in range(RESOURCE_COUNT):
            self.offered[index] += spec.demand[index] * run_ms
            self.waiting_tasks[index] += spec.tasks * (spec.demand[index] > 0)

    def record_start(
        self,
        key: AttemptKey,
        demand: Resources,
        now_ms: int,
    ) -> None:
        """Record a start; only the first start of a task ends its wait."""
        self._integrate(now_ms)
        for index in range(RESOURCE_COUNT):
            self.used[index] += demand[index]
        unstarted = self.unstarted.get(key.job_id)
        if unstarted is None or key.task_index not in unstarted:
            return
        unstarted.remove(key.task_index)
        self._remove_waiting(demand, 1)
        at_ms, arrival = self.submitted[key.job_id]
        self._record_wait(arrival, now_ms - at_ms, at_ms, not unstarted)
        if not unstarted:
            self.unstarted.pop(key.job_id)

    def record_end(
        self, demand: Resources, started_ms: int, now_ms: int
    ) -> None:
        """Record that a task frees its resources."""
        self._integrate(now_ms)
        for index in range(RESOURCE_COUNT):
            self.used[index] -= demand[index]

    def record_cancel(self, job_id: str) -> None:
        """Remove a cancelled job from the waiting jobs."""
        self._remove_job(job_id)

    def record_refused(self, command: ReplyRefused) -> None:
        """Record a refused submission."""
        self.refused += 1

    def record_step(
        self,
        now_ms: int,
        event: Event,
        commands: list[Command],
        spent_ns: int,
    ) -> None:
        """Count the decisions of one step and its time."""
        if now_ms < self.scenario.warmup_ms:
            return
        self.spent_ns += spent_ns
        count = sum(_count_decisions(command) for command in commands)
        if isinstance(event, Tick):
            self.tick_us.append(spent_ns / NS_PER_US)
        if count:
            self.decisions += count
            each_us = spent_ns / count / NS_PER_US
            self.decision_us.extend([each_us] * count)

    def record_cycle(self, now_ms: int, spent_ns: int) -> None:
        """Record how long a cycle takes soon after a mass cancellation."""
        if self.cancel_wave_ms and now_ms - self.cancel_wave_ms <= 1000:
            self.cancel_wave_cycles_us.append(spent_ns / NS_PER_US)

    def finish(self, state: ShardState, now_ms: int) -> None:
        """Record the waits of unstarted jobs and the size of the core."""
        self._integrate(now_ms)
        for job_id in tuple(self.unstarted):
            if job_id in state.jobs:
                at_ms, arrival = self.submitted[job_id]
                self._record_wait(arrival, now_ms - at_ms, at_ms, True)
        self.core_bytes = deep_size(state)
        self.queue_entries = sum(
            len(queue.heap) for queue in state.waiting.queues.values()
        )

    def summary(self) -> dict[str, float]:
        """Return the figures of the run."""
        scarcest_index = self.scarcest()
        available, used = self.integrals[scarcest_index]
        return {
            'jobs': len(self.submitted),
            'wait_p50_ms': percentile(self.waits, 50),
            'wait_p99_ms': percentile(self.waits, 99),
            'task_wait_p99_ms': percentile(self.task_waits, 99),
            'urgent_wait_max_ms': max(self.urgent_waits),
            'scarcest': scarcest_index,
            'packing': used / available if available else 0,
            'bound_ratio': available / used if used else 0,
            'refused': self.refused,
            'overbooked': self.overbooked,
            'preempted': self.preempted,
            'decisions': self.decisions,
            'decision_p50_us': percentile(self.decision_us, 50),
            'decision_p99_us': percentile(self.decision_us, 99),
            'tick_p99_us': percentile(self.tick_us, 99),
            'decisions_per_s': self.decisions * NS_PER_S / (self.spent_ns or 1),
            'cancelled': self.cancelled,
            'wave_round_max_us': max(self.cancel_wave_cycles_us, default=0),
            'lane_residue': self.queue_entries,
            'core_bytes': self.core_bytes,
        }

    def scarcest(self) -> int:
        """Return the index of the resource with the highest offered load."""
        loads = [
            volume / (amount or 1)
            for volume, amount in zip(
                self.offered,
                self.capacity,
                strict=False,
            )
        ]
        return loads.index(max(loads))

    def _integrate(self, now_ms: int) -> None:
        """Integrate usage up to now for each resource with waiting demand."""
        span = now_ms - self.last_ms
        self.last_ms = now_ms
        if span <= 0 or now_ms < self.scenario.warmup_ms:
            return
        for index in range(RESOURCE_COUNT):
            if self.waiting_tasks[index] > 0:
                self.integrals[index][0] += span * self.capacity[index]
                self.integrals[index][1] += span * self.used[index]

    def _record_wait(
        self,
        arrival: Arrival,
        wait_ms: int,
        at_ms: int,
        is_last_task: bool,
    ) -> None:
        if at_ms < self.scenario.warmup_ms:
            return
        self.task_waits.append(wait_ms)
        if arrival.spec.urgent:
            self.urgent_waits.append(wait_ms)
        if is_last_task:
            self.waits.append(wait_ms)

    def _remove_waiting(self, demand: Resources, count: int) -> None:
        for index in range(RESOURCE_COUNT):
            self.waiting_tasks[index] -= count * (demand[index] > 0)

    def _remove_job(self, job_id: str) -> None:
        unstarted = self.unstarted.pop(job_id, set())
        spec = self.submitted[job_id][1].spec
        self._remove_waiting(spec.demand, len(unstarted))


def _count_decisions(command: Command) -> int:
    if isinstance(command, Append) and isinstance(command.record, Intended):
        return len(command.record.starts)
    if isinstance(command, ReplyRefused):
        return 1
    return int(isinstance(command, StopTask) and command.checkpoint)


def deep_size(root: object) -> int:
    """Return the total size in bytes of all objects reachable from a root."""
    seen: set[int] = set()
    stack = [root]
    total = 0
    while stack:
        item = stack.pop()
        if id(item) in seen or isinstance(item, type):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        stack.extend(_children(item))
    return total


def _children(item: object) -> Iterable[object]:
    if isinstance(item, dict):
        yield from item.keys()
        yield from item.values()
    if isinstance(item, (list, tuple, set, frozenset)):
        yield from item
    if is_dataclass(item):
        yield from (getattr(item, entry.name) for entry in fields(item))
    yield from getattr(item, '__dict__', {}).values()
