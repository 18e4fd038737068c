"""Decide which connections give way when a process runs short.

Load: crowds of callers whose heads and bodies stop short of their end, who send
chunks of one byte or do not read their answers, among ordinary callers, who send a
whole request at once. Many callers may share an address, so addresses do not count.
"""

import enum
from collections.abc import Callable, Iterable, Iterator
from typing import Final, NamedTuple

BYTES_PER_MB: Final = 1024 * 1024
# Machine of which the settings tell nothing.
DEFAULT_MEMORY_MB: Final = 256
DEFAULT_DESCRIPTORS: Final = 4096
# Descriptors that the platform keeps for files.
FILE_DESCRIPTORS: Final = 200
# Received bytes that the kernel may hold for one connection.
KERNEL_BYTES: Final = 65_536
# An unfinished request without a byte for this long has stalled.
STALL_MS: Final = 1000
# A body that arrives in time takes at most this many idle timeouts in all.
MAX_BODY_IDLE_TIMES: Final = 4
# Part of a budget that is freed beyond the excess, so that each selection lasts.
FREED_PARTS: Final = 8


class RequestLimits(NamedTuple):
    """Limits of one request: sizes in bytes, times in ms.

    The defaults apply to fields that the configuration leaves out.
    """

    header_bytes: int = 65_536
    body_bytes: int = BYTES_PER_MB
    header_ms: int = 10_000
    idle_ms: int = 60_000


class MachineLimits(NamedTuple):
    """Memory in MB and file descriptors of a process; 0 stands for the default."""

    memory_mb: int = 0
    file_descriptors: int = 0


class ConnectionBudget(NamedTuple):
    """Most bytes and connections that one listener may hold."""

    held_bytes: int
    connections: int


class Share(NamedTuple):
    """Divisors of what a process has, for one listener.

    Of the memory one part is for what the process holds, another for the kernel.
    """

    held: int
    kernel: int
    sockets: int


class Listener(enum.Enum):
    """Listener of a process."""

    CALLERS = 'callers'
    INTERNAL = 'internal'
    READINESS = 'readiness'
    METRICS = 'metrics'


# The rest is left to the owner's work and to calls to the store, the workers and
# the other VMs.
SHARES: Final = {
    Listener.CALLERS: Share(held=5, kernel=5, sockets=2),
    # The other VMs keep connections open to the owner.
    Listener.INTERNAL: Share(held=10, kernel=4, sockets=4),
    Listener.READINESS: Share(held=64, kernel=64, sockets=32),
    Listener.METRICS: Share(held=64, kernel=64, sockets=32),
}


class Stage(enum.Enum):
    """What a connection waits for."""

    UNUSED = 'unused'
    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    HANDLING = 'handling'
    ANSWER = 'answer'


UNFINISHED: Final = frozenset((Stage.HEAD, Stage.BODY, Stage.ANSWER))


class ConnectionLoad(NamedTuple):
    """One connection: what it waits for and holds; times in ms.

    `received_bytes` and `begun_ms` are those of its unfinished request,
    `progressed_ms` is the time of its last received or sent byte.
    """

    key: int
    stage: Stage
    held_bytes: int
    received_bytes: int
    begun_ms: int
    progressed_ms: int


def make_budget(machine: MachineLimits, listener: Listener) -> ConnectionBudget:
    """Return the budget of a listener on a machine."""
    share = SHARES[listener]
    memory_bytes = (machine.memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
    descriptors = machine.file_descriptors or DEFAULT_DESCRIPTORS
    sockets = max(descriptors - FILE_DESCRIPTORS, 0) // share.sockets
    kernel_bytes = memory_bytes // share.kernel
    return ConnectionBudget(
        memory_bytes // share.held,
        max(min(sockets, kernel_bytes // KERNEL_BYTES), 1),
    )


def select_for_memory(
    loads: Iterable[ConnectionLoad], budget: ConnectionBudget, now_ms: int
) -> list[int]:
    """Return the connections that give way to what the others hold.

    Requests that arrived whole are never among them.
    """
    loads = list(loads)
    excess = sum(load.held_bytes for load in loads) - budget.held_bytes
    if excess <= 0:
        return []
    excess += budget.held_bytes // FREED_PARTS
    unfinished = [load for load in loads if load.stage in UNFINISHED]
    selected = []
    for load in _in_order(unfinished, now_ms):
        if excess <= 0:
            break
        selected.append(load.key)
        excess -= load.held_bytes
    return selected


def select_for_sockets(
    loads: Iterable[ConnectionLoad], budget: ConnectionBudget, now_ms: int
) -> list[int]:
    """Return the connections that give way to new ones.

    Requests that arrived whole are never among them.
    """
    loads = list(loads)
    excess = len(loads) - budget.connections
    if excess <= 0:
        return []
    excess += budget.connections // FREED_PARTS
    candidates = [load for load in loads if load.stage is not Stage.HANDLING]
    ordered = _in_order(candidates, now_ms)
    return [load.key for load in ordered[:excess]]


def select_overdue(
    loads: Iterable[ConnectionLoad], limits: RequestLimits, now_ms: int
) -> Iterator[ConnectionLoad]:
    """Yield the connections that a time limit ends, budget or not."""
    for load in loads:
        is_overdue = TIME_LIMITS.get(load.stage)
        if is_overdue is not None and is_overdue(load, limits, now_ms):
            yield load


def _is_head_overdue(
    load: ConnectionLoad, limits: RequestLimits, now_ms: int
) -> bool:
    return now_ms - load.begun_ms >= limits.header_ms


def _is_body_overdue(
    load: ConnectionLoad, limits: RequestLimits, now_ms: int
) -> bool:
    total_ms = limits.idle_ms * MAX_BODY_IDLE_TIMES
    return (
        now_ms - load.progressed_ms >= limits.idle_ms
        or now_ms - load.begun_ms >= total_ms
    )


def _is_answer_overdue(
    load: ConnectionLoad, limits: RequestLimits, now_ms: int
) -> bool:
    return now_ms - load.progressed_ms >= limits.idle_ms


TIME_LIMITS: Final[
    dict[Stage, Callable[[ConnectionLoad, RequestLimits, int], bool]]
] = {
    Stage.HEAD: _is_head_overdue,
    Stage.BODY: _is_body_overdue,
    Stage.ANSWER: _is_answer_overdue,
}


def _in_order(
    loads: Iterable[ConnectionLoad], now_ms: int
) -> list[ConnectionLoad]:
    return sorted(loads, key=lambda load: _rank(load, now_ms))


def _rank(load: ConnectionLoad, now_ms: int) -> tuple[int, float]:
    """Rank first what has stalled for longest, last what progresses fastest."""
    if load.stage is Stage.UNUSED:
        return 1, load.progressed_ms
    if load.stage not in UNFINISHED:
        return 2, load.progressed_ms
    if now_ms - load.progressed_ms >= STALL_MS:
        return 0, load.progressed_ms
    return 3, load.received_bytes / max(now_ms - load.begun_ms, 1)
