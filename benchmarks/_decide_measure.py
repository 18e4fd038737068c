"""Measure one run of the decision bench."""

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
    """Return a percentile; 0 without values."""
    ordered = sorted(values)
    if len(ordered) < 2:
        return ordered[0] if ordered else 0
    return quantiles(ordered, n=100, method='inclusive')[percent - 1]


class Measure:
    """Collect waits, use of resources and cost of decisions."""

    def __init__(self, scenario: Scenario) -> None:
        """Start with nothing measured."""
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
        self.busy = [[0.0, 0.0] for _ in range(RESOURCE_COUNT)]
        self.wanting = [0] * RESOURCE_COUNT
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
        self.wave_ms = 0
        self.wave_rounds_us: list[float] = []
        self.core_bytes = 0
        self.residue = 0

    def note_submit(self, arrival: Arrival, now_ms: int) -> None:
        """Count a job as waiting and as offered volume."""
        spec = arrival.spec
        self.submitted[spec.job_id] = (now_ms, arrival)
        self.unstarted[spec.job_id] = set(range(spec.tasks))
        self._advance(now_ms)
        run_ms = sum(min(run, 10**7) for run in arrival.run_ms)
        for place in range(RESOURCE_COUNT):
            self.offered[place] += spec.demand[place] * run_ms
            self.wanting[place] += spec.tasks * (spec.demand[place] > 0)

    def note_start(
        self,
        key: AttemptKey,
        demand: Resources,
        now_ms: int,
    ) -> None:
        """Count a task's first start."""
        self._advance(now_ms)
        for place in range(RESOURCE_COUNT):
            self.used[place] += demand[place]
        unstarted = self.unstarted.get(key.job_id)
        if unstarted is None or key.task_index not in unstarted:
            return
        unstarted.remove(key.task_index)
        self._want_less(demand, 1)
        at_ms, arrival = self.submitted[key.job_id]
        self._note_wait(arrival, now_ms - at_ms, at_ms, not unstarted)
        if not unstarted:
            self.unstarted.pop(key.job_id)

    def note_end(self, demand: Resources, begun_ms: int, now_ms: int) -> None:
        """Count the room that a task gives back."""
        self._advance(now_ms)
        for place in range(RESOURCE_COUNT):
            self.used[place] -= demand[place]

    def note_cancel(self, job_id: str) -> None:
        """Stop counting a job as waiting."""
        self._drop(job_id)

    def note_refused(self, command: ReplyRefused) -> None:
        """Count a refusal."""
        self.refused += 1

    def note_step(
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
        made = sum(_decisions(command) for command in commands)
        if isinstance(event, Tick):
            self.tick_us.append(spent_ns / NS_PER_US)
        if made:
            self.decisions += made
            each_us = spent_ns / made / NS_PER_US
            self.decision_us.extend([each_us] * made)

    def note_round(self, now_ms: int, spent_ns: int) -> None:
        """Keep the time between two chances to place during a wave."""
        if self.wave_ms and now_ms - self.wave_ms <= 1000:
            self.wave_rounds_us.append(spent_ns / NS_PER_US)

    def finish(self, state: ShardState, now_ms: int) -> None:
        """Count what never started and the size of the core."""
        self._advance(now_ms)
        for job_id in tuple(self.unstarted):
            if job_id in state.jobs:
                at_ms, arrival = self.submitted[job_id]
                self._note_wait(arrival, now_ms - at_ms, at_ms, True)
        self.core_bytes = deep_size(state)
        self.residue = sum(
            len(queue.heap) for queue in state.waiting.queues.values()
        )

    def summary(self) -> dict[str, float]:
        """Return the figures of the run."""
        scarce = self.scarcest()
        full, used = self.busy[scarce]
        return {
            'jobs': len(self.submitted),
            'wait_p50_ms': percentile(self.waits, 50),
            'wait_p99_ms': percentile(self.waits, 99),
            'task_wait_p99_ms': percentile(self.task_waits, 99),
            'urgent_wait_max_ms': max(self.urgent_waits),
            'scarcest': scarce,
            'packing': used / full if full else 0,
            'bound_ratio': full / used if used else 0,
            'refused': self.refused,
            'overbooked': self.overbooked,
            'preempted': self.preempted,
            'decisions': self.decisions,
            'decision_p50_us': percentile(self.decision_us, 50),
            'decision_p99_us': percentile(self.decision_us, 99),
            'tick_p99_us': percentile(self.tick_us, 99),
            'decisions_per_s': self.decisions * NS_PER_S / (self.spent_ns or 1),
            'cancelled': self.cancelled,
            'wave_round_max_us': max(self.wave_rounds_us, default=0),
            'lane_residue': self.residue,
            'core_bytes': self.core_bytes,
        }

    def scarcest(self) -> int:
        """Return the resource with the most offered volume for its size."""
        loads = [
            volume / (amount or 1)
            for volume, amount in zip(
                self.offered,
                self.capacity,
                strict=False,
            )
        ]
        return loads.index(max(loads))

    def _advance(self, now_ms: int) -> None:
        """Integrate use over the time in which work for it waits."""
        span = now_ms - self.last_ms
        self.last_ms = now_ms
        if span <= 0 or now_ms < self.scenario.warmup_ms:
            return
        for place in range(RESOURCE_COUNT):
            if self.wanting[place] > 0:
                self.busy[place][0] += span * self.capacity[place]
                self.busy[place][1] += span * self.used[place]

    def _note_wait(
        self,
        arrival: Arrival,
        wait_ms: int,
        at_ms: int,
        is_whole: bool,
    ) -> None:
        if at_ms < self.scenario.warmup_ms:
            return
        self.task_waits.append(wait_ms)
        if arrival.spec.urgent:
            self.urgent_waits.append(wait_ms)
        if is_whole:
            self.waits.append(wait_ms)

    def _want_less(self, demand: Resources, count: int) -> None:
        for place in range(RESOURCE_COUNT):
            self.wanting[place] -= count * (demand[place] > 0)

    def _drop(self, job_id: str) -> None:
        unstarted = self.unstarted.pop(job_id, set())
        spec = self.submitted[job_id][1].spec
        self._want_less(spec.demand, len(unstarted))


def _decisions(command: Command) -> int:
    if isinstance(command, Append) and isinstance(command.record, Intended):
        return len(command.record.starts)
    if isinstance(command, ReplyRefused):
        return 1
    return int(isinstance(command, StopTask) and command.checkpoint)


def deep_size(root: object) -> int:
    """Sum the sizes of everything reachable that the core keeps."""
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
