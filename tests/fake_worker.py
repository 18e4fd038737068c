"""Simulate a worker with only the guarantees that the platform gives."""

from typing import NamedTuple

from lycheerelay._clock import ManualClock
from lycheerelay._codes import Code
from lycheerelay._events import TaskReport
from lycheerelay._jobs import AttemptKey, JobSpec, TaskState
from lycheerelay._lease import LeaseGrantor
from lycheerelay._resources import Resources

CAPACITY = Resources(4_000, 4_096, 0, 3, 64)
PERCENT = 100


class SkewedClock:
    """Run faster or slower than another clock by a percentage."""

    def __init__(self, clock: ManualClock, percent: int) -> None:
        self.clock = clock
        self.percent = percent

    def now_ms(self) -> int:
        return self.clock.now_ms() * (PERCENT + self.percent) // PERCENT


class Entry:
    """Track one task id, without a spec if it was stopped before its start."""

    def __init__(self, key: AttemptKey, spec: JobSpec | None) -> None:
        self.key = key
        self.spec = spec
        self.state = TaskState.RUNNING if spec else TaskState.NOT_STARTED
        self.code = 0
        self.answer = ''

    @property
    def is_live(self) -> bool:
        return self.state is TaskState.RUNNING

    def report(self) -> TaskReport:
        used_mb = (
            self.spec.memory_mb * (1 + self.key.attempt) if self.spec else 0
        )
        return TaskReport(
            self.key,
            self.state,
            self.code,
            self.answer,
            used_memory_mb=used_mb,
        )


class LeaseAnswer(NamedTuple):
    """Answer a lease request; the stamp is the time of the worker's clock."""

    granted: bool
    boot: str
    stamp_ms: int
    leaving: bool
    table: tuple[TaskReport, ...]


class Answer(NamedTuple):
    """Answer a start or a stop."""

    state: TaskState
    code: int
    boot: str


class FakeWorker:
    """Run tasks under leases that are fenced by terms, each id once."""

    def __init__(self, name, clock, percent, world) -> None:
        self.name = name
        self.clock = SkewedClock(clock, percent)
        self.world = world
        self.boots = 0
        self.leaving = False
        self.reboot()

    def reboot(self) -> None:
        """Reset the worker, without its tasks, ids and leases."""
        self.boots += 1
        self.boot = f'b{self.boots}'
        self.grantor = LeaseGrantor(self.clock)
        self.entries: dict[AttemptKey, Entry] = {}
        self.past: dict[AttemptKey, Entry] = {}
        self.expiry_ms = 0

    def advance(self) -> None:
        """Expire running tasks whose task lease has ended."""
        if self.clock.now_ms() < self.expiry_ms:
            return
        for entry in self.live():
            entry.state = TaskState.LAPSED

    def live(self) -> list[Entry]:
        return [entry for entry in self.entries.values() if entry.is_live]

    def used(self) -> Resources:
        used = Resources()
        for entry in self.live():
            used = used.plus(entry.spec.demand)
        return used

    def lease(self, holder, term, ttl_ms, task_ttl_ms, echo_ms) -> LeaseAnswer:
        """Grant by term; extend tasks from the time of the echoed reply."""
        self.advance()
        before = self.grantor.term
        granted = self.grantor.request(holder, term, ttl_ms).granted
        if granted and term > before:
            self.past.clear()
        if granted and echo_ms is not None:
            self.expiry_ms = max(self.expiry_ms, echo_ms + task_ttl_ms)
        table = tuple(entry.report() for entry in self.entries.values())
        return LeaseAnswer(
            granted,
            self.boot,
            self.clock.now_ms(),
            self.leaving,
            table if granted else (),
        )

    def check_sendable(self, term) -> None:
        """Check that a holder never sends after its lease ended here."""
        lease = self.grantor
        assert lease.term != term or self.clock.now_ms() < lease.expires_ms

    def start(self, term, key, spec, boot, until_ms) -> Answer:
        """Create a task once under its id, unless the start is late."""
        self.advance()
        if self.clock.now_ms() >= until_ms:
            return self._refuse(Code.STALE_TERM)
        if boot != self.boot:
            return self._refuse(Code.WORKER_REFUSED)
        known = self.entries.get(key) or self.past.get(key)
        if known is not None:
            return Answer(known.state, known.code, self.boot)
        if not self.grantor.admits(term):
            return self._refuse(Code.STALE_TERM)
        if self.leaving or self.clock.now_ms() >= self.expiry_ms:
            return self._refuse(Code.WORKER_REFUSED)
        self.entries[key] = Entry(key, spec)
        self.world.count_start(key)
        return Answer(TaskState.RUNNING, 0, self.boot)

    def stop(self, term, key, checkpoint) -> Answer:
        """Stop a task, or prevent the start of an unknown one."""
        self.advance()
        if not self.grantor.admits(term):
            return Answer(TaskState.UNKNOWN, Code.STALE_TERM, self.boot)
        entry = self.entries.get(key) or self.past.get(key)
        if entry is None:
            entry = self.entries[key] = Entry(key, None)
        elif entry.is_live:
            entry.state = TaskState.STOPPED
            if checkpoint and entry.spec.checkpointable:
                entry.state = TaskState.CHECKPOINTED
                self.world.count_checkpoint(key)
        return Answer(entry.state, entry.code, self.boot)

    def forget(self, key) -> None:
        """Drop an ended task; its id cannot be used again in this term."""
        entry = self.entries.get(key)
        if entry is not None and not entry.is_live:
            self.past[key] = self.entries.pop(key)

    def finish(self, entry: Entry, code: int) -> None:
        """End a running task with a result code."""
        entry.state = TaskState.FAILED if code else TaskState.DONE
        entry.code = code
        if code:
            self.world.failed.add(entry.key.job_id)
        entry.answer = '' if code else f'answer {entry.key.to_text()}'

    def _refuse(self, code: Code) -> Answer:
        return Answer(TaskState.NOT_STARTED, code, self.boot)
