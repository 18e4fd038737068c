"""Test that thousands of orders at once hold up nothing else.

Replays a step of 9,000 tasks that is started, and cancelled. Guards against
orders that time out while they wait for a connection, and against an owner that
sends orders without a pause and so misses to renew its ownership.
"""

import asyncio
import collections
from types import SimpleNamespace
from typing import Any

from lycheerelay.serving._metrics_registry import MetricsRegistry
from lycheerelay.serving._order_turns import (
    ORDERS_PER_TURN,
    STARTS_PER_WORKER,
    STOPS_PER_WORKER,
    OrderTurns,
)
from lycheerelay.serving._orders import Orders
from lycheerelay.serving._ports import StopOrder
from lycheerelay.workflow import (
    Answer,
    RunKey,
    StartRun,
    StopRun,
    TaskKey,
    WorkerKey,
)
from lycheerelay_standins.platform import PlatformCell, run_virtual
from platform_days import job, play, step

WORKERS = tuple(WorkerKey(f'w-{number}') for number in range(8))
ORDER_S = 0.005


def _starts(job_id: str, count: int) -> list[StartRun]:
    return [
        StartRun(
            WORKERS[number % len(WORKERS)],
            RunKey(TaskKey(job_id, 0, 0, number), 1),
            '',
            '',
            '',
        )
        for number in range(count)
    ]


class Sender:
    """Send each start for some time and count what is in flight."""

    def __init__(self) -> None:
        """Create a queue that sends by this sender."""
        self.queue: OrderTurns[StartRun] = OrderTurns(
            self.send, STARTS_PER_WORKER
        )
        self.sent: list[StartRun] = []
        self.in_flight: collections.Counter[WorkerKey] = collections.Counter()
        self.most_in_flight = 0
        self.since_turn = 0
        self.longest_turn = 0
        self.tasks: list[asyncio.Task[None]] = []

    def send(self, command: StartRun) -> None:
        """Send a start in a task."""
        self.sent.append(command)
        self.since_turn += 1
        self.longest_turn = max(self.longest_turn, self.since_turn)
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self._send(command)))

    async def _send(self, command: StartRun) -> None:
        self.in_flight[command.worker] += 1
        most = max(self.in_flight.values())
        self.most_in_flight = max(self.most_in_flight, most)
        await asyncio.sleep(ORDER_S)
        self.in_flight[command.worker] -= 1
        self.queue.finish(command.worker)

    async def take_turns(self) -> None:
        """Stand for the other work of the process."""
        while True:
            self.since_turn = 0
            await asyncio.sleep(0)


def test_a_wide_step_is_sent_in_turns_within_the_connections() -> None:
    """All starts are sent once, and those of a later job soon."""

    async def scenario() -> Sender:
        sender = Sender()
        others = asyncio.get_running_loop().create_task(sender.take_turns())
        await asyncio.sleep(0)
        sender.queue.add(_starts('wide', 9000))
        await asyncio.sleep(ORDER_S / 2)
        sender.queue.add(_starts('small', 16))
        while len(sender.sent) < 9016 or sum(sender.in_flight.values()):
            await asyncio.sleep(ORDER_S)
        others.cancel()
        assert not sender.queue.waiting
        assert not sender.queue.in_flight
        return sender

    sender = asyncio.run(scenario())
    assert len(set(sender.sent)) == 9016
    assert sender.most_in_flight <= STARTS_PER_WORKER
    assert sender.longest_turn <= ORDERS_PER_TURN
    last = max(
        place
        for place, command in enumerate(sender.sent)
        if command.run.task.job_id == 'small'
    )
    assert last < 200


def test_nothing_is_sent_after_the_end_of_the_term() -> None:
    async def scenario() -> None:
        sender = Sender()
        sender.queue.add(_starts('wide', 9000))
        sender.queue.stop()
        sent = len(sender.sent)
        await asyncio.sleep(3 * ORDER_S)
        assert len(sender.sent) == sent

    run_virtual(scenario())


