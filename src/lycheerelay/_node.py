"""Connect the core, the journal and the worker links in one process."""

import contextlib
import threading
from collections.abc import Callable
from typing import TypeVar, final

from ._clock import MS_PER_SECOND, Clock
from ._compaction import Compaction
from ._core import step
from ._events import (
    CancelRequested,
    Configured,
    DurabilityChanged,
    Event,
    OwnershipConfirmed,
    Recorded,
    RestateAsked,
    SubmitRequested,
    Tick,
    WorkerListed,
)
from ._executors import EXECUTORS
from ._http import HttpCaller
from ._inbox import Inbox, InboxEntry, LogReadFinished, Posted
from ._jobs import JobSpec
from ._log_client import LogClient
from ._members import Members
from ._metrics_core import CoreCounters, observe
from ._node_parts import NodeParts
from ._node_wiring import (
    NodeDependencies,
    build_config,
    build_journal,
    build_marks,
)
from ._ownership import Ownership
from ._policy import Policy
from ._records import Record
from ._replies import Outcome, PendingReplies
from ._sender import Sender
from ._settings import NodeSettings
from ._state import JobInfo, ShardState
from ._tick_interval import sleep_ms
from ._vm_client import VmList, VmListClient
from ._vm_follower import VmFollower
from ._watchers import Watchers
from ._worker_links import WorkerLinks

T = TypeVar('T')


