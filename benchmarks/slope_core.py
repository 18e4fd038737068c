"""Build pools of any size in the decision core and measure them."""

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
ROUNDS_LIMIT = 400


class CoreWorld:
    """Echo every append and start at once."""

    def __init__(self, workers: int, policy: Policy | None = None) -> None:
        """Own a pool whose workers are all ready."""
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
        """Step once and carry out what it asks for."""
        begun = time.perf_counter()
        _, commands = step(self.state, event, self.now_ms)
        self.spent_s += time.perf_counter() - begun
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

    def settle(self) -> int:
        """Tick until nothing more starts; return how many tasks run."""
        running = -1
        for _ in range(ROUNDS_LIMIT):
            now = self.running()
            if now == running:
                break
            running = now
            self.tick()
        return running

    def tick(self) -> None:
        """Let 20 ms pass."""
        self.now_ms += 20
        self.feed(Tick())

    def running(self) -> int:
        """Count booked attempts."""
        return sum(len(w.charges) for w in self.state.workers.values())


def fill(workers: int, jobs: int, keep_records: bool = False) -> CoreWorld:
    """Return a pool that runs as many of the jobs as fit."""
    world = CoreWorld(workers)
    world.submit(jobs)
    world.settle()
    if not keep_records:
        world.records.clear()
    return world


def kept_bytes(build: Callable[[], object]) -> tuple[object, int]:
    """Return what a builder makes and how much memory that keeps."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, size


def tick_us(world: CoreWorld, rounds: int = 50) -> float:
    """Return the processor time of one tick."""
    world.tick()
    world.spent_s = 0
    for _ in range(rounds):
        world.tick()
    return 1e6 * world.spent_s / rounds
