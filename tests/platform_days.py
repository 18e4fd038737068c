"""Run one scenario on the platform stand-in, in virtual time."""

from collections.abc import Callable, Coroutine
from typing import Any

from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    Shape,
    run_virtual,
)
from lycheerelay_standins.platform._virtual_time import VirtualLoop

STORE = '10.9.0.1:80'
Scenario = Callable[[PlatformCell], Coroutine[Any, Any, None]]


def job(*steps: dict[str, Any]) -> dict[str, Any]:
    """Return the body of a submission."""
    return {'spec': 'text', 'steps': list(steps)}


def step(count: int = 2, **fields: Any) -> dict[str, Any]:
    """Return a step for the body of a submission."""
    return {
        'count': count,
        'cpu': 1000,
        'memMb': 100,
        'estimatedMs': 500,
        **fields,
    }


def play(
    scenario: Scenario,
    shape: CellShape | None = None,
    loop: VirtualLoop | None = None,
) -> PlatformCell:
    """Run a scenario on a new cell; return the cell after auditing it."""
    chosen = shape or CellShape(workers=(Shape('cpu'),) * 4)

    async def whole() -> PlatformCell:
        cell = PlatformCell(chosen)
        await cell.begin()
        try:
            await scenario(cell)
        finally:
            await cell.finish()
        return cell

    cell: PlatformCell = run_virtual(whole(), loop)
    assert cell.audit.broken == []
    return cell
