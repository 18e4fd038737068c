"""Test that a process reports timers that fire late, with the cause.

Guards against an owner that loses its ownership without a line that tells
whether its code or the machine held it up.
"""

import logging

import pytest

from lycheerelay._clock import ManualClock
from lycheerelay.serving import _loop_delay
from lycheerelay.serving._loop_delay import REPORTED_DELAY_MS, LoopDelay


@pytest.mark.parametrize(('late_ms', 'used_ms'), [(900, 880), (900, 2)])
def test_a_late_timer_is_reported_with_the_processor_time(
    late_ms: int,
    used_ms: int,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The processor time tells busy code from a suspended process."""
    clock = ManualClock(1000)
    readings = iter((40, 40 + used_ms))
    monkeypatch.setattr(_loop_delay, 'processor_ms', lambda: next(readings))
    delay = LoopDelay(clock)
    delay.expect(250)
    clock.advance(250 + late_ms)
    delay.report(is_owner=True)
    (line,) = caplog.records
    assert line.levelno == logging.WARNING
    fields = vars(line)
    assert fields['late_ms'] == late_ms
    assert fields['processor_ms'] == used_ms
    assert fields['is_owner']


def test_a_timer_in_time_is_not_reported(
    caplog: pytest.LogCaptureFixture,
) -> None:
    clock = ManualClock(1000)
    delay = LoopDelay(clock)
    delay.expect(250)
    clock.advance(250 + REPORTED_DELAY_MS - 1)
    delay.report(is_owner=False)
    assert not caplog.records