def test_a_start_that_was_held_back_is_neither_hung_nor_slow() -> None:
    """Its time counts from its sending, not from the decision."""

    async def scenario(cell: PlatformCell) -> None:
        owner = cell.entries[cell.owner()].handler.owner
        assert owner is not None
        queue = owner.orders.start_turns
        for key in owner.cell.workers:
            queue.in_flight[key] = STARTS_PER_WORKER
        name, _ = await cell.submit('vm-0', job(step(4)), work_ms=3000)
        await asyncio.sleep(9)
        for key in owner.cell.workers:
            for _ in range(STARTS_PER_WORKER):
                queue.finish(key)
        assert await cell.settle([name], 8) == {name: 'completed'}
        assert sum(worker.starts for worker in cell.workers.values()) == 4

    play(scenario)


def test_no_start_that_was_held_back_is_sent_to_a_draining_worker() -> None:
    """Its task starts elsewhere."""

    async def scenario(cell: PlatformCell) -> None:
        owner = cell.entries[cell.owner()].handler.owner
        assert owner is not None
        queue = owner.orders.start_turns
        for key in owner.cell.workers:
            queue.in_flight[key] = STARTS_PER_WORKER
        name, _ = await cell.submit('vm-0', job(step(24)), work_ms=300)
        await asyncio.sleep(0.5)
        assert len(queue.waiting) > 1
        leaving = next(iter(queue.waiting))
        cell.workers[leaving.worker_id].draining = True
        await asyncio.sleep(2.5)
        assert owner.cell.workers[leaving].draining
        for key in owner.cell.workers:
            for _ in range(STARTS_PER_WORKER):
                queue.finish(key)
        assert await cell.settle([name], 8) == {name: 'completed'}
        assert cell.workers[leaving.worker_id].starts == 0

    play(scenario)


class SlowWorkers:
    """Answer each stop after some time, and count them."""

    def __init__(self) -> None:
        """Start without orders."""
        self.stopped: collections.Counter[RunKey] = collections.Counter()
        self.in_flight: collections.Counter[WorkerKey] = collections.Counter()
        self.most_in_flight = 0

    async def stop(self, order: StopOrder) -> Answer:
        """Stop a run."""
        self.in_flight[order.worker] += 1
        most = max(self.in_flight.values())
        self.most_in_flight = max(self.most_in_flight, most)
        await asyncio.sleep(ORDER_S)
        self.in_flight[order.worker] -= 1
        self.stopped[order.run] += 1
        return Answer.DONE


def test_the_stops_of_a_wide_job_do_not_crowd_each_other_out() -> None:
    """All at once, most would time out for a channel, over and over."""

    async def scenario() -> SlowWorkers:
        workers: Any = SlowWorkers()
        cell: Any = SimpleNamespace(workers=dict.fromkeys(WORKERS), outbox=[])
        context: Any = SimpleNamespace(
            cell=cell,
            workers=workers,
            may_send_orders=True,
            now_ms=0,
            fence=1,
            metrics=MetricsRegistry(),
        )
        nothing: Any = None
        orders = Orders(context, nothing)
        poller: Any = SimpleNamespace(address='w:80')
        orders.pollers = dict.fromkeys(WORKERS, poller)
        stops = [StopRun(each.worker, each.run) for each in _starts('wide', 80)]
        for _ in range(3):
            cell.outbox.extend(stops)
            orders.execute_commands()
            await asyncio.sleep(ORDER_S)
        while len(workers.stopped) < len(stops) or orders.tasks:
            await asyncio.sleep(ORDER_S)
        return workers

    workers = run_virtual(scenario())
    assert len(workers.stopped) == 80
    assert set(workers.stopped.values()) <= {1, 2}
    assert workers.most_in_flight <= STOPS_PER_WORKER
