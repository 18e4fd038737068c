"""Keep waiting jobs in queues, so that one lookup finds the next job."""

from collections.abc import Iterator
from heapq import heappop, heappush
from typing import Final

from ._jobs import Kind
from ._order_blocked import BlockedClasses, HasCapacity
from ._order_queues import (
    ClassQueue,
    Entry,
    FitClass,
    QueueKey,
    Rank,
    TeamQueues,
    rebuild,
)
from ._resources import Resources

MIN_STALE_TO_COMPACT: Final = 64
SCARCE_LOAD_FRACTION: Final = 0.5


class WaitingJobs(dict[str, None]):
    """Hold the ids of waiting jobs and their queues.

    `pending` holds the jobs whose tasks are checked before the next placement,
    `teams` the queues by band and team. `volume` sums the demand of waiting
    tasks times their expected run time in ms, for all resources but
    connections.
    """

    def __init__(self) -> None:
        """Create empty queues."""
        super().__init__()
        self.pending: dict[str, None] = {}
        self.entries: dict[str, Entry] = {}
        self.queues: dict[QueueKey, ClassQueue] = {}
        self.classes: dict[FitClass, dict[QueueKey, None]] = {}
        self.teams: tuple[dict[str, TeamQueues], ...] = ({}, {})
        self.blocked = BlockedClasses()
        self.counts: dict[tuple[str, Kind], int] = {}
        self.delayed: list[tuple[int, str]] = []
        self.delays: dict[str, int] = {}
        self.serial = 0
        self.volume = [0, 0, 0, 0]

    def __setitem__(self, job_id: str, nothing: None) -> None:
        """Add a job whose queued tasks are to be checked."""
        super().__setitem__(job_id, nothing)
        self.pending[job_id] = None

    def pop(self, job_id: str, default: None = None) -> None:  # type: ignore[override]
        """Remove a job in constant time, if it waits."""
        super().pop(job_id, None)
        self.pending.pop(job_id, None)
        self.delays.pop(job_id, None)
        self.drop_entry(job_id)

    def recheck(self, job_id: str) -> None:
        """Check a job's tasks again before it is placed."""
        self.drop_entry(job_id)
        if job_id in self:
            self.pending[job_id] = None

    def next_serial(self) -> int:
        """Return a number that makes each rank unique."""
        self.serial += 1
        return self.serial

    def add_entry(self, entry: Entry) -> None:
        """Put a job in its queue and replace its earlier entry."""
        key = entry.key
        self.drop_entry(entry.spec.job_id)
        self.entries[entry.spec.job_id] = entry
        queue = self.queues.get(key)
        if queue is None:
            queue = ClassQueue()
            self.queues[key] = queue
            self._open_queue(key)
        heappush(queue.heap, entry.rank)
        self._update_counts(entry, len(entry.indexes))

    def drop_entry(self, job_id: str) -> None:
        """Remove a job from its queue.

        Its rank becomes stale; a queue is compacted when over half of its
        ranks are stale, so that cancelled jobs do not accumulate.
        """
        entry = self.entries.pop(job_id, None)
        if entry is None:
            return
        self._update_counts(entry, -len(entry.indexes))
        queue = self.queues[entry.key]
        queue.stale += 1
        if queue.stale == len(queue.heap):
            self._close_queue(entry.key)
        elif queue.stale > max(MIN_STALE_TO_COMPACT, len(queue.heap) // 2):
            valid = [rank for rank in queue.heap if self._is_valid(rank)]
            rebuild(queue, valid)

    def take_index(self, entry: Entry) -> int:
        """Remove and return the next queued task of a job."""
        self._update_counts(entry, -1)
        return entry.indexes.pop()

    def put_back(self, entry: Entry, index: int) -> None:
        """Put back a task that was taken but not placed."""
        self._update_counts(entry, 1)
        entry.indexes.append(index)

    def head(self, key: QueueKey) -> Entry | None:
        """Return the first job of a queue and drop stale ranks before it."""
        queue = self.queues.get(key)
        while queue is not None and queue.heap:
            entry = self.entries.get(queue.heap[0][3])
            if entry is not None and entry.rank == queue.heap[0]:
                return entry
            heappop(queue.heap)
            queue.stale -= 1
        return None

    def first_of(self, band: int, team: str) -> Entry | None:
        """Return the first job of a team whose fit class is not blocked."""
        queues = self.teams[band].get(team)
        if queues is None or not self.blocked.may_have_open_queue(queues):
            return None
        best = None
        for fit_class, key in queues.keys.items():
            entry = self.head(key) if self.blocked.is_open(fit_class) else None
            if entry and (best is None or entry.rank < best.rank):
                best = entry
        return best

    def block(self, fit_class: FitClass, missing: int) -> None:
        """Skip a class until a worker gains free capacity for it."""
        self.blocked.block(fit_class, missing)

    def offer(self, worker: str, capacity: HasCapacity) -> None:
        """Offer a worker's new free capacity to each blocked class."""
        self.blocked.offer(worker, capacity)

    def reopen(self, fit_class: FitClass) -> None:
        """Let a class try every worker again."""
        if fit_class in self.classes:
            self.blocked.unblock(fit_class)

    def is_open(self, key: QueueKey) -> bool:
        """Return whether a queue's class may fit on some worker."""
        return self.blocked.is_open(key.fit_class)

    def first_entries(self, key: QueueKey, count: int) -> list[Entry]:
        """Return up to `count` jobs near the front of a queue."""
        ranks = self.queues[key].heap[:count]
        return [self.entries[rank[3]] for rank in ranks if self._is_valid(rank)]

    def due(self, now_ms: int) -> Iterator[str]:
        """Iterate over jobs whose retry delay has ended."""
        while self.delayed and self.delayed[0][0] <= now_ms:
            at_ms, job_id = heappop(self.delayed)
            if self.delays.get(job_id) == at_ms:
                self.delays.pop(job_id)
                yield job_id

    def delay(self, at_ms: int, job_id: str) -> None:
        """Check a job again when a retry delay ends."""
        if self.delays.get(job_id) != at_ms:
            self.delays[job_id] = at_ms
            heappush(self.delayed, (at_ms, job_id))

    def is_delayed(self, job_id: str) -> bool:
        """Return whether a task of the job waits for its retry delay."""
        return job_id in self.delays

    def _is_valid(self, rank: Rank) -> bool:
        entry = self.entries.get(rank[3])
        return entry is not None and entry.rank == rank

    def _open_queue(self, key: QueueKey) -> None:
        if key.fit_class not in self.classes:
            self.classes[key.fit_class] = {}
            self.blocked.unblock(key.fit_class)
        self.classes[key.fit_class][key] = None
        self.teams[key.band].setdefault(key.team, TeamQueues()).add(key)

    def _close_queue(self, key: QueueKey) -> None:
        self.queues.pop(key)
        queues = self.teams[key.band][key.team]
        queues.remove(key)
        if not queues.keys:
            self.teams[key.band].pop(key.team)
        keys = self.classes[key.fit_class]
        keys.pop(key)
        if not keys:
            self.classes.pop(key.fit_class)
            self.blocked.remove(key.fit_class)

    def _update_counts(self, entry: Entry, change: int) -> None:
        key = (entry.spec.team, entry.spec.kind)
        count = self.counts.get(key, 0) + change
        if count:
            self.counts[key] = count
        else:
            self.counts.pop(key, None)
        demand = entry.key.fit_class.demand
        span_ms = change * entry.spec.expected_run_ms
        self.volume = [
            volume + amount * span_ms
            for volume, amount in zip(self.volume, demand, strict=False)
        ]

    def is_scarce(self, field_index: int, total: Resources) -> bool:
        """Return whether a resource is among those in highest demand.

        Declared run times are inaccurate, so any load above a fraction of
        the highest one counts.
        """
        loads = [
            volume / (amount or 1)
            for volume, amount in zip(self.volume, total, strict=False)
        ]
        return (
            loads[field_index] > 0
            and loads[field_index] >= max(loads) * SCARCE_LOAD_FRACTION
        )
