"""Charge placements only when a worker reports them, for comparison."""

from dataclasses import dataclass, field

from _decide_world import World

from lycheerelay._events import Event, TasksReported, WorkerListed
from lycheerelay._jobs import AttemptKey, TaskState
from lycheerelay._resources import Resources
from lycheerelay._state import WorkerBook


@dataclass(slots=True)
class LateBook(WorkerBook):
    """Keep a decided placement off the books until it is reported."""

    planned: dict[AttemptKey, Resources] = field(default_factory=dict)

    def charge(self, key: AttemptKey, demand: Resources) -> None:
        """Remember the placement without booking it."""
        if key not in self.charges:
            self.planned[key] = demand

    def release(self, key: AttemptKey) -> None:
        """Forget the placement."""
        self.planned.pop(key, None)
        WorkerBook.release(self, key)

    def confirm(self, key: AttemptKey) -> None:
        """Book a placement that the worker reported."""
        demand = self.planned.pop(key, None)
        if demand is not None:
            WorkerBook.charge(self, key, demand)


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
            self.state.workers[event.spec.name] = LateBook(
                book.spec,
                book.free,
                lost_ms=book.lost_ms,
                ledger=book.ledger,
            )
        return spent_ns