@final
class Node:
    """Run one entry VM."""

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        policy: Policy,
        members: Members,
        needs_config: bool = False,
    ) -> None:
        """Build the parts without starting them."""
        self.needs_config = needs_config
        self.draining = False
        self.counters = CoreCounters()
        self.settings = settings
        self.clock = clock
        self.policy = policy
        self.members = members
        self.caller = HttpCaller()
        self.log = LogClient(self.caller, settings.log_address)
        self.inbox = Inbox()
        self.shards: dict[str, ShardState] = {}
        self.stopping = threading.Event()
        self.compaction = Compaction(clock, settings.restate_ms)
        self.links = WorkerLinks(
            members.identity,
            self.caller,
            clock,
            self.post,
        )
        dependencies = NodeDependencies(
            settings,
            clock,
            members,
            self.caller,
            self.log,
        )
        self.parts = self._build_parts(dependencies)
        self.parts.journal.on_read_to_end = lambda begun_ms: self.inbox.put(
            LogReadFinished(begun_ms),
        )
        self.ownership = Ownership(
            members,
            clock,
            self.parts.journal.append,
        )
        self.vms = VmFollower(
            VmListClient(self.caller, settings.vm_list_address),
            settings.domain,
            self.update_vm_list,
        )
        self.config = build_config(dependencies, self.configure)
        self.thread = threading.Thread(
            target=self.run,
            name='core',
            daemon=True,
        )

    def start(self) -> None:
        """Start every thread."""
        self.thread.start()
        self.config.start()
        self.vms.start()
        self.parts.journal.start()

    def stop(self) -> None:
        """Stop every thread; leases expire by themselves."""
        self.vms.stop()
        self.config.stop()
        self.links.stop()
        self.parts.sender.stop()
        self.parts.journal.stop()
        self.parts.marks.stop()
        self.stopping.set()
        self.thread.join()
        self.members.stop()

    @property
    def is_ready(self) -> bool:
        """Return whether the node may take jobs."""
        return not self.lacks

    @property
    def lacks(self) -> str:
        """Return why the node is not ready, or an empty string."""
        if not self.parts.journal.caught_up:
            return 'the log has not been read to its end yet'
        if self.needs_config and not self.policy.version:
            return 'no published configuration is known yet'
        return ''

    def submit(self, spec: JobSpec, timeout_ms: int) -> Outcome:
        """Submit a job whose pool this node owns."""
        token, future = self.parts.replies.open()
        self.post(
            self.policy.pool_of(spec.workload),
            SubmitRequested(token, spec),
        )
        return self.parts.replies.wait(token, future, timeout_ms)

    def cancel(self, pool: str, job_id: str, timeout_ms: int) -> Outcome:
        """Cancel a job whose pool this node owns."""
        token, future = self.parts.replies.open()
        self.post(pool, CancelRequested(token, job_id))
        return self.parts.replies.wait(token, future, timeout_ms)

    def configure(self, policy: Policy) -> None:
        """Put a newer configuration in force."""
        self.inspect(lambda: self._configure(policy))

    def inspect(self, read: Callable[[], T]) -> T:
        """Call a function that reads the state between two events."""
        return self.inbox.inspect(read)

    def find_job(self, job_id: str) -> tuple[ShardState, JobInfo] | None:
        """Return a job and the state of its pool, or None.

        Call this through `inspect`.
        """
        for state in self.shards.values():
            job = state.jobs.get(job_id)
            if job is not None:
                return state, job
        return None

    def watch(self, job_id: str, wait_ms: int) -> None:
        """Wait until the job is final, at most `wait_ms`."""
        future = self.parts.watchers.open(job_id)
        found = self.inspect(lambda: self.find_job(job_id))
        if found is not None and not found[1].is_final:
            with contextlib.suppress(TimeoutError):
                future.result(wait_ms / MS_PER_SECOND)
        self.parts.watchers.close(job_id, future)

    def post(self, pool: str, event: Event) -> None:
        """Queue an event for a pool."""
        self.inbox.put(Posted(pool, event))

    def post_record(self, record: Record, held: bool) -> None:
        """Queue a record from the journal for its pool."""
        self.compaction.count(record.pool)
        self.post(record.pool, Recorded(record, held))

    def update_vm_list(self, listed: VmList) -> None:
        """Apply a version of the VM list to the members, links and pools."""
        self.members.update_listed(listed.entries)
        self.links.update_listed(listed.workers)
        for spec in listed.workers:
            self.post(spec.pool, WorkerListed(spec))

    def run(self) -> None:
        """Step the core until stopped."""
        wait_ms = 0
        while not self.stopping.is_set():
            for entry in self.inbox.take(wait_ms):
                self._process(entry)
            states = tuple(self.shards.values())
            had_commands = [self._tick(state) for state in states]
            now_ms = self.clock.now_ms()
            wait_ms = sleep_ms(states, any(had_commands), now_ms)

    def _tick(self, state: ShardState) -> bool:
        can_keep = self.parts.journal.can_keep
        if can_keep != state.can_keep:
            self._step(state, DurabilityChanged(can_keep))
        self._restate_if_due(state)
        had_commands = self._step(state, Tick())
        self._update_ownership(state)
        return had_commands

    def _build_parts(self, dependencies: NodeDependencies) -> NodeParts:
        marks = build_marks(dependencies)
        journal = build_journal(dependencies, marks, self.post_record)
        sender = Sender(self.links.get, self.links.post_event, self.clock)
        return NodeParts(
            journal, sender, PendingReplies(), Watchers(), marks, self.links
        )

    def _process(self, entry: InboxEntry) -> None:
        if isinstance(entry, Posted):
            self._step(self._shard(entry.pool), entry.event)
        elif isinstance(entry, LogReadFinished):
            self._confirm_ownership(entry.begun_ms)
        else:
            entry.run()

    def _shard(self, pool: str) -> ShardState:
        state = self.shards.get(pool)
        if state is None:
            state = ShardState(
                self.settings.domain,
                pool,
                self.members.identity,
                self.policy,
            )
            self.shards[pool] = state
        return state

    def _step(self, state: ShardState, event: Event) -> bool:
        _, commands = step(state, event, self.clock.now_ms())
        observe(self.counters, state, event, commands)
        for command in commands:
            EXECUTORS[type(command)](self.parts, command)
        return bool(commands)

    def _configure(self, policy: Policy) -> None:
        if policy.version <= self.policy.version:
            return
        self.policy = policy
        self.links.task_ttl_ms = policy.limits.task_ttl_ms
        for state in tuple(self.shards.values()):
            self._step(state, Configured(policy))

    def _restate_if_due(self, state: ShardState) -> None:
        self.parts.marks.pools.add(state.pool)
        if not (state.is_owner and self.is_ready):
            return
        if self.compaction.is_due(state.pool, len(state.jobs)):
            offset = self.parts.journal.next_offset
            self._step(state, RestateAsked(offset))

    def _confirm_ownership(self, begun_ms: int) -> None:
        # This entry is queued after the records of the read, so that a newer
        # term among them has already been applied.
        self.links.log_read_ms = begun_ms
        for state in tuple(self.shards.values()):
            if state.is_owner and state.log_term == state.term:
                self._step(state, OwnershipConfirmed(state.term, begun_ms))

    def _update_ownership(self, state: ShardState) -> None:
        if not self.is_ready:
            return
        self.links.claim(state.pool, state.term if state.is_owner else 0)
        self.ownership.claim_if_due(state)
