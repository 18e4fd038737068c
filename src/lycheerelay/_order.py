"""Order waiting jobs: the order policies and their registry."""

from collections.abc import Callable, Iterator
from heapq import heapify, heappop, heapreplace
from typing import Final, NamedTuple

from ._jobs import JobSpec
from ._order_queue import WaitingJobs
from ._order_queues import NORMAL, URGENT, Entry, QueueKey, Rank
from ._registry import Registry
from ._state import JobInfo, ShardState

# Time after acceptance at which a job without a deadline is due.
DEFAULT_ALLOWANCE_MS: Final = 600_000
CORE_MS_PER_ALLOWANCE_MS: Final = 10
# A team's share counts half once its first job has waited this long.
SHARE_HALVING_WAIT_MS: Final = 500
MILLICORES_PER_CORE: Final = 1000

PickJobs = Callable[[ShardState], Iterator[Entry]]
WeighTeam = Callable[[ShardState, int, str], float]


class OrderPolicy(NamedTuple):
    """Rank and pick jobs; a managed order also reserves and preempts."""

    pick: PickJobs
    due_ms: Callable[[JobInfo], int]
    is_managed: bool = False


ORDERS: Final[Registry[str, OrderPolicy]] = Registry('order policy')


def band_of(order: OrderPolicy, spec: JobSpec) -> int:
    """Return the priority band of a job."""
    return URGENT if order.is_managed and spec.urgent else NORMAL


def due_by_deadline(job: JobInfo) -> int:
    """Return the deadline, or the acceptance time plus a fixed allowance."""
    return job.spec.deadline_ms or job.accepted_ms + DEFAULT_ALLOWANCE_MS


def due_by_work(job: JobInfo) -> int:
    """Return the acceptance time plus an allowance for the expected work.

    An earlier deadline takes precedence.
    """
    spec = job.spec
    core_ms = (
        spec.tasks
        * spec.expected_run_ms
        * spec.cores_milli
        // MILLICORES_PER_CORE
    )
    allowance_ms = min(
        core_ms // CORE_MS_PER_ALLOWANCE_MS, DEFAULT_ALLOWANCE_MS
    )
    due_ms = job.accepted_ms + allowance_ms
    return min(spec.deadline_ms or due_ms, due_ms)


def due_by_age(job: JobInfo) -> int:
    """Return the acceptance time."""
    return job.accepted_ms


def pick_fair(state: ShardState) -> Iterator[Entry]:
    """Pick jobs of the team with the lowest share, urgent jobs first."""
    for band in (URGENT, NORMAL):
        yield from _pick_band(state, band, share_of)


def pick_short(state: ShardState) -> Iterator[Entry]:
    """Pick by lowest share, which decreases the longer a team waits."""
    for band in (URGENT, NORMAL):
        yield from _pick_band(state, band, aged_share_of)


def _pick_band(
    state: ShardState,
    band: int,
    weigh: WeighTeam,
) -> Iterator[Entry]:
    waiting = state.waiting
    heap = [
        (weigh(state, band, team), team)
        for team, queues in waiting.teams[band].items()
        if waiting.blocked.may_have_open_queue(queues)
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
    """Return a team's dominant share relative to its quota."""
    return state.ledger.dominant_share(team)


def aged_share_of(state: ShardState, band: int, team: str) -> float:
    """Return a team's share, reduced by the wait of its first job."""
    share = state.ledger.dominant_share(team)
    entry = state.waiting.first_of(band, team)
    if entry is None:
        return share
    accepted_ms = state.jobs[entry.spec.job_id].accepted_ms
    waited_ms = max(state.synced_ms - accepted_ms, 0)
    return share * SHARE_HALVING_WAIT_MS / (SHARE_HALVING_WAIT_MS + waited_ms)


def pick_by_age(state: ShardState) -> Iterator[Entry]:
    """Pick the oldest job whose fit class is not blocked."""
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
    """Pick the oldest job; while it is blocked, pick no other job."""
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
