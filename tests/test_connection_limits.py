"""Decide which connections give way, on replayed crowds.

Guards against an ordinary caller that is cut for a crowd, and against a crowd that
takes more than the budget.
"""

import random

import pytest

from lycheerelay.serving.connections import (
    ConnectionBudget,
    ConnectionLoad,
    Listener,
    MachineLimits,
    RequestLimits,
    Stage,
    make_budget,
    select_for_memory,
    select_for_sockets,
    select_overdue,
)

BUDGET = ConnectionBudget(held_bytes=1_000_000, connections=100)
NOW_MS = 100_000
LIMITS = RequestLimits(header_ms=3000, idle_ms=15_000)
# Memory in MB and descriptors of the machines of the site files.
MACHINES = ((160, 3075), (200, 4100), (300, 4100), (440, 10250), (552, 8192))
KERNEL_BYTES = 65_536


def load(
    key: int,
    stage: Stage = Stage.BODY,
    held: int = 100_000,
    begun: int = NOW_MS - 10,
    progressed: int = NOW_MS,
) -> ConnectionLoad:
    """Return a connection that has received what it holds."""
    return ConnectionLoad(key, stage, held, held, begun, progressed)


def test_an_ordinary_request_is_cut_for_stalled_bodies() -> None:
    """What has stalled for longest goes first, and as little as needed."""
    stalled = [
        load(key, begun=NOW_MS - 9000, progressed=NOW_MS - 2000 - key)
        for key in range(9)
    ]
    ordinary = [load(key, held=20_000) for key in range(100, 110)]
    selected = select_for_memory([*ordinary, *stalled], BUDGET, NOW_MS)
    assert selected == [8, 7, 6]


def test_a_new_stalled_body_pushes_out_one_that_progresses() -> None:
    """A slow body that progresses stays while another one has stalled."""
    slow = load(1, held=500_000, begun=NOW_MS - 8000)
    stalled = load(2, held=600_000, progressed=NOW_MS - 1000)
    assert select_for_memory([slow, stalled], BUDGET, NOW_MS) == [2]


def test_a_fast_body_is_cut_for_slow_ones() -> None:
    """While nothing has stalled, the slowest on average goes first."""
    slow = load(1, held=400_000, begun=NOW_MS - 8000)
    fast = load(2, held=700_000)
    assert select_for_memory([fast, slow], BUDGET, NOW_MS) == [1]


@pytest.mark.parametrize('select', [select_for_memory, select_for_sockets])
def test_a_whole_request_is_cut(select: object) -> None:
    """Requests that arrived whole stay, whatever they hold."""
    loads = [load(key, Stage.HANDLING) for key in range(200)]
    assert callable(select)
    assert select(loads, BUDGET, NOW_MS) == []


def test_a_connection_in_use_is_cut_for_silent_ones() -> None:
    """Stalled and unused connections give way before idle ones."""
    loads = [
        *(load(key, progressed=NOW_MS - 5000) for key in range(5)),
        *(load(key, Stage.UNUSED, 0) for key in range(10, 15)),
        *(load(key, Stage.IDLE, 0) for key in range(100, 180)),
        *(load(key, Stage.HANDLING) for key in range(200, 211)),
    ]
    selected = select_for_sockets(loads, BUDGET, NOW_MS)
    assert len(selected) == 101 - BUDGET.connections + 12
    assert selected[:10] == [0, 1, 2, 3, 4, 10, 11, 12, 13, 14]
    assert set(selected[10:]) <= set(range(100, 180))


def test_time_limits_end_requests_that_arrive_in_time() -> None:
    """Heads, stalled bodies, endless bodies and unread answers end."""
    loads = [
        load(1, Stage.HEAD, begun=NOW_MS - 3000),
        load(2, Stage.HEAD, begun=NOW_MS - 2999),
        load(3, Stage.BODY, progressed=NOW_MS - 15_000),
        load(4, Stage.BODY, begun=NOW_MS - 60_000),
        load(5, Stage.BODY, begun=NOW_MS - 59_999),
        load(6, Stage.ANSWER, progressed=NOW_MS - 15_000),
        load(7, Stage.HANDLING, begun=0, progressed=0),
        load(8, Stage.IDLE, begun=0, progressed=0),
    ]
    overdue = [one.key for one in select_overdue(loads, LIMITS, NOW_MS)]
    assert overdue == [1, 3, 4, 6]


@pytest.mark.parametrize('machine', MACHINES)
def test_the_budgets_take_all_of_a_machine(machine: tuple[int, int]) -> None:
    """Half of the memory and a sixth of the sockets are left to other work."""
    memory_mb, descriptors = machine
    budgets = [
        make_budget(MachineLimits(*machine), listener) for listener in Listener
    ]
    callers = budgets[0]
    held_bytes = sum(budget.held_bytes for budget in budgets)
    kernel_bytes = callers.connections * KERNEL_BYTES
    assert held_bytes + kernel_bytes <= memory_mb * 1024 * 1024 * 0.55
    connections = sum(budget.connections for budget in budgets)
    assert connections <= (descriptors - 200) * 5 / 6


def test_missing_limits_leave_no_budget() -> None:
    """Settings without limits, or with empty ones, have those of a default."""
    assert make_budget(MachineLimits(), Listener.CALLERS) == make_budget(
        MachineLimits(256, 4096), Listener.CALLERS
    )


def test_a_replayed_crowd_cuts_ordinary_callers() -> None:
    """Stalled bodies come all the time; no ordinary caller is cut for them.

    In each tick of 10 ms, 20 clients begin bodies that stop at 250 KB, ten bodies
    grow by 16 KB, and an ordinary caller sends 8 KB in two parts.
    """
    rng = random.Random(1)
    crowd: dict[int, ConnectionLoad] = {}
    now_ms = 0
    for tick in range(500):
        now_ms += 10
        for number in range(20):
            key = tick * 100 + number
            crowd[key] = load(key, held=16_384, begun=now_ms, progressed=now_ms)
        for key in rng.sample(sorted(crowd), 10):
            one = crowd[key]
            if one.held_bytes < 250_000:
                size = one.held_bytes + 16_384
                crowd[key] = load(key, held=size, begun=one.begun_ms)._replace(
                    progressed_ms=now_ms
                )
        caller = load(tick * 100 + 99, held=4000, begun=now_ms)._replace(
            progressed_ms=now_ms
        )
        loads = [*crowd.values(), caller]
        selected = select_for_memory(loads, BUDGET, now_ms)
        assert caller.key not in selected
        for key in selected:
            crowd.pop(key)
        assert sum(one.held_bytes for one in crowd.values()) <= 1_000_000
