"""Test parts of an entry VM's process apart from the others."""

import asyncio
from typing import Any

import pytest
from result import Err

from lycheerelay.serving import MetricsRegistry
from lycheerelay.serving._append_gate import AppendGate
from lycheerelay.serving._job_appends import JobAppends
from lycheerelay.serving._peers import (
    HELLO_EXPIRY_INTERVALS,
    HELLO_INTERVAL_MS,
    HELLO_INTERVAL_PER_MEMBER_MS,
    Peers,
)
from lycheerelay.serving._ports import KeyedRecord, LogFault, StoreLimits
from lycheerelay.serving._store_health import StoreHealth


class ManualClock:
    """Clock that is set by the test."""

    def __init__(self) -> None:
        """Start at 0 ms."""
        self.time_ms = 0

    def now_ms(self) -> int:
        """Return the time that the test set."""
        return self.time_ms


class BrokenLog:
    """Log whose appends raise."""

    limits = StoreLimits()

    async def append(self, *_: Any, **__: Any) -> None:
        """Fail like a client with a fault of its own."""
        raise RuntimeError('connector is closed')


def test_callers_get_an_outcome_if_an_append_raises() -> None:
    """Their record may have been written, so the outcome is unknown.

    Without an outcome, callers that never time out would wait forever.
    """

    async def scenario() -> object:
        clock: Any = ManualClock()
        log: Any = BrokenLog()
        metrics = MetricsRegistry()
        appends = JobAppends(
            clock, log, AppendGate(clock, StoreHealth()), metrics
        )
        outcome = await appends.append(KeyedRecord('a', b'x'), 60_000)
        with pytest.raises(RuntimeError, match='connector is closed'):
            await appends.sender  # type: ignore[misc]
        return outcome

    outcome = asyncio.run(asyncio.wait_for(scenario(), 5))
    assert outcome == Err(LogFault.UNKNOWN)


def test_expired_members_do_not_delay_the_next_hello() -> None:
    """The interval grows with the live members only."""

    async def scenario() -> tuple[int, int]:
        clock: Any = ManualClock()
        unused: Any = None
        peers = Peers('own', unused, unused, clock, unused)
        for number in range(10):
            wait_ms = peers.receive_hello(f'member-{number}')
        clock.time_ms = HELLO_EXPIRY_INTERVALS * wait_ms + 1
        return wait_ms, peers.receive_hello('late')

    earlier_ms, later_ms = asyncio.run(scenario())
    assert earlier_ms == HELLO_INTERVAL_MS + 9 * HELLO_INTERVAL_PER_MEMBER_MS
    assert later_ms == HELLO_INTERVAL_MS
