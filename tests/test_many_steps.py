"""Test that a job of many steps costs each path time linear in its steps and edges.

Replays jobs of hundreds of steps, in a chain, beside each other, and with many edges.
Guards against a job that takes each owner in turn longer to open, to finish or to
restore than its ownership lasts, so that the whole cell stops for good.
"""

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

import pytest

from lycheerelay._resources import Resources
from lycheerelay.workflow import (
    CellState,
    JobInfo,
    JobPhase,
    StepSpec,
    WorkflowSpec,
    encode_progress,
    restore_progress,
    submit,
)
from lycheerelay.workflow._ends import mark_done
from lycheerelay.workflow._intake import finish_step
from lycheerelay.workflow._spec import make_step_graph

STEPS = 60
FACTOR = 4
# Allows for the parts that do not depend on the size.
TOLERANCE = 1.1


def _chain(number: int) -> tuple[int, ...]:
    return (number - 1,) if number else ()


def _beside(number: int) -> tuple[int, ...]:
    return ()


def _fan(number: int) -> tuple[int, ...]:
    return (0,) if number else ()


# Edges per step do not grow with the number of steps.
SHAPES: dict[str, Callable[[int], tuple[int, ...]]] = {
    'chain': _chain,
    'beside': _beside,
    'fan': _fan,
    'edges': lambda number: tuple(range(max(number - 8, 0), number)),
}


def _spec(steps: int, after: Callable[[int], tuple[int, ...]]) -> WorkflowSpec:
    shapes = tuple(
        StepSpec(1, Resources(1, 1), 500, after=after(number))
        for number in range(steps)
    )
    return WorkflowSpec('a', 'q', 'pool', 'x', shapes, 3, 2.0, 1000, 0)


def _count_lines(work: Callable[[], object]) -> int:
    """Return how many lines of Python run, which no machine's speed changes."""
    lines = 0

    def trace(frame: FrameType, event: str, arg: Any) -> Any:
        nonlocal lines
        lines += event == 'line'
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return lines


def _finish_all(cell: CellState, job: JobInfo) -> None:
    for step in job.occurrences[0]:
        mark_done(step, step.tasks[0])
        finish_step(cell, step, 0)


def _measure(
    steps: int, after: Callable[[int], tuple[int, ...]]
) -> dict[str, int]:
    """Return the lines that each path runs for a job of some steps."""
    cell = CellState(1, 0)
    spec = _spec(steps, after)
    counts = {'open': _count_lines(lambda: submit(cell, spec, 0))}
    job = cell.jobs['a']
    for step in job.occurrences[0][:-1]:
        mark_done(step, step.tasks[0])
    raw = encode_progress(job)
    counts['encode'] = _count_lines(lambda: encode_progress(job))
    other = CellState(1, 0)
    restored = submit(other, spec, 0)
    counts['restore'] = _count_lines(
        lambda: restore_progress(other, restored, raw)
    )
    counts['finish'] = _count_lines(lambda: _finish_all(cell, job))
    is_completed = job.phase is JobPhase.COMPLETED
    assert is_completed
    return counts


@pytest.mark.parametrize('shape', SHAPES)
def test_a_job_of_many_steps_does_not_take_time_with_their_square(
    shape: str,
) -> None:
    """Each step was compared with all others, in one turn of the event loop."""
    few = _measure(STEPS, SHAPES[shape])
    many = _measure(FACTOR * STEPS, SHAPES[shape])
    growth = {path: many[path] / few[path] for path in few}
    assert max(growth.values()) <= FACTOR * TOLERANCE, growth


def test_longest_paths_begin_at_each_step() -> None:
    after = ((), (0,), (), (1, 2, 2))
    durations = (5, 20, 300, 1)
    shapes = tuple(
        StepSpec(1, Resources(1, 1), duration, after=numbers)
        for numbers, duration in zip(after, durations, strict=True)
    )
    spec = WorkflowSpec('a', 'q', 'pool', 'x', shapes, 3, 2.0, 1000, 0)
    graph = make_step_graph(spec)
    assert graph.remaining_ms == (26, 21, 301, 1)
    assert graph.path_ms == 301
    assert graph.dependencies == (0, 1, 0, 2)
    assert graph.dependents == ((1,), (3,), (3,), ())
    assert graph.objective_ms(spec) == 1602


def test_a_restored_step_opens_those_that_have_waited_for_it_alone() -> None:
    cell = CellState(1, 0)
    spec = _spec(6, SHAPES['edges'])
    job = submit(cell, spec, 0)
    for step in job.occurrences[0][:3]:
        mark_done(step, step.tasks[0])
    raw = encode_progress(job)
    other = CellState(1, 0)
    restored = submit(other, spec, 0)
    restore_progress(other, restored, raw)
    restore_progress(other, restored, raw)
    assert [key.step for key in other.open_steps] == [3]
    for step in restored.occurrences[0][3:]:
        mark_done(step, step.tasks[0])
        finish_step(other, step, 0)
        finish_step(other, step, 0)
    is_completed = restored.phase is JobPhase.COMPLETED
    assert is_completed
