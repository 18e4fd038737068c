"""Test that a schedule with many due occurrences opens them over several turns.

Replays schedules that began long ago, and many that fall due together. Guards against
occurrences that are all opened in one turn of the event loop, so that each owner in
turn loses the ownership, and the schedule and all other jobs wait for good.
"""

import asyncio

import pytest

from lycheerelay._resources import Resources
from lycheerelay.workflow import (
    CellState,
    JobInfo,
    JobPhase,
    StepSpec,
    WorkflowSpec,
    encode_progress,
    open_occurrences,
    restore_progress,
    submit,
)
from lycheerelay.workflow._ends import mark_done
from lycheerelay.workflow._finished_numbers import FinishedNumbers
from lycheerelay.workflow._intake import finish_step
from lycheerelay.workflow._schedules import (
    MAX_OPEN_TASKS,
    MAX_OPENED,
    MAX_OPENED_PER_JOB,
    forget_finished_occurrences,
)
from lycheerelay_standins.platform import PlatformCell
from platform_days import job, play, step

EVERY_MS = 5000
OCCURRENCES = 100_000
NOW_MS = EVERY_MS * OCCURRENCES


def _schedule(
    cell: CellState,
    name: str = 'a',
    occurrences: int = OCCURRENCES,
    width: int = 4,
    lasts: bool = False,
) -> JobInfo:
    shape = StepSpec(width, Resources(1, 1), 500, lasts=lasts)
    spec = WorkflowSpec(name, 'q', 'pool', 'x', (shape,), 3, 2.0, 1000, 0)
    scheduled = spec._replace(
        occurrences=occurrences, first_due_ms=1, every_ms=EVERY_MS
    )
    return submit(cell, scheduled, len(cell.jobs))


def _count_tasks(cell: CellState) -> int:
    return sum(len(each.tasks) for each in cell.open_steps.values())


def _finish_open(cell: CellState) -> None:
    for each in list(cell.open_steps.values()):
        for task in each.tasks:
            mark_done(each, task)
        finish_step(cell, each, 0)


def test_a_schedule_that_began_long_ago_does_not_open_at_once() -> None:
    """Each owner lost the ownership over it and began anew."""
    cell = CellState(1, 0)
    _schedule(cell)
    counts = []
    for _ in range(30):
        before = _count_tasks(cell)
        open_occurrences(cell, NOW_MS)
        counts.append(_count_tasks(cell) - before)
    assert max(counts) <= MAX_OPENED_PER_JOB
    assert _count_tasks(cell) == MAX_OPEN_TASKS


def test_many_schedules_that_are_due_do_not_open_at_once() -> None:
    cell = CellState(1, 0)
    for number in range(100):
        _schedule(cell, f'{number:016x}', occurrences=50)
    open_occurrences(cell, NOW_MS)
    assert _count_tasks(cell) <= MAX_OPENED
    for _ in range(100):
        open_occurrences(cell, NOW_MS)
    assert _count_tasks(cell) == 100 * 50 * 4


def test_every_occurrence_of_a_long_schedule_runs_once() -> None:
    cell = CellState(1, 0)
    found = _schedule(cell, occurrences=5000)
    rounds = 0
    while not found.is_final:
        open_occurrences(cell, NOW_MS)
        _finish_open(cell)
        forget_finished_occurrences(cell)
        rounds += 1
        assert rounds < 200
    is_completed = found.phase is JobPhase.COMPLETED
    assert is_completed
    assert len(found.finished) == 5000
    assert len(found.occurrences) <= MAX_OPENED_PER_JOB // 4


def test_lasting_tasks_do_not_hold_back_later_occurrences() -> None:
    cell = CellState(1, 0)
    found = _schedule(cell, occurrences=2000, lasts=True)
    for _ in range(100):
        open_occurrences(cell, NOW_MS)
    assert len(found.occurrences) == 2000


def test_an_occurrence_wider_than_the_limits_opens() -> None:
    cell = CellState(1, 0)
    found = _schedule(cell, width=MAX_OPEN_TASKS + 1)
    open_occurrences(cell, NOW_MS)
    open_occurrences(cell, NOW_MS)
    assert set(found.occurrences) == {0}
    _finish_open(cell)
    open_occurrences(cell, NOW_MS)
    assert set(found.occurrences) == {0, 1}


def test_a_restored_schedule_goes_on_where_it_was() -> None:
    cell = CellState(1, 0)
    found = _schedule(cell)
    for _ in range(3):
        open_occurrences(cell, NOW_MS)
        _finish_open(cell)
    open_occurrences(cell, NOW_MS)
    open_steps = list(cell.open_steps.values())
    for number in (3, 5):
        for task in open_steps[number].tasks:
            mark_done(open_steps[number], task)
        finish_step(cell, open_steps[number], 0)
    raw = encode_progress(found)
    other = CellState(2, 0)
    restored = _schedule(other)
    restore_progress(other, restored, raw)
    assert list(restored.finished) == list(found.finished)
    open_occurrences(other, NOW_MS)
    lowest = min(restored.occurrences)
    assert lowest == found.finished.first_open
    assert not set(restored.finished) & set(restored.occurrences)


def test_the_next_due_time_is_that_of_the_first_occurrence_not_open() -> None:
    cell = CellState(1, 0)
    _schedule(cell, occurrences=3)
    assert open_occurrences(cell, 0) == 1
    assert open_occurrences(cell, 1) == 1 + EVERY_MS
    assert open_occurrences(cell, NOW_MS) == -1


@pytest.mark.parametrize(
    ('first', 'last', 'expected'),
    [(0, 4, 8), (2, 4, 0), (5, 6, 0), (0, 9, 10), (0, 0, 1)],
)
def test_ranges_of_finished_numbers_join(
    first: int, last: int, expected: int
) -> None:
    numbers = FinishedNumbers()
    numbers.update((5, 6, 7))
    numbers.add_range(first, last)
    assert numbers.first_open == expected
    assert set(numbers) == {5, 6, 7, *range(first, last + 1)}
    assert len(numbers) == len(set(numbers))


def test_a_schedule_that_began_long_ago_runs_beside_other_jobs() -> None:
    async def scenario(cell: PlatformCell) -> None:
        first_ms = cell.clock.now_ms() - EVERY_MS * OCCURRENCES
        body = {
            **job(step(4)),
            'repetitions': OCCURRENCES + 12,
            'firstRunMs': first_ms,
            'intervalMs': EVERY_MS,
        }
        owner = cell.owner()
        scheduled, _ = await cell.submit('vm-0', body, work_ms=300)
        names = []
        for _ in range(3):
            name, _ = await cell.submit('vm-1', job(step(2)))
            names.append(name)
            await asyncio.sleep(1)
        phases = await cell.settle(names, 20)
        assert set(phases.values()) == {'completed'}
        assert cell.owner() == owner
        await cell.cancel('vm-0', scheduled)
        await asyncio.sleep(4)

    play(scenario)
