"""Decide which connections give way, on loads of a crowd.

Guards against an ordinary caller that is cut for a crowd, and against a crowd that
takes more than the budget.
"""

import pytest

from lycheerelay.serving.connections import (
    ConnectionBudget,
    ConnectionLoad,
    Listener,
    MachineLimits,
    Stage,
    make_budget,
    select_for_sockets,
)

BUDGET = ConnectionBudget(held_bytes=1_000_000, connections=100)
NOW_MS = 100_000
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


def test_a_whole_request_is_cut() -> None:
    """Requests that arrived whole stay, whatever they hold."""
    loads = [load(key, Stage.HANDLING) for key in range(200)]
    assert select_for_sockets(loads, BUDGET, NOW_MS) == []


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
