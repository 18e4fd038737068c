"""Check that failures add few starts and leave nothing in memory.

Guards against a wave of reruns after an outage that overloads the cell, and
against state that stays behind after many cancellations.
"""

from collections.abc import Sized
from itertools import count

from lycheerelay._core import step
from lycheerelay._events import (
    CancelRequested,
    Configured,
    LeaseHeld,
    LeaseLost,
    OwnershipConfirmed,
    Recorded,
    SubmitRequested,
    TaskReport,
    TasksReported,
    Tick,
    WorkerListed,
    WorkerSpec,
)
from lycheerelay._jobs import JobSpec, Kind, TaskState
from lycheerelay._policy import Limits, Policy
from lycheerelay._records import TermTaken
from lycheerelay._resources import Resources
from lycheerelay._state import ShardState
from lycheerelay.retry import RetryDelays, retry_delay_ms

CAPACITY = Resources(16_000, 65_536, 0, 8, 64)


class Core:
    """Drive one owner whose records are read back at once."""

    def __init__(self, workers: int) -> None:
        self.state = ShardState('a', 'desk', 'e1')
        self.now_ms = 1_000_000
        self.tokens = count(1)
        self.starts = []
        for number in range(workers):
            name = f'w{number}'
            spec = WorkerSpec(name, 'desk', 'a', 'r', '', CAPACITY)
            self.step(WorkerListed(spec))
        self.step(Recorded(TermTaken('desk', 1, 'e1', self.now_ms)))
        for name in tuple(self.state.workers):
            self.step(LeaseHeld(name, 1, 'b1', leaving=False, table=()))

    def step(self, event) -> None:
        _, commands = step(self.state, event, self.now_ms)
        for command in commands:
            if hasattr(command, 'record'):
                self.step(Recorded(command.record))
            elif hasattr(command, 'spec'):
                self.starts.append(command.key)

    def run(self, span_ms: int, interval_ms: int = 100) -> None:
        for _ in range(span_ms // interval_ms):
            self.now_ms += interval_ms
            self.step(Tick())

    def submit(self, job_id: str, **fields) -> None:
        spec = JobSpec(job_id, 't', 'desk', Kind.BATCH, **fields)
        self.step(SubmitRequested(next(self.tokens), spec))


def test_delays_double_up_to_a_limit_and_differ_by_seed():
    limits = RetryDelays(200, 30_000)
    for failures, full_ms in ((1, 200), (2, 400), (5, 3_200), (60, 30_000)):
        delays = {
            retry_delay_ms(limits, failures, f'a.j:0:{seed}')
            for seed in range(200)
        }
        assert min(delays) >= full_ms // 2
        assert max(delays) <= full_ms
        assert len(delays) > 50
    assert retry_delay_ms(limits, 3, 'x') == retry_delay_ms(limits, 3, 'x')


def test_reruns_after_an_outage_keep_to_the_budget():
    core = Core(80)
    core.submit('a.j', tasks=400, cores_milli=100)
    core.run(3_000)
    assert len(core.starts) == 400
    busy = [name for name, info in core.state.workers.items() if info.charges]
    lost = sum(len(core.state.workers[name].charges) for name in busy[:20])
    for name in busy[:20]:
        core.step(LeaseLost(name))
    core.now_ms += 63_000
    core.step(OwnershipConfirmed(1, core.now_ms))
    reran_ms = core.now_ms
    core.run(10_000)
    reruns = len(core.starts) - 400
    seconds = (core.now_ms - reran_ms) // 1000
    burst = 10
    assert burst < reruns <= burst + seconds + 1
    assert core.state.budget.denied > 0
    core.run(200_000)
    assert len(core.starts) == 400 + lost


def test_no_residue_after_a_wave_of_cancellations():
    core = Core(3)
    limits = Limits(retention_ms=10_000)
    core.step(Configured(Policy(version=1, limits=limits)))
    core.run(1_000)
    empty = sizes(core.state)
    deadline_ms = core.now_ms + 60_000
    for number in range(10_000):
        core.submit(f'a.j{number}', deadline_ms=deadline_ms)
    core.run(1_000)
    assert core.starts
    for number in range(10_000):
        core.step(CancelRequested(next(core.tokens), f'a.j{number}'))
    for key in core.starts:
        for name in core.state.workers:
            stopped = (TaskReport(key, TaskState.STOPPED),)
            core.step(TasksReported(name, 'b1', False, stopped))
    assert all(job.is_final for job in core.state.jobs.values())
    assert len(core.state.jobs) == 10_000
    core.run(80_000, 1_000)
    assert sizes(core.state) == empty


def sizes(state) -> dict[str, int]:
    """Return the size of every container of the state, one level deep."""
    found = {}
    for name in state.__slots__:
        value = getattr(state, name)
        if isinstance(value, Sized) and not isinstance(value, str | tuple):
            found[name] = len(value)
        for inner in getattr(value, '__slots__', ()):
            part = getattr(value, inner, None)
            if isinstance(part, Sized) and not isinstance(part, str | tuple):
                found[f'{name}.{inner}'] = len(part)
        for inner, part in getattr(value, '__dict__', {}).items():
            if isinstance(part, Sized) and not isinstance(part, str | tuple):
                found[f'{name}.{inner}'] = len(part)
    for worker in state.workers.values():
        found[worker.spec.name] = len(worker.charges) + len(worker.strays)
    return found
