"""Choose which waiting job is tried next."""

from collections.abc import Callable, Iterator
from heapq import heapify, heappop, heapreplace
from typing import Final, NamedTuple

from ._jobs import JobSpec
from ._order_queue import WaitingJobs
from ._order_queues import NORMAL, URGENT, Entry, QueueKey, Rank
from ._registry import Registry
from ._state import JobInfo, ShardState

DEFAULT_DUE_MS: Final = 600_000
CORE_MS_PER_ALLOWED_MS: Final = 10
AGING_MS: Final = 500
CORE_MILLI: Final = 1000

Pick = Callable[[ShardState], Iterator[Entry]]
Weigh = Callable[[ShardState, int, str], float]


class OrderPolicy(NamedTuple):
    """Rank and pick jobs; a managed order reserves and preempts too."""

    pick: Pick
    due_ms: Callable[[JobInfo], int]
    is_managed: bool = False


ORDERS: Final[Registry[str, OrderPolicy]] = Registry('order policy')


def band_of(order: OrderPolicy, spec: JobSpec) -> int:
    """Return the band that a job is tried in."""
    return URGENT if order.is_managed and spec.urgent else NORMAL


def due_by_deadline(job: JobInfo) -> int:
    """Rank by deadline; without one, by age plus a common allowance."""
    return job.spec.deadline_ms or job.accepted_ms + DEFAULT_DUE_MS


def due_by_work(job: JobInfo) -> int:
    """Rank by age plus an allowance that grows with the expected work."""
    spec = job.spec
    core_ms = spec.tasks * spec.expected_run_ms * spec.cores_milli // CORE_MILLI
    allowed_ms = min(core_ms // CORE_MS_PER_ALLOWED_MS, DEFAULT_DUE_MS)
    due_ms = job.accepted_ms + allowed_ms
    return min(spec.deadline_ms or due_ms, due_ms)


def due_by_age(job: JobInfo) -> int:
    """Rank by age alone."""
    return job.accepted_ms


def pick_fair(state: ShardState) -> Iterator[Entry]:
    """Pick for the team with the least share, urgent work first."""
    for band in (URGENT, NORMAL):
        yield from _pick_band(state, band, share_of)


def pick_short(state: ShardState) -> Iterator[Entry]:
    """Pick for the least share, which counts less the longer a team waits."""
    for band in (URGENT, NORMAL):
        yield from _pick_band(state, band, aged_share_of)


def _pick_band(
    state: ShardState,
    band: int,
    weigh: Weigh,
) -> Iterator[Entry]:
    waiting = state.waiting
    heap = [
        (weigh(state, band, team), team)
        for team, lanes in waiting.teams[band].items()
        if waiting.blocked.may_open(lanes)
    ]
    heapify(heap)
    while heap:
        team = heap[0][1]
        entry = waiting.first_of(band, team)
        if entry is None:
            heappop(heap)
            continue
        yield entry
        heapreplace(heap, (weigh(state, band, team), team))


def share_of(state: ShardState, band: int, team: str) -> float:
    """Return a team's dominant share against its quota."""
    return state.ledger.dominant_share(team)


def aged_share_of(state: ShardState, band: int, team: str) -> float:
    """Return a team's share, divided as its first job waits longer."""
    share = state.ledger.dominant_share(team)
    entry = state.waiting.first_of(band, team)
    if entry is None:
        return share
    accepted_ms = state.jobs[entry.spec.job_id].accepted_ms
    waited_ms = max(state.synced_ms - accepted_ms, 0)
    return share * AGING_MS / (AGING_MS + waited_ms)


def pick_by_age(state: ShardState) -> Iterator[Entry]:
    """Pick the oldest job whose class may fit."""
    waiting = state.waiting
    open_keys = filter(waiting.is_open, waiting.queues)
    heads = [(waiting.head(key), key) for key in open_keys]
    heap = [(entry.rank, key) for entry, key in heads if entry is not None]
    yield from _merge_queues(waiting, heap)


def _merge_queues(
    waiting: WaitingJobs,
    heap: list[tuple[Rank, QueueKey]],
) -> Iterator[Entry]:
    heapify(heap)
    while heap:
        rank, key = heap[0]
        entry = waiting.head(key)
        if entry is None or not waiting.is_open(key):
            heappop(heap)
        elif entry.rank == rank:
            yield entry
        else:
            heapreplace(heap, (entry.rank, key))


def pick_strictly(state: ShardState) -> Iterator[Entry]:
    """Pick the oldest job; nothing overtakes it while it waits."""
    waiting = state.waiting
    while waiting.entries:
        heads = (waiting.head(key) for key in tuple(waiting.queues))
        first = min(
            (entry for entry in heads if entry is not None),
            key=lambda entry: entry.rank,
        )
        if not waiting.is_open(first.key):
            return
        yield first


ORDERS.register('fair')(
    OrderPolicy(pick_fair, due_by_deadline, is_managed=True),
)
ORDERS.register('short')(
    OrderPolicy(pick_short, due_by_work, is_managed=True),
)
ORDERS.register('age')(OrderPolicy(pick_by_age, due_by_age))
ORDERS.register('fifo')(OrderPolicy(pick_strictly, due_by_age))
