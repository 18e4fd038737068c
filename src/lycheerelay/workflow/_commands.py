"""Define the commands that the workflow core emits."""

from typing import NamedTuple

from ._spec import RunKey, StepKey, WorkerKey


class StartRun(NamedTuple):
    """Start a run on a worker."""

    worker: WorkerKey
    run: RunKey
    payload: str
    checkpoint: str
    ticket: str


class StopRun(NamedTuple):
    """Stop a run, or void its start if it has not started."""

    worker: WorkerKey
    run: RunKey


class PaceRun(NamedTuple):
    """Limit a run to a share of its full speed, in percent."""

    worker: WorkerKey
    run: RunKey
    percent: int


class AskAdvice(NamedTuple):
    """Ask which of these workers may run a step.

    `is_urgent` says that the step has capacity and lacks only tickets for it.
    """

    step: StepKey
    workers: tuple[WorkerKey, ...]
    expected_ms: float
    is_urgent: bool = False

    @property
    def worker_ids(self) -> tuple[str, ...]:
        """Return the ids that the advisor knows the workers by."""
        return tuple(worker.worker_id for worker in self.workers)


class PollNow(NamedTuple):
    """Poll a worker at once, in addition to the poll in progress."""

    worker: WorkerKey


class LogEvent(NamedTuple):
    """Write a decision to the log."""

    event: str
    fields: tuple[tuple[str, object], ...]


Command = StartRun | StopRun | PaceRun | AskAdvice | PollNow | LogEvent
