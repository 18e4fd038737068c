"""Charge placements only when a worker reports them, for comparison."""

from dataclasses import dataclass, field

from _decide_world import World

from lycheerelay._events import Event, TasksReported, WorkerListed
from lycheerelay._jobs import AttemptKey, TaskState
from lycheerelay._resources import Resources
from lycheerelay._state import WorkerInfo


@dataclass(slots=True)
class LateWorkerInfo(WorkerInfo):
    """Take a placement off the free room only once it is reported."""

    confirmed: set[AttemptKey] = field(default_factory=set)

    def charge(self, key: AttemptKey, demand: Resources) -> None:
        """Note the placement without taking it off the free room."""
        self.charges.setdefault(key, demand)

    def release(self, key: AttemptKey) -> None:
        """Give back what was taken off."""
        if key in self.confirmed:
            self.confirmed.remove(key)
            WorkerInfo.release(self, key)
        else:
            self.charges.pop(key, None)

    def confirm(self, key: AttemptKey) -> None:
        """Take a reported placement off the free room."""
        demand = self.charges.get(key)
        if demand is not None and key not in self.confirmed:
            self.charges.pop(key)
            WorkerInfo.charge(self, key, demand)
            self.confirmed.add(key)


class LateWorld(World):
    """Drive the core with books that lag as the reports do."""

    def _on_event(self, event: Event) -> int:
        if isinstance(event, TasksReported):
            worker = self.state.workers[event.worker]
            for report in event.reports:
                if report.state is TaskState.RUNNING:
                    worker.confirm(report.key)
        spent_ns = super()._on_event(event)
        if isinstance(event, WorkerListed):
            book = self.state.workers[event.spec.name]
            self.state.workers[event.spec.name] = LateWorkerInfo(
                book.spec,
                book.free,
                lost_ms=book.lost_ms,
                ledger=book.ledger,
            )
        return spent_ns
