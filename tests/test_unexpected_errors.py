"""Test that one malformed message or unexpected error stays local.

Guards against a call of a peer, or a job that a decision cannot cope with, that
takes down a process or one owner after the other.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from lycheerelay.serving import HttpCalls
from lycheerelay.serving._http_calls import NOT_SENT
from lycheerelay.serving._internal_api import ROUTES
from lycheerelay.workflow import _dispatch
from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    QueueShape,
    Shape,
)
from platform_days import job, play, step

BODIES = (
    b'',
    b'[]',
    b'null',
    b'7',
    b'{',
    b'\xff\xfe',
    b'{"job":5,"queue":[],"member":{},"step":1,"workers":2}',
    b'{"job":{},"queue":null,"member":"a b#\\u0000","step":[1],"workers":"x"}',
    b'{"key":5,"payload":7}',
    b'{"key":"job/x","payload":"*"}',
)
ADVICE = {'decisionMs': 5, 'periodMs': 1, 'validityMs': 2000}
ADVISED = CellShape(
    workers=(Shape('cpu'),) * 4, queues=(QueueShape('batch', 'cpu', 3, ADVICE),)
)


class _FailOnce:
    """Raise at the first call that matches, and pass on all others."""

    def __init__(
        self, call: Callable[..., Any], matches: Callable[..., bool]
    ) -> None:
        self.call = call
        self.matches = matches
        self.has_failed = False

    def __call__(self, *arguments: Any) -> Any:
        if not self.has_failed and self.matches(*arguments):
            self.has_failed = True
            raise RuntimeError('unexpected')
        return self.call(*arguments)


def _owner_of(cell: PlatformCell) -> Any:
    return cell.entries[cell.owner()].handler.owner


@pytest.mark.parametrize('path', sorted(ROUTES.entries))
def test_malformed_calls_of_peers_leave_every_vm_serving(path: str) -> None:
    async def scenario(cell: PlatformCell) -> None:
        for entry in cell.entries.values():
            for body in BODIES:
                answer = await entry.internal.answer(path, body)
                assert answer.status in {200, 400, 503}
        names = [
            (await cell.submit(vm, job(step(2))))[0] for vm in cell.entries
        ]
        assert set((await cell.settle(names, 15)).values()) == {'completed'}

    play(scenario)


def test_a_decision_that_raises_stops_only_its_own_step(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(cell: PlatformCell) -> None:
        bad, _ = await cell.submit('vm-0', job(step(2)), job_id='b' * 16)
        owner = cell.owner()
        names = [(await cell.submit('vm-1', job(step(2))))[0] for _ in range(4)]
        assert set((await cell.settle(names, 10)).values()) == {'completed'}
        assert cell.owner() == owner
        assert await cell.state('vm-2', bad) == 'queued'

    def dispatch_step(cell: Any, each: Any, cycle: Any, now_ms: int) -> int:
        if each.key.job_id == 'b' * 16:
            raise RuntimeError('unexpected')
        return original(cell, each, cycle, now_ms)

    original = _dispatch._dispatch_step
    monkeypatch.setattr(_dispatch, '_dispatch_step', dispatch_step)
    play(scenario)


def test_an_advice_call_that_raises_is_repeated() -> None:
    async def scenario(cell: PlatformCell) -> None:
        dispatcher = _owner_of(cell).orders.dispatcher
        dispatcher.ask = _FailOnce(dispatcher.ask, lambda command: True)
        name, _ = await cell.submit('vm-0', job(step(2)))
        assert await cell.settle([name], 10) == {name: 'completed'}

    play(scenario, ADVISED)


def test_a_start_that_raises_is_looked_up_and_repeated() -> None:
    async def scenario(cell: PlatformCell) -> None:
        workers = _owner_of(cell).context.workers
        workers.start = _FailOnce(workers.start, lambda order: True)
        name, _ = await cell.submit('vm-0', job(step(3)))
        assert await cell.settle([name], 15) == {name: 'completed'}

    play(scenario)


def test_a_worker_is_polled_again_after_its_poll_has_raised() -> None:
    async def scenario(cell: PlatformCell) -> None:
        workers = _owner_of(cell).context.workers
        workers.poll = _FailOnce(workers.poll, lambda request: True)
        await asyncio.sleep(2)
        names = [(await cell.submit('vm-0', job(step(8))))[0] for _ in range(4)]
        assert set((await cell.settle(names, 15)).values()) == {'completed'}
        now_ms = cell.clock.now_ms()
        for worker in _owner_of(cell).cell.workers.values():
            assert now_ms - worker.last_contact_ms < 2000

    play(scenario)


@pytest.mark.parametrize('address', ['a b', 'x' * 80, '[::', '10.0.0.1:port'])
def test_a_malformed_address_counts_as_no_answer(address: str) -> None:
    async def call() -> int:
        http = HttpCalls()
        try:
            return (await http.call('POST', f'http://{address}/', 200)).status
        finally:
            await http.close()

    assert asyncio.run(call()) <= NOT_SENT
