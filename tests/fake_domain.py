"""Simulate a failure domain and check the promises of the scheduler."""

from fake_node import FakeNode
from fake_worker import CAPACITY, FakeWorker
from lycheerelay._clock import ManualClock
from lycheerelay._codes import Code
from lycheerelay._commands import ReplyAccepted
from lycheerelay._events import (
    CancelRequested,
    SubmitRequested,
    WorkerListed,
    WorkerSpec,
)
from lycheerelay._jobs import JobState, TaskState
from lycheerelay._policy import Limits, Policy

NODES = ('e1', 'e2', 'e3')
SKEWS_PERCENT = {'w1': -1, 'w2': 0, 'w3': 1}
WORKERS = tuple(SKEWS_PERCENT)
START_MS = 1_000_000
ROUND_MS = 500
DRAIN_INTERVAL_MS = 2_500
DRAIN_ROUNDS = 200


class FakeDomain:
    """Track all starts and results, and check the promises against them.

    A core sees only a part of them.
    """

    def __init__(self) -> None:
        self.clock = ManualClock(START_MS)
        self.policy = Policy(limits=Limits(retention_ms=10**9))
        self.log = []
        self.delayed_messages = []
        self.delays_messages = False
        self.is_consistent = True
        self.cuts = set()
        self.drops = 0
        self.repeats_messages = False
        self.starts = {}
        self.checkpoints = set()
        self.accepted = {}
        self.requested = {}
        self.tokens = {}
        self.finals = {}
        self.cancelled = set()
        self.failed = set()
        self.specs = [
            WorkerSpec(name, 'desk', 'a', f'r-{name}', '', CAPACITY)
            for name in WORKERS
        ]
        self.workers = {
            name: FakeWorker(name, self.clock, percent, self)
            for name, percent in SKEWS_PERCENT.items()
        }
        self.nodes = {name: FakeNode(name, self) for name in NODES}

    @property
    def now_ms(self) -> int:
        return self.clock.now_ms()

    def is_cut(self, one, other) -> bool:
        return frozenset((one, other)) in self.cuts

    def send(self, source, target, action) -> None:
        """Deliver a message now, later, twice or never."""
        if self.is_cut(source, target):
            return
        if self.drops > 0:
            self.drops -= 1
            return
        if self.delays_messages:
            self.delayed_messages.append((source, target, action))
            return
        action()
        if self.repeats_messages:
            action()

    def deliver(self, position: int, repeat: bool) -> None:
        """Deliver one delayed message out of order; keep it if `repeat` is set."""
        source, target, action = self.delayed_messages[position]
        if not repeat:
            del self.delayed_messages[position]
        if not self.is_cut(source, target):
            action()

    def count_checkpoint(self, key) -> None:
        self.checkpoints.add((key.job_id, key.task_index))

    def count_start(self, key) -> None:
        place = (key.job_id, key.task_index)
        is_resumed = place in self.checkpoints
        self.checkpoints.discard(place)
        self.starts.setdefault(place, []).append((key, is_resumed))

    def notify_nodes(self, event) -> None:
        """Deliver a change of the VM list to every node that is running."""
        for node in self.active_nodes():
            node.step(event)

    def submit(self, node, spec) -> None:
        token = len(self.tokens) + 1
        self.tokens[token] = spec.job_id
        self.requested[spec.job_id] = spec
        node.step(SubmitRequested(token, spec))

    def cancel(self, node, job_id) -> None:
        token = len(self.tokens) + 1
        self.tokens[token] = None
        self.cancelled.add(job_id)
        node.step(CancelRequested(token, job_id))

    def record_reply(self, reply) -> None:
        job_id = self.tokens.get(reply.token)
        if job_id is None:
            return
        if isinstance(reply, ReplyAccepted):
            self.accepted[job_id] = self.requested[job_id]

    def active_nodes(self) -> list[FakeNode]:
        return [
            node
            for node in self.nodes.values()
            if node.alive and not node.paused
        ]

    def rounds(self, count: int, interval_ms: int = ROUND_MS) -> None:
        for _ in range(count):
            self.clock.advance(interval_ms)
            for worker in self.workers.values():
                worker.advance()
            for node in self.nodes.values():
                node.work()
                self.check()

    def check(self) -> None:
        """Check every promise against what really happened."""
        self.is_consistent = False
        for worker in self.workers.values():
            worker.advance()
            assert worker.used().fits_in(CAPACITY), worker.name
        self._check_places()
        self._check_starts()
        for node in self.nodes.values():
            if node.alive:
                self._check_node(node)
        self._check_agreement()
        self.is_consistent = True

    def _check_places(self) -> None:
        places = [
            (entry.key.job_id, entry.key.task_index)
            for worker in self.workers.values()
            for entry in worker.live()
        ]
        assert len(places) == len(set(places)), places

    def _check_starts(self) -> None:
        for (job_id, _), starts in self.starts.items():
            if not self.requested[job_id].idempotent:
                fresh = [key for key, is_resumed in starts if not is_resumed]
                assert len(fresh) <= 1, starts

    def _check_node(self, node) -> None:
        state = node.state
        assert state.term >= node.highest_term
        node.highest_term = state.term
        for name, worker in state.workers.items():
            used = CAPACITY.minus(worker.free)
            assert used.fits_in(CAPACITY), (node.name, name)
        for job_id, job in state.jobs.items():
            if job.is_final:
                self._check_final(job_id, job)

    def _check_final(self, job_id, job) -> None:
        shown = (job.state, job.code, tuple(t.answer for t in job.tasks))
        assert self.finals.setdefault(job_id, shown) == shown
        started = any(place[0] == job_id for place in self.starts)
        assert not (job.not_run and started), job_id
        self._check_reason(job_id, job)
        if job.state.value == 'done':
            for index, task in enumerate(job.tasks):
                key = job.attempt_key(index).to_text()
                assert task.answer == f'answer {key}'

    def _check_reason(self, job_id, job) -> None:
        spec = job.spec
        if job.state is JobState.CANCELLED:
            assert job_id in self.cancelled
        elif job.state is JobState.UNKNOWN:
            assert not spec.idempotent
        elif job.code == Code.DEADLINE_PASSED:
            assert 0 < spec.deadline_ms < self.now_ms
        elif job.state is JobState.FAILED and spec.idempotent:
            assert job_id in self.failed

    def _check_agreement(self) -> None:
        views = {}
        for node in self.nodes.values():
            if node.alive:
                view = _recorded_view(node.state)
                first = views.setdefault(node.offset, view)
                assert first == view, (node.name, first, view)

    def drain(self) -> None:
        """Remove all faults and check that every accepted job ends."""
        if not self.is_consistent:
            return
        self.cuts.clear()
        self.delays_messages = self.repeats_messages = False
        self.drops = 0
        self.delayed_messages.clear()
        for worker in self.workers.values():
            worker.leaving = False
        for node in self.nodes.values():
            node.paused = False
            if not node.alive:
                node.restart()
        for spec in self.specs:
            self.notify_nodes(WorkerListed(spec))
        self.rounds(2)
        self.nodes['e1'].claim()
        for _ in range(DRAIN_ROUNDS):
            self.rounds(1, DRAIN_INTERVAL_MS)
            for worker in self.workers.values():
                for entry in worker.live():
                    worker.finish(entry, 0)
            if self._all_final():
                break
        self._check_drained()

    def _all_final(self) -> bool:
        return all(
            job_id in node.state.jobs and node.state.jobs[job_id].is_final
            for node in self.nodes.values()
            for job_id in self.accepted
        )

    def _check_drained(self) -> None:
        for node in self.nodes.values():
            for job_id, spec in self.accepted.items():
                job = node.state.jobs[job_id]
                assert job.is_final, (node.name, job)
                if spec.idempotent:
                    assert job.state.value != 'unknown', job


def _recorded_view(state):
    return state.term, {
        job_id: (
            job.state,
            job.cancel_asked,
            job.restarting,
            [_task_view(task) for task in job.tasks],
        )
        for job_id, job in state.jobs.items()
    }


def _task_view(task):
    if task.may_run:
        return 'live', task.attempt, task.worker, task.runs, task.failures
    task_state = TaskState.QUEUED if task.is_planned else task.state
    return (
        task_state,
        task.recorded_attempt,
        task.runs,
        task.failures,
        task.answer,
    )
