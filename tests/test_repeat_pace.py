"""Test when a failed append is repeated; it replays answers of the store."""

from lycheerelay.serving._repeat_pace import RepeatPace, repeat_interval_ms


def _repeats(fails_ms: int, appends: int, length_ms: int) -> list[int]:
    """Return when attempts are sent that fail after a time.

    Every append needs this many repeats.
    """
    pace = RepeatPace(7)
    now_ms, sent = 0, []
    while now_ms < length_ms:
        for attempt in range(1, appends + 1):
            sent_ms = now_ms
            now_ms += fails_ms
            now_ms += pace.pause_ms(attempt, sent_ms, now_ms)
            sent.append(sent_ms)
    return sent


def test_the_first_repeats_are_quick_and_later_ones_are_spread() -> None:
    assert [repeat_interval_ms(n) for n in (1, 2, 3, 4, 99)] == [
        120,
        120,
        240,
        320,
        320,
    ]
    sent = _repeats(fails_ms=1, appends=50, length_ms=6000)
    gaps = [later - first for first, later in zip(sent, sent[1:], strict=False)]
    assert all(60 <= gap <= 120 for gap in gaps[:2])
    assert all(160 <= gap <= 320 for gap in gaps[3:20])
    assert len(set(gaps[3:20])) > 10


def test_a_timeout_uses_up_the_interval() -> None:
    assert RepeatPace(7).pause_ms(1, sent_ms=0, now_ms=120) == 0


def test_appends_that_fail_once_each_share_a_budget() -> None:
    """40 repeats at once, then about 5 a second."""
    sent = _repeats(fails_ms=1, appends=1, length_ms=60_000)
    per_s = sum(1 for sent_ms in sent if sent_ms >= 30_000) / 30
    assert len([sent_ms for sent_ms in sent if sent_ms < 3000]) > 25
    assert per_s <= 7


def test_the_budget_is_whole_again_after_a_calm_time() -> None:
    pace = RepeatPace(7)
    for _ in range(100):
        pace.pause_ms(1, 0, 0)
    assert pace.pause_ms(1, 0, 0) >= 1000
    assert pace.pause_ms(1, 9000, 9000) <= 120
