"""Test the distribution of advice calls over the entry VMs."""

import asyncio
from collections.abc import Sequence

import pytest
from result import Ok, Result

from lycheerelay.serving import AdviceDispatcher, AdviceReply, LogFault
from lycheerelay.workflow import AskAdvice, StepKey
from lycheerelay_standins.platform import LoopClock, run_virtual

SHORT_MS = 45
LONG_MS = 1150
# Time after a takeover at which other VMs have found the new owner.
PEERS_KNOWN_MS = 600
EPOCH_MS = 1_700_000_000_000


class AdvisorStandIn:
    """Serve the calls of each VM one after the other."""

    def __init__(self) -> None:
        self.locks: dict[str, asyncio.Lock] = {}
        self.durations_ms: dict[int, int] = {}

    async def serve(self, vm: str, step: StepKey) -> Ok[AdviceReply]:
        async with self.locks.setdefault(vm, asyncio.Lock()):
            await asyncio.sleep(self.durations_ms[step.step] / 1000)
        return Ok(AdviceReply((), 2000))

    async def ask(
        self, step: StepKey, workers: Sequence[str]
    ) -> Result[AdviceReply, LogFault]:
        return await self.serve('', step)


class PeersStandIn:
    """Pass calls on; other VMs become known some time after the start."""

    def __init__(self, advisor: AdvisorStandIn, known_ms: float) -> None:
        self.advisor = advisor
        self.known_at_s = asyncio.get_running_loop().time() + known_ms / 1000

    def live_peers(self) -> list[str]:
        if asyncio.get_running_loop().time() < self.known_at_s:
            return []
        return [f'vm-{number}' for number in range(12)]

    async def ask_advice(
        self, address: str, command: AskAdvice, expected_ms: int
    ) -> Result[AdviceReply, LogFault]:
        return await self.advisor.serve(address, command.step)

    def suspect(self, address: str) -> None:
        raise AssertionError(f'{address} answered')


async def ask_all(durations_ms: Sequence[int], known_ms: float) -> list[float]:
    """Send the calls together; return when each was answered, in ms."""
    loop = asyncio.get_running_loop()
    advisor = AdvisorStandIn()
    peers = PeersStandIn(advisor, known_ms)
    dispatcher = AdviceDispatcher(LoopClock(EPOCH_MS), advisor, peers)  # type: ignore[arg-type]
    begin_s = loop.time()

    async def ask(number: int, duration_ms: int) -> float:
        advisor.durations_ms[number] = duration_ms
        command = AskAdvice(StepKey('j', 0, number), (), duration_ms)
        await dispatcher.ask(command)
        return (loop.time() - begin_s) * 1000

    calls = [ask(*call) for call in enumerate(durations_ms)]
    return list(await asyncio.gather(*calls))


def test_calls_after_a_takeover_use_the_vms_that_become_known() -> None:
    """All calls in the queue of the new owner take tens of seconds there."""
    durations_ms = [LONG_MS, LONG_MS, SHORT_MS] * 12
    answered_ms = run_virtual(ask_all(durations_ms, PEERS_KNOWN_MS))
    short_ms = answered_ms[2::3]
    # The own queue serves one call at a time until the others are known; the
    # long calls then take three rounds at ten VMs.
    assert max(short_ms) < PEERS_KNOWN_MS + LONG_MS
    assert max(answered_ms) < PEERS_KNOWN_MS + 4 * LONG_MS


def test_a_long_call_is_not_overtaken_for_ever() -> None:
    """Short calls that keep coming must not starve a long one."""
    durations_ms = [SHORT_MS, LONG_MS, *[SHORT_MS] * 60]
    answered_ms = run_virtual(ask_all(durations_ms, 1_000_000))
    assert answered_ms[1] <= sum(durations_ms) + LONG_MS


@pytest.mark.parametrize('count', [1, 12])
def test_calls_are_sent_at_once_while_queues_are_idle(count: int) -> None:
    """Waiting for a queue must not delay calls of a calm cell."""
    answered_ms = run_virtual(ask_all([SHORT_MS] * count, 0))
    assert max(answered_ms) < SHORT_MS + 1


def test_a_cancelled_call_frees_the_ones_behind_it() -> None:
    """The calls of a term that ended must not hold up those of the next one."""

    async def scenario() -> float:
        loop = asyncio.get_running_loop()
        advisor = AdvisorStandIn()
        advisor.durations_ms = {0: LONG_MS, 1: LONG_MS, 2: SHORT_MS}
        peers = PeersStandIn(advisor, 1_000_000)
        dispatcher = AdviceDispatcher(LoopClock(EPOCH_MS), advisor, peers)  # type: ignore[arg-type]
        tasks = [
            loop.create_task(
                dispatcher.ask(AskAdvice(StepKey('j', 0, number), (), LONG_MS))
            )
            for number in range(3)
        ]
        await asyncio.sleep(0.01)
        tasks[1].cancel()
        await tasks[2]
        return loop.time()

    # The virtual clock starts at 0.
    assert run_virtual(scenario()) < 2 * LONG_MS / 1000


def test_a_step_with_capacity_is_not_behind_those_that_look_for_workers() -> (
    None
):
    """Tickets of other workers would expire, and the capacity would be idle."""

    async def scenario() -> float:
        loop = asyncio.get_running_loop()
        advisor = AdvisorStandIn()
        advisor.durations_ms = dict.fromkeys(range(101), LONG_MS)
        peers = PeersStandIn(advisor, 0)
        dispatcher = AdviceDispatcher(LoopClock(EPOCH_MS), advisor, peers)  # type: ignore[arg-type]
        searches = [
            loop.create_task(
                dispatcher.ask(AskAdvice(StepKey('j', 0, number), (), LONG_MS))
            )
            for number in range(100)
        ]
        await asyncio.sleep(2 * LONG_MS / 1000)
        begin_s = loop.time()
        await dispatcher.ask(
            AskAdvice(StepKey('j', 0, 100), (), LONG_MS, is_urgent=True)
        )
        for search in searches:
            search.cancel()
        return (loop.time() - begin_s) * 1000

    assert run_virtual(scenario()) < 2.1 * LONG_MS


def test_a_long_call_does_not_hold_up_short_ones() -> None:
    """The queues for short calls are free while the others are busy."""
    durations_ms = [LONG_MS] * 100 + [SHORT_MS] * 4
    answered_ms = run_virtual(ask_all(durations_ms, 0))
    assert max(answered_ms[100:]) < 4 * SHORT_MS
