"""Test owners that lose power, whose channels to the workers stay open.

Guards against owners that use up the channels of the workers, which then reset each
new one.
"""

import asyncio
import socket
import threading
from typing import Any

import pytest

from lycheerelay.serving import (
    NO_ANSWER,
    NO_CHANNEL,
    NOT_SENT,
    ChannelBudget,
    HttpCalls,
    Reply,
)
from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    Shape,
    run_virtual,
)
from platform_days import job, play, step

MAX_WAIT_MS = 3000
CELL = CellShape(workers=(Shape('cpu', 64000),) * 4, worker_channels=64)


async def _submit_load(cell: PlatformCell, count: int) -> dict[str, int]:
    """Submit jobs; return when."""
    given_ms = {}
    for _ in range(count):
        ready = [
            vm
            for vm, entry in sorted(cell.entries.items())
            if entry.config.table is not None
        ]
        now_ms = cell.now_ms()
        name, _ = await cell.submit(
            cell.rng.choice(ready), job(step(60)), work_ms=800
        )
        given_ms[name] = now_ms
        await asyncio.sleep(0.5)
    return given_ms


async def _wait_for_owner(cell: PlatformCell) -> str:
    while not cell.owner():
        await asyncio.sleep(0.1)
    return cell.owner()


def _longest_pause_ms(cell: PlatformCell, given_ms: dict[str, int]) -> int:
    """Return the longest time in which a job that was not done had no run."""
    pauses = []
    for name, from_ms in given_ms.items():
        runs = sorted(
            (run.started_ms, run.ended_ms)
            for task, task_runs in cell.audit.runs.items()
            if task.startswith(name)
            for run in task_runs
        )
        covered_ms = from_ms
        for started_ms, ended_ms in runs or [(cell.now_ms(), 0)]:
            pauses.append(started_ms - covered_ms)
            covered_ms = max(covered_ms, ended_ms)
    return max(pauses)


@pytest.mark.parametrize('seed', [1, 2])
def test_work_goes_on_after_many_power_cuts_of_the_owner(seed: int) -> None:
    """One each 7 s, twelve in all, beside a steady load."""

    async def scenario(cell: PlatformCell) -> None:
        names = []
        for _ in range(12):
            names += await _submit_load(cell, 7)
            owner = await _wait_for_owner(cell)
            cell.cut_power(owner)
            await asyncio.sleep(3.5)
            cell.start_vm(owner)
        await asyncio.sleep(6)
        given_ms = await _submit_load(cell, 10)
        phases = await cell.settle([*names, *given_ms], 15)
        assert not cell.net.channels.resets
        assert _longest_pause_ms(cell, given_ms) < MAX_WAIT_MS
        assert set(phases.values()) == {'completed'}

    play(scenario, CELL._replace(seed=seed))


class _SlowCaller:
    """Answer each call after some time."""

    def __init__(self, answer_s: float) -> None:
        self.answer_s = answer_s
        self.calls = 0
        self.most_calls = 0

    async def call(self, *_: Any) -> Reply:
        self.calls += 1
        self.most_calls = max(self.most_calls, self.calls)
        await asyncio.sleep(self.answer_s)
        self.calls -= 1
        return Reply(200)


@pytest.mark.parametrize(
    ('answer_s', 'statuses'),
    [(0.01, [200] * 40), (0.2, [NO_CHANNEL] * 32 + [200] * 8)],
)
def test_few_calls_to_a_worker_are_made_at_the_same_time(
    answer_s: float, statuses: list[int]
) -> None:
    """The others wait their turn, and those to other workers do not."""

    async def scenario() -> None:
        caller = _SlowCaller(answer_s)
        budget = ChannelBudget(caller)
        calls = (
            budget.call('POST', f'http://10.2.0.{number % 2}:80/v1/x', 300)
            for number in range(80)
        )
        replies = await asyncio.gather(*calls)
        assert sorted(reply.status for reply in replies) == sorted(statuses * 2)
        assert caller.most_calls == 8
        assert not budget.turns

    run_virtual(scenario())


def _serve_resets(listener: socket.socket, reads_first: bool) -> None:
    """Close each connection, before or after the call is read."""
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        with connection:
            if reads_first:
                connection.recv(4096)


@pytest.mark.parametrize('reads_first', [False, True])
def test_a_call_that_was_not_written_is_known_as_not_sent(
    reads_first: bool,
) -> None:
    """A host that closes connections before a call has executed nothing."""

    async def call(address: str) -> list[int]:
        http = HttpCalls()
        url = f'http://{address}/v1/run-start'
        replies = [await http.call('POST', url, 300, b'{}') for _ in range(100)]
        await http.close()
        return [reply.status for reply in replies]

    with socket.create_server(('127.0.0.1', 0)) as listener:
        threading.Thread(
            target=_serve_resets, args=(listener, reads_first), daemon=True
        ).start()
        statuses = asyncio.run(call('{}:{}'.format(*listener.getsockname())))
        listener.shutdown(socket.SHUT_RDWR)
    if reads_first:
        assert set(statuses) == {NO_ANSWER}
    else:
        assert NOT_SENT in statuses
