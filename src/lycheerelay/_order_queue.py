"""Keep waiting jobs in lanes, so that one lookup finds the next one."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import Final, NamedTuple

from ._jobs import JobSpec, Kind
from ._resources import Resources

URGENT: Final = 0
NORMAL: Final = 1
MIN_COMPACTED: Final = 64

Rank = tuple[int, int, int, str]


class FitClass(NamedTuple):
    """Name the jobs that fit, or do not fit, the same workers."""

    demand: Resources
    run_bits: int
    width: int
    urgent: bool

    @property
    def run_ms(self) -> int:
        """Return the longest expected run time of the class."""
        return 1 << self.run_bits


class LaneKey(NamedTuple):
    """Name the jobs of one team that wait for the same thing."""

    band: int
    team: str
    fit_class: FitClass


@dataclass(slots=True)
class Entry:
    """Track the queued tasks of one waiting job."""

    spec: JobSpec
    key: LaneKey
    rank: Rank
    indexes: list[int]
    enqueued_ms: int
    missing: int = 1


@dataclass(slots=True)
class Lane:
    """Order the jobs of one lane; dropped ones are skipped later."""

    heap: list[Rank] = field(default_factory=list)
    dead: int = 0


@dataclass(slots=True)
class Blocked:
    """Remember that a class fits nowhere but, perhaps, on new room."""

    missing: int = 1
    gained: int = 0
    candidates: dict[str, None] = field(default_factory=dict)


class WaitingJobs(dict[str, None]):
    """Hold the ids of waiting jobs and the lanes they stand in."""

    def __init__(self) -> None:
        """Hold nothing."""
        super().__init__()
        self.fresh: dict[str, None] = {}
        self.entries: dict[str, Entry] = {}
        self.lanes: dict[LaneKey, Lane] = {}
        self.open: tuple[
            dict[str, dict[LaneKey, Lane]],
            dict[str, dict[LaneKey, Lane]],
        ] = ({}, {})
        self.blocked: dict[FitClass, Blocked] = {}
        self.classes: dict[FitClass, dict[LaneKey, None]] = {}
        self.counts: dict[tuple[str, Kind], int] = {}
        self.delayed: list[tuple[int, str]] = []
        self.delays: dict[str, int] = {}
        self.serial = 0

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

    def next_serial(self) -> int:
        """Return a number that makes each rank unique."""
        self.serial += 1
        return self.serial

    def add_entry(self, entry: Entry) -> None:
        """Put a job in its lane, in place of an earlier entry."""
        job_id = entry.spec.job_id
        self.drop_entry(job_id)
        self.entries[job_id] = entry
        lane = self.lanes.get(entry.key)
        if lane is None:
            lane = self._open_lane(entry.key)
        heappush(lane.heap, entry.rank)
        self._count(entry, len(entry.indexes))

    def drop_entry(self, job_id: str) -> None:
        """Take a job out of its lane, leaving no residue for long."""
        entry = self.entries.pop(job_id, None)
        if entry is None:
            return
        self._count(entry, -len(entry.indexes))
        lane = self.lanes[entry.key]
        lane.dead += 1
        if lane.dead == len(lane.heap):
            self._close_lane(entry.key)
        elif lane.dead > max(MIN_COMPACTED, len(lane.heap) // 2):
            self._compact(entry.key, lane)

    def take_index(self, entry: Entry) -> int:
        """Take the next queued task of a job."""
        self._count(entry, -1)
        return entry.indexes.pop()

    def put_back(self, entry: Entry, index: int) -> None:
        """Return a task that was taken but not placed."""
        self._count(entry, 1)
        entry.indexes.append(index)

    def head(self, key: LaneKey) -> Entry | None:
        """Return the first live job of a lane."""
        lane = self.lanes.get(key)
        while lane is not None and lane.heap:
            rank = lane.heap[0]
            entry = self.entries.get(rank[3])
            if entry is not None and entry.rank == rank and entry.key == key:
                return entry
            heappop(lane.heap)
            lane.dead -= 1
        return None

    def first_of(self, band: int, team: str) -> Entry | None:
        """Return the first job of a team whose class may fit."""
        best = None
        for key in self.open[band].get(team, ()):
            entry = self.head(key)
            if entry and (best is None or entry.rank < best.rank):
                best = entry
        return best

    def block(self, fit_class: FitClass, missing: int) -> None:
        """Skip a class until a worker gains room for it."""
        self.blocked[fit_class] = Blocked(missing)
        for key in self.classes.get(fit_class, ()):
            lanes = self.open[key.band].get(key.team, {})
            lanes.pop(key, None)
            if not lanes:
                self.open[key.band].pop(key.team, None)

    def offer(self, worker: str, free: Resources) -> None:
        """Try a worker with new room for each blocked class."""
        for fit_class, blocked in self.blocked.items():
            if fit_class.demand.fits_in(free):
                blocked.gained += fit_class.demand.times_in(free)
                blocked.candidates[worker] = None
                if blocked.gained >= blocked.missing:
                    self._reopen(fit_class)

    def reopen(self, fit_class: FitClass) -> None:
        """Let a class look at every worker again."""
        if self.blocked.pop(fit_class, None) is not None:
            self._reopen(fit_class)

    def first_entries(self, key: LaneKey, count: int) -> list[Entry]:
        """Return up to `count` jobs near the front of a lane."""
        ranks = self.lanes[key].heap[:count]
        return [
            self.entries[rank[3]] for rank in ranks if self._is_live(rank, key)
        ]

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

    def _open_lane(self, key: LaneKey) -> Lane:
        lane = Lane()
        self.lanes[key] = lane
        self.classes.setdefault(key.fit_class, {})[key] = None
        if self.is_open(key):
            self.open[key.band].setdefault(key.team, {})[key] = lane
        return lane

    def is_open(self, key: LaneKey) -> bool:
        """Tell whether a lane's class may fit somewhere."""
        blocked = self.blocked.get(key.fit_class)
        return blocked is None or blocked.gained >= blocked.missing

    def _close_lane(self, key: LaneKey) -> None:
        self.lanes.pop(key)
        lanes = self.open[key.band].get(key.team, {})
        lanes.pop(key, None)
        if not lanes:
            self.open[key.band].pop(key.team, None)
        keys = self.classes[key.fit_class]
        keys.pop(key)
        if not keys:
            self.classes.pop(key.fit_class)
            self.blocked.pop(key.fit_class, None)

    def _compact(self, key: LaneKey, lane: Lane) -> None:
        lane.heap = [rank for rank in lane.heap if self._is_live(rank, key)]
        heapify(lane.heap)
        lane.dead = 0

    def _is_live(self, rank: Rank, key: LaneKey) -> bool:
        entry = self.entries.get(rank[3])
        return entry is not None and entry.rank == rank and entry.key == key

    def _reopen(self, fit_class: FitClass) -> None:
        for key in self.classes.get(fit_class, ()):
            lanes = self.open[key.band].setdefault(key.team, {})
            lanes[key] = self.lanes[key]

    def _count(self, entry: Entry, change: int) -> None:
        key = (entry.spec.team, entry.spec.kind)
        count = self.counts.get(key, 0) + change
        if count:
            self.counts[key] = count
        else:
            self.counts.pop(key, None)
