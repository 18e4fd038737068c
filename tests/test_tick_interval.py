"""Check that the core ticks again as soon as something is due."""

from lycheerelay._jobs import AttemptKey
from lycheerelay._state import ShardState
from lycheerelay._tick_interval import BUSY_MS, IDLE_MS, WAITING_MS, sleep_ms


def test_sleep_ends_when_something_is_due():
    idle, delayed = ShardState('a', 'p', 'n'), ShardState('a', 'q', 'n')
    assert sleep_ms((idle, delayed), had_commands=False, now_ms=0) == IDLE_MS
    assert sleep_ms((idle, delayed), had_commands=True, now_ms=0) == BUSY_MS
    delayed.delayed.append((70, AttemptKey('a.j', 0, 1)))
    assert sleep_ms((idle, delayed), had_commands=False, now_ms=0) == 70
    assert sleep_ms((idle, delayed), had_commands=False, now_ms=90) == BUSY_MS
    delayed.delayed.clear()
    delayed.deadlines.append((150, 'a.j'))
    assert sleep_ms((idle, delayed), had_commands=False, now_ms=0) == 150


def test_pools_with_waiting_jobs_tick_more_often():
    state = ShardState('a', 'p', 'n')
    state.waiting['a.j'] = None
    assert sleep_ms((state,), had_commands=False, now_ms=0) == WAITING_MS
