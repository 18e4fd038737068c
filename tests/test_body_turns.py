"""Handle bodies as far as memory and processor go, in virtual time.

Guards against ordinary callers that wait behind large jobs, and against decoded jobs
that use up the memory.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from lycheerelay.serving.connections import BodyTurns
from lycheerelay_standins.platform import LoopClock, run_virtual

MB = 1024 * 1024
# Bytes of bodies that are handled at a time, with 64 MB.
ALL_BYTES = 64 * MB // 8 // 32
LARGE = 200_000
SMALL = 2000
DECODE_MS = 100


def replay(work: Callable[[BodyTurns], Awaitable[None]]) -> None:
    """Run work with the turns of a process of 64 MB."""

    async def whole() -> None:
        await work(BodyTurns(64, LoopClock(0)))

    run_virtual(whole())


async def handle(turns: BodyTurns, size: int, done: list[int]) -> None:
    """Decode a body, and wait for the store for 50 ms."""
    async with turns.turn(size, 60_000):
        begun_ms = turns.clock.now_ms()
        if size > 32_768:
            await asyncio.sleep(DECODE_MS / 1000)
        turns.report_work(size, begun_ms)
        await asyncio.sleep(0.05)
        done.append(size)


def test_an_ordinary_body_waits_behind_large_ones() -> None:
    """A small body that comes after 20 large ones is handled first."""

    async def work(turns: BodyTurns) -> None:
        done: list[int] = []
        async with asyncio.TaskGroup() as group:
            for _ in range(20):
                group.create_task(handle(turns, LARGE, done))
            await asyncio.sleep(0.2)
            group.create_task(handle(turns, SMALL, done))
        assert done.index(SMALL) <= 2
        assert done.count(LARGE) == 20

    replay(work)


def test_large_bodies_are_decoded_without_a_pause() -> None:
    """Each is followed by a pause as long as its decoding."""

    async def work(turns: BodyTurns) -> None:
        done: list[int] = []
        begun_ms = turns.clock.now_ms()
        async with asyncio.TaskGroup() as group:
            for _ in range(5):
                group.create_task(handle(turns, LARGE, done))
        took_ms = turns.clock.now_ms() - begun_ms
        assert took_ms >= 5 * DECODE_MS + 4 * DECODE_MS

    replay(work)


def test_decoded_bodies_take_more_than_their_share() -> None:
    """Ordinary bodies go together only as far as the memory goes."""

    async def work(turns: BodyTurns) -> None:
        handled = 0
        most = 0

        async def one() -> None:
            nonlocal handled, most
            async with turns.turn(16_000, 60_000):
                handled += 1
                most = max(most, handled)
                await asyncio.sleep(0.01)
                handled -= 1

        async with asyncio.TaskGroup() as group:
            for _ in range(100):
                group.create_task(one())
        assert most == ALL_BYTES // 16_000

    replay(work)


def test_a_body_over_the_share_is_never_handled() -> None:
    """It goes alone."""

    async def work(turns: BodyTurns) -> None:
        done: list[int] = []
        await handle(turns, ALL_BYTES * 2, done)
        assert done == [ALL_BYTES * 2]

    replay(work)


def test_a_wait_that_cannot_end_in_time_is_not_foreseen() -> None:
    """The expected wait grows with the bodies that wait."""

    async def work(turns: BodyTurns) -> None:
        assert turns.expect_wait_ms(LARGE) == 0
        done: list[int] = []
        async with asyncio.TaskGroup() as group:
            for _ in range(30):
                group.create_task(handle(turns, LARGE, done))
            await asyncio.sleep(1)
            assert turns.expect_wait_ms(LARGE) > 3000
            assert turns.expect_wait_ms(SMALL) == 0

    replay(work)


@pytest.mark.parametrize('cancelled', [False, True])
def test_a_body_that_gave_up_keeps_its_turn(cancelled: bool) -> None:
    """One that was cancelled or timed out leaves its turn to the next."""

    async def work(turns: BodyTurns) -> None:
        async def hold() -> None:
            async with turns.turn(ALL_BYTES, 60_000):
                await asyncio.sleep(1)

        async def give_up() -> None:
            async with turns.turn(ALL_BYTES - 1, 200):
                raise AssertionError('had a turn')

        holder = asyncio.create_task(hold())
        await asyncio.sleep(0)
        waiting = asyncio.create_task(give_up())
        await asyncio.sleep(0.1)
        if cancelled:
            waiting.cancel()
        with pytest.raises(
            asyncio.CancelledError if cancelled else TimeoutError
        ):
            await waiting
        await holder
        done: list[int] = []
        await handle(turns, ALL_BYTES, done)
        assert (done, turns.in_use) == ([ALL_BYTES], 0)

    replay(work)
