"""Count the events and decisions of the core."""

from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Final, NamedTuple

from ._commands import Command, JobFinal, ReplyAccepted, ReplyRefused
from ._events import Event, LeaseLost, Recorded
from ._records import Intended, TermTaken
from ._registry import Registry
from ._state import ShardState

MAX_WAITS: Final = 20_000


class StartWait(NamedTuple):
    """Hold the time that a task waited for its first start."""

    wait_ms: int
    urgent: bool


@dataclass(slots=True)
class CoreCounters:
    """Hold the counters of one node's core; only the core thread writes them."""

    accepted: int = 0
    decisions: int = 0
    retries: int = 0
    terms_taken: int = 0
    leases_lost: int = 0
    refused: Counter[int] = field(default_factory=Counter)
    settled: Counter[int] = field(default_factory=Counter)
    waits: deque[StartWait] = field(
        default_factory=lambda: deque(maxlen=MAX_WAITS),
    )

    def take_waits(self) -> list[StartWait]:
        """Return the waits since the last call and clear them."""
        waits = list(self.waits)
        self.waits.clear()
        return waits


Observer = Callable[[CoreCounters, ShardState, Any], None]
OBSERVERS: Final[Registry[type, Observer]] = Registry('counter')


def observe(
    counters: CoreCounters,
    state: ShardState,
    event: Event,
    commands: Iterable[Command],
) -> None:
    """Count one event of the core and the commands that it caused."""
    cause = event.record if isinstance(event, Recorded) else event
    for item in (cause, *commands):
        kind = type(item)
        if kind in OBSERVERS:
            OBSERVERS[kind](counters, state, item)


@OBSERVERS.register(Intended)
def count_starts(
    counters: CoreCounters,
    state: ShardState,
    record: Intended,
) -> None:
    """Count recorded starts; first attempts also record the waiting time."""
    job = state.jobs.get(record.job_id)
    if job is None or not state.is_owner or record.term != state.term:
        return
    for start in record.starts:
        counters.decisions += 1
        if start.attempt > 1:
            counters.retries += 1
        else:
            wait_ms = max(record.at_ms - job.accepted_ms, 0)
            counters.waits.append(StartWait(wait_ms, job.spec.urgent))


@OBSERVERS.register(TermTaken)
def count_term(
    counters: CoreCounters,
    state: ShardState,
    record: TermTaken,
) -> None:
    """Count a term that this node took."""
    if state.is_owner and state.term == record.term:
        counters.terms_taken += 1


@OBSERVERS.register(LeaseLost)
def count_lost_lease(
    counters: CoreCounters,
    state: ShardState,
    event: LeaseLost,
) -> None:
    """Count an expired worker lease."""
    counters.leases_lost += 1


@OBSERVERS.register(ReplyAccepted)
def count_accepted(
    counters: CoreCounters,
    state: ShardState,
    command: ReplyAccepted,
) -> None:
    """Count a recorded submission or cancellation."""
    counters.accepted += 1


@OBSERVERS.register(ReplyRefused)
def count_refused(
    counters: CoreCounters,
    state: ShardState,
    command: ReplyRefused,
) -> None:
    """Count a refusal by its code."""
    counters.refused[int(command.refusal.code)] += 1


@OBSERVERS.register(JobFinal)
def count_settled(
    counters: CoreCounters,
    state: ShardState,
    command: JobFinal,
) -> None:
    """Count the final result of a job by its code."""
    job = state.jobs.get(command.job_id)
    if job is not None and state.is_owner:
        counters.settled[job.code] += 1
