"""Build pools of any size in the scheduler core and measure them."""

import gc
import time
import tracemalloc
from collections.abc import Callable

from lycheerelay._commands import Append, StartTask
from lycheerelay._core import step
from lycheerelay._events import (
    LeaseHeld,
    OwnershipConfirmed,
    Recorded,
    StartAnswered,
    SubmitRequested,
    Tick,
    WorkerListed,
    WorkerSpec,
)
from lycheerelay._jobs import JobSpec, Kind, TaskState
from lycheerelay._policy import Policy
from lycheerelay._records import Record, TermTaken
from lycheerelay._resources import Resources
from lycheerelay._state import ShardState

POOL = 'p'
NODE = 'n1@1'
BOOT = 'boot-1'
SLOTS = 16
MAX_TICKS = 400


class CoreSimulation:
    """Drive a core whose appends and starts succeed immediately."""

    def __init__(self, workers: int, policy: Policy | None = None) -> None:
        """Take ownership of a pool whose workers are all ready."""
        self.state = ShardState('a', POOL, NODE, policy or Policy())
        self.now_ms = 1_000_000
        self.spent_s = 0.0
        self.records: list[Record] = []
        self.tokens = 0
        for number in range(workers):
            capacity = Resources(64_000, 262_144, 8, SLOTS, 64)
            spec = WorkerSpec(f'w{number}', POOL, 'a', 'r', '', capacity)
            self.feed(WorkerListed(spec))
        self.feed(Recorded(TermTaken(POOL, 1, NODE, self.now_ms)))
        for number in range(workers):
            self.feed(LeaseHeld(f'w{number}', 1, BOOT, False, ()))
        self.feed(OwnershipConfirmed(1, self.now_ms))

    def feed(self, event: object) -> None:
        """Process one event and execute the resulting commands."""
        started = time.perf_counter()
        _, commands = step(self.state, event, self.now_ms)
        self.spent_s += time.perf_counter() - started
        for command in commands:
            if isinstance(command, Append):
                self.records.append(command.record)
                self.feed(Recorded(command.record))
            elif isinstance(command, StartTask):
                answer = StartAnswered(
                    command.worker,
                    command.key,
                    TaskState.RUNNING,
                    0,
                    BOOT,
                )
                self.feed(answer)

    def submit(self, count: int, cores_milli: int = 1000, team: str = 't'):
        """Submit jobs of one task each."""
        for _ in range(count):
            self.tokens += 1
            spec = JobSpec(
                f'a.{self.tokens:018x}',
                team,
                'w',
                Kind.BATCH,
                cores_milli=cores_milli,
                payload='{"run_ms":60000,"answer":"ok"}',
            )
            self.feed(SubmitRequested(self.tokens, spec))

    def tick_until_stable(self) -> int:
        """Tick until no more tasks start; return the running tasks."""
        running = -1
        for _ in range(MAX_TICKS):
            now = self.count_running()
            if now == running:
                break
            running = now
            self.tick()
        return running

    def tick(self) -> None:
        """Advance the time by 20 ms and tick."""
        self.now_ms += 20
        self.feed(Tick())

    def count_running(self) -> int:
        """Return the number of attempts with allocated resources."""
        return sum(len(w.charges) for w in self.state.workers.values())


def fill_pool(
    workers: int, jobs: int, keep_records: bool = False
) -> CoreSimulation:
    """Return a pool that runs as many of the jobs as fit."""
    simulation = CoreSimulation(workers)
    simulation.submit(jobs)
    simulation.tick_until_stable()
    if not keep_records:
        simulation.records.clear()
    return simulation


def measure_retained(build: Callable[[], object]) -> tuple[object, int]:
    """Return the built object and the memory that it retains, in bytes."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, size


def tick_us(simulation: CoreSimulation, rounds: int = 50) -> float:
    """Return the mean duration of a tick in microseconds."""
    simulation.tick()
    simulation.spent_s = 0
    for _ in range(rounds):
        simulation.tick()
    return 1e6 * simulation.spent_s / rounds
