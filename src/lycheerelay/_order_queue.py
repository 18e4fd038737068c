"""Keep waiting jobs in queues, so that one lookup finds the next one."""

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

MIN_COMPACTED: Final = 64
SCARCE_PART: Final = 0.5


class WaitingJobs(dict[str, None]):
    """Hold the ids of waiting jobs and the queues they stand in."""

    def __init__(self) -> None:
        """Hold nothing."""
        super().__init__()
        self.fresh: dict[str, None] = {}
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
        """Note a job whose queued tasks are to be looked at."""
        super().__setitem__(job_id, nothing)
        self.fresh[job_id] = None

    def pop(self, job_id: str, default: None = None) -> None:  # type: ignore[override]
        """Drop a job in constant time, if it waits."""
        super().pop(job_id, None)
        self.fresh.pop(job_id, None)
        self.delays.pop(job_id, None)
        self.drop_entry(job_id)

    def look_again(self, job_id: str) -> None:
        """Look at a job's tasks again before it is placed."""
        self.drop_entry(job_id)
        if job_id in self:
            self.fresh[job_id] = None

    def next_serial(self) -> int:
        """Return a number that makes each rank unique."""
        self.serial += 1
        return self.serial

    def add_entry(self, entry: Entry) -> None:
        """Put a job in its queue, in place of an earlier entry."""
        key = entry.key
        self.drop_entry(entry.spec.job_id)
        self.entries[entry.spec.job_id] = entry
        queue = self.queues.get(key)
        if queue is None:
            queue = ClassQueue()
            self.queues[key] = queue
            self._open_queue(key)
        heappush(queue.heap, entry.rank)
        self._count(entry, len(entry.indexes))

    def drop_entry(self, job_id: str) -> None:
        """Take a job out of its queue, leaving no residue for long."""
        entry = self.entries.pop(job_id, None)
        if entry is None:
            return
        self._count(entry, -len(entry.indexes))
        queue = self.queues[entry.key]
        queue.dead += 1
        if queue.dead == len(queue.heap):
            self._close_queue(entry.key)
        elif queue.dead > max(MIN_COMPACTED, len(queue.heap) // 2):
            live = [rank for rank in queue.heap if self._is_live(rank)]
            rebuild(queue, live)

    def take_index(self, entry: Entry) -> int:
        """Take the next queued task of a job."""
        self._count(entry, -1)
        return entry.indexes.pop()

    def put_back(self, entry: Entry, index: int) -> None:
        """Return a task that was taken but not placed."""
        self._count(entry, 1)
        entry.indexes.append(index)

    def head(self, key: QueueKey) -> Entry | None:
        """Return the first live job of a queue."""
        queue = self.queues.get(key)
        while queue is not None and queue.heap:
            entry = self.entries.get(queue.heap[0][3])
            if entry is not None and entry.rank == queue.heap[0]:
                return entry
            heappop(queue.heap)
            queue.dead -= 1
        return None

    def first_of(self, band: int, team: str) -> Entry | None:
        """Return the first job of a team whose class may fit."""
        queues = self.teams[band].get(team)
        if queues is None or not self.blocked.may_open(queues):
            return None
        best = None
        for fit_class, key in queues.keys.items():
            entry = self.head(key) if self.blocked.is_open(fit_class) else None
            if entry and (best is None or entry.rank < best.rank):
                best = entry
        return best

    def block(self, fit_class: FitClass, missing: int) -> None:
        """Skip a class until a worker gains room for it."""
        self.blocked.block(fit_class, missing)

    def offer(self, worker: str, capacity: HasCapacity) -> None:
        """Try a worker with new room for each blocked class."""
        self.blocked.offer(worker, capacity)

    def reopen(self, fit_class: FitClass) -> None:
        """Let a class look at every worker again."""
        if fit_class in self.classes:
            self.blocked.open(fit_class)

    def is_open(self, key: QueueKey) -> bool:
        """Tell whether a queue's class may fit somewhere."""
        return self.blocked.is_open(key.fit_class)

    def first_entries(self, key: QueueKey, count: int) -> list[Entry]:
        """Return up to `count` jobs near the front of a queue."""
        ranks = self.queues[key].heap[:count]
        return [self.entries[rank[3]] for rank in ranks if self._is_live(rank)]

    def due(self, now_ms: int) -> Iterator[str]:
        """Iterate over jobs whose retry delay is over."""
        while self.delayed and self.delayed[0][0] <= now_ms:
            at_ms, job_id = heappop(self.delayed)
            if self.delays.get(job_id) == at_ms:
                self.delays.pop(job_id)
                yield job_id

    def delay(self, at_ms: int, job_id: str) -> None:
        """Look at a job again when a retry delay is over."""
        if self.delays.get(job_id) != at_ms:
            self.delays[job_id] = at_ms
            heappush(self.delayed, (at_ms, job_id))

    def is_delayed(self, job_id: str) -> bool:
        """Tell whether a task of the job has a retry delay left."""
        return job_id in self.delays

    def _is_live(self, rank: Rank) -> bool:
        entry = self.entries.get(rank[3])
        return entry is not None and entry.rank == rank

    def _open_queue(self, key: QueueKey) -> None:
        if key.fit_class not in self.classes:
            self.classes[key.fit_class] = {}
            self.blocked.open(key.fit_class)
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

    def _count(self, entry: Entry, change: int) -> None:
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

    def is_scarce(self, place: int, total: Resources) -> bool:
        """Tell whether waiting work asks about the most for one resource.

        Declared run times are far off, so a rough comparison has to do.
        """
        loads = [
            volume / (amount or 1)
            for volume, amount in zip(self.volume, total, strict=False)
        ]
        return loads[place] > 0 and loads[place] >= max(loads) * SCARCE_PART
