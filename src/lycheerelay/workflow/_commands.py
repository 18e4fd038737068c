"""Define what the workflow core asks of its surroundings."""

from typing import NamedTuple

from ._spec import RunKey, StepKey


class StartRun(NamedTuple):
    """Start a run on a worker."""

    worker_id: str
    run: RunKey
    payload: str
    checkpoint: str
    ticket: str


class StopRun(NamedTuple):
    """Stop a run, or void it where it has not begun."""

    worker_id: str
    run: RunKey


class PaceRun(NamedTuple):
    """Let a run work at a share of its speed, in percent."""

    worker_id: str
    run: RunKey
    percent: int


class AskAdvice(NamedTuple):
    """Ask which of these workers may run a step."""

    step: StepKey
    workers: tuple[str, ...]
    expected_ms: float


class PollNow(NamedTuple):
    """Look at a worker at once, beside the look that waits there."""

    worker_id: str


class LogEvent(NamedTuple):
    """Record a decision in the log."""

    event: str
    fields: tuple[tuple[str, object], ...]


Command = StartRun | StopRun | PaceRun | AskAdvice | PollNow | LogEvent
