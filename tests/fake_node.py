"""Simulate the runtime of one core: journal, worker links and sender."""

from lycheerelay._commands import (
    Append,
    ForgetTask,
    ReplyAccepted,
    ReplyRefused,
    StartTask,
    StopTask,
)
from lycheerelay._core import step
from lycheerelay._events import (
    LeaseHeld,
    LeaseLost,
    OwnershipConfirmed,
    Recorded,
    StartAnswered,
    TasksReported,
    Tick,
    WorkerListed,
)
from lycheerelay._journal import BatchFilter
from lycheerelay._lease import HeldLease
from lycheerelay._record_codec import Batch
from lycheerelay._records import TermTaken
from lycheerelay._state import ShardState

LEASE_TTL_MS = 10_000
LEASE_MARGIN_MS = 1_000


class Link:
    """Hold one worker's lease under one term."""

    def __init__(self, clock, term) -> None:
        self.term = term
        self.lease = HeldLease(clock, LEASE_TTL_MS, LEASE_MARGIN_MS)
        self.held = False
        self.boot = ''
        self.echo_ms = None
        self.renewed_ms = -1
        self.last_request = 0


class FakeNode:
    """Run one core, whose state is lost when the node is killed."""

    def __init__(self, name, world) -> None:
        self.name = name
        self.world = world
        self.run_count = 0
        self.paused = False
        self.alive = False
        self.restart()

    def restart(self) -> None:
        """Start a new run with an empty state."""
        self.run_count += 1
        self.alive = True
        self.paused = False
        self.identity = f'{self.name}@{self.run_count}'
        self.state = ShardState('a', 'desk', self.identity, self.world.policy)
        self.offset = 0
        self.seen = BatchFilter()
        self.outbox = []
        self.in_flight = None
        self.number = 0
        self.links = {}
        self.sends = []
        self.inbox = []
        self.read_ms = -1
        self.highest_term = 0
        for spec in self.world.specs:
            self.step(WorkerListed(spec))

    def kill(self) -> None:
        self.alive = False

    def step(self, event) -> None:
        """Step the core and queue the commands that it returns."""
        _, commands = step(self.state, event, self.world.now_ms)
        for command in commands:
            if isinstance(command, Append):
                self.outbox.append(command.record)
            elif isinstance(command, StartTask | StopTask | ForgetTask):
                self.sends.append(command)
            elif isinstance(command, ReplyAccepted | ReplyRefused):
                self.world.record_reply(command)

    def receive(self, run_number, action) -> None:
        """Run the action of a message unless it is for an earlier run."""
        if not self.alive or run_number != self.run_count:
            return
        if self.paused:
            self.inbox.append(action)
        else:
            action()

    def work(self) -> None:
        """Run one round of the work that the threads of a process do."""
        if not self.alive or self.paused:
            return
        inbox, self.inbox = self.inbox, []
        for action in inbox:
            action()
        self.read()
        if self.read_ms >= 0:
            self.step(Tick())
            self.flush()
            self.renew_all()
            self.send_all()

    def claim(self) -> None:
        """Append a claim of the next term."""
        term = self.state.term + 1
        now_ms = self.world.now_ms
        self.outbox.append(TermTaken('desk', term, self.identity, now_ms))

    def read(self) -> None:
        """Apply the log up to its end."""
        if self.world.is_cut(self.name, 'log'):
            return
        while self.offset < len(self.world.log):
            batch = self.world.log[self.offset]
            self.offset += 1
            if self.seen.is_new(batch):
                for record in batch.records:
                    self.step(Recorded(record))
        if self.in_flight and self.seen.has_seen(self.in_flight):
            self.in_flight = None
        self.read_ms = self.world.now_ms
        if self.state.is_owner:
            self.step(OwnershipConfirmed(self.state.term, self.read_ms))

    def flush(self) -> None:
        """Append the batch in flight again, or the next one."""
        if self.in_flight is None and self.outbox:
            self.number += 1
            records, self.outbox = tuple(self.outbox), []
            self.in_flight = Batch(self.identity, self.number, records)
        if self.in_flight is not None:
            batch = self.in_flight
            self.world.send(
                self.name,
                'log',
                lambda: self.world.log.append(batch),
            )

    def may_renew(self) -> bool:
        """Return whether a log read or majority of renewals is recent.

        After the time in which tasks expire, another node may own the pool.
        """
        limits = self.world.policy.limits
        wait_ms = limits.task_ttl_ms + limits.clock_margin_ms
        times = sorted(
            (
                self.links[spec.name].renewed_ms
                if spec.name in self.links
                else -1
            )
            for spec in self.world.specs
        )
        majority_ms = times[(len(times) - 1) // 2]
        last_ms = max(majority_ms, self.read_ms)
        return self.world.now_ms < last_ms + wait_ms

    def renew_all(self) -> None:
        """Request the lease of each worker and report lost leases."""
        for name, link in self.links.items():
            if link.held and not link.lease.is_valid(link.term):
                link.held = False
                self.step(LeaseLost(name))
        if not self.state.is_owner:
            self.links.clear()
            return
        for spec in self.world.specs:
            link = self.links.get(spec.name)
            if link is None or link.term != self.state.term:
                link = Link(self.world.clock, self.state.term)
                self.links[spec.name] = link
            if self.may_renew():
                self.renew(spec.name, link)

    def renew(self, name, link) -> None:
        link.last_request += 1
        number, run_number = link.last_request, self.run_count
        sent_ms, echo_ms = self.world.now_ms, link.echo_ms
        worker = self.world.workers[name]
        task_ttl_ms = self.world.policy.limits.task_ttl_ms

        def request() -> None:
            answer = worker.lease(
                self.identity,
                link.term,
                LEASE_TTL_MS,
                task_ttl_ms,
                echo_ms,
            )

            def reply() -> None:
                self.take_lease(name, link, number, sent_ms, answer)

            self.world.send(
                name,
                self.name,
                lambda: self.receive(run_number, reply),
            )

        self.world.send(self.name, name, request)

    def take_lease(self, name, link, number, sent_ms, answer) -> None:
        if link is not self.links.get(name) or not answer.granted:
            return
        reports = TasksReported(name, answer.boot, answer.leaving, answer.table)
        if number != link.last_request:
            self.step(reports)
            return
        link.lease.extend(link.term, sent_ms)
        if not link.lease.is_valid(link.term):
            return
        is_first = not link.held or link.boot != answer.boot
        link.held = True
        link.boot = answer.boot
        link.echo_ms = answer.stamp_ms
        link.renewed_ms = sent_ms
        if is_first:
            event = LeaseHeld(
                name,
                link.term,
                answer.boot,
                answer.leaving,
                answer.table,
            )
            self.step(event)
        else:
            self.step(reports)

    def send_all(self) -> None:
        """Send each command under a valid lease, until it is answered."""
        for command in tuple(self.sends):
            link = self.links.get(command.worker)
            if link is None or not link.lease.is_valid(command.term):
                self.sends.remove(command)
            else:
                self.send_command(command)

    def send_command(self, command) -> None:
        worker = self.world.workers[command.worker]
        run_number = self.run_count
        until_ms = self.links[command.worker].echo_ms + LEASE_TTL_MS
        if worker.boot == self.links[command.worker].boot:
            worker.check_sendable(command.term)

        def request() -> None:
            if isinstance(command, ForgetTask):
                worker.forget(command.key)
                answer = None
            elif isinstance(command, StopTask):
                answer = worker.stop(
                    command.term,
                    command.key,
                    command.checkpoint,
                )
            else:
                answer = worker.start(
                    command.term,
                    command.key,
                    command.spec,
                    command.boot,
                    until_ms,
                )

            def reply() -> None:
                self.take_answer(command, answer)

            self.world.send(
                command.worker,
                self.name,
                lambda: self.receive(run_number, reply),
            )

        self.world.send(self.name, command.worker, request)

    def take_answer(self, command, answer) -> None:
        if command in self.sends:
            self.sends.remove(command)
        if answer is not None:
            self.step(
                StartAnswered(
                    command.worker,
                    command.key,
                    answer.state,
                    answer.code,
                    answer.boot,
                ),
            )
