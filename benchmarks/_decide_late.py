"""Simulate a scheduler that allocates resources only on a worker's report.

It serves as a comparison: resources of tasks in flight look free, so a
worker can be overbooked.
"""

from dataclasses import dataclass, field

from _decide_world import PoolSimulation

from lycheerelay._events import Event, TasksReported, WorkerListed
from lycheerelay._jobs import AttemptKey, TaskState
from lycheerelay._resources import Resources
from lycheerelay._state import WorkerInfo


@dataclass(slots=True)
class DelayedChargeWorkerInfo(WorkerInfo):
    """Allocate resources to an attempt once the worker reports it."""

    confirmed: set[AttemptKey] = field(default_factory=set)

    def charge(self, key: AttemptKey, demand: Resources) -> None:
        """Remember the demand without allocating it."""
        self.charges.setdefault(key, demand)

    def release(self, key: AttemptKey) -> None:
        """Free the resources of an attempt, if any are allocated."""
        if key in self.confirmed:
            self.confirmed.remove(key)
            WorkerInfo.release(self, key)
        else:
            self.charges.pop(key, None)

    def confirm(self, key: AttemptKey) -> None:
        """Allocate resources to a reported attempt."""
        demand = self.charges.get(key)
        if demand is not None and key not in self.confirmed:
            self.charges.pop(key)
            WorkerInfo.charge(self, key, demand)
            self.confirmed.add(key)


class DelayedChargeSimulation(PoolSimulation):
    """Simulate a pool whose free resources lag behind by the report delay."""

    def _on_event(self, event: Event) -> int:
        if isinstance(event, TasksReported):
            worker = self.state.workers[event.worker]
            for report in event.reports:
                if report.state is TaskState.RUNNING:
                    worker.confirm(report.key)
        spent_ns = super()._on_event(event)
        if isinstance(event, WorkerListed):
            info = self.state.workers[event.spec.name]
            self.state.workers[event.spec.name] = DelayedChargeWorkerInfo(
                info.spec,
                info.free,
                lost_ms=info.lost_ms,
                ledger=info.ledger,
            )
        return spent_ns
