"""Hold back orders that a worker or this process cannot take at once.

Load: a step of thousands of tasks is started or cancelled. Orders beyond the
channels to a worker would time out while they wait for one, and thousands of
orders at once would hold up the calls that renew the ownership.
"""

import asyncio
import collections
from collections.abc import Callable, Iterable
from typing import Final, Generic, TypeVar, final

from ..workflow import StartRun, StopRun, WorkerKey
from ._channel_budget import MAX_CHANNELS

# Orders of each kind in flight at one worker, which leaves a channel for its poll.
STARTS_PER_WORKER: Final = MAX_CHANNELS - 1
STOPS_PER_WORKER: Final = MAX_CHANNELS - 1
# Orders that are sent before other work of the process has its turn.
ORDERS_PER_TURN: Final = 32

Order = TypeVar('Order', StartRun, StopRun)
JobQueues = collections.OrderedDict[str, collections.deque[Order]]


@final
class OrderTurns(Generic[Order]):
    """Release the orders of one kind to each worker, with the jobs in turn."""

    def __init__(self, send: Callable[[Order], None], limit: int) -> None:
        """Release by `send`, up to `limit` orders for a worker.

        Each order that is sent has to be followed by `finish`.
        """
        self.send: Callable[[Order], None] = send
        self.limit = limit
        self.in_flight: collections.Counter[WorkerKey] = collections.Counter()
        self.waiting: dict[WorkerKey, JobQueues[Order]] = {}
        self.released: collections.deque[Order] = collections.deque()
        self.is_scheduled = False

    def add(self, commands: Iterable[Order]) -> None:
        """Queue orders, and release those that can be sent."""
        workers: dict[WorkerKey, None] = {}
        for command in commands:
            queues = self.waiting.setdefault(
                command.worker, collections.OrderedDict()
            )
            job_id = command.run.task.job_id
            queues.setdefault(job_id, collections.deque()).append(command)
            workers[command.worker] = None
        for key in workers:
            self._release(key)

    def finish(self, key: WorkerKey) -> None:
        """Note the end of an order to a worker, whatever its outcome."""
        self.in_flight[key] -= 1
        if self.in_flight[key] <= 0:
            self.in_flight.pop(key)
        self._release(key)

    def stop(self) -> None:
        """Send nothing any more."""
        self.waiting.clear()
        self.released.clear()

    def _release(self, key: WorkerKey) -> None:
        queues = self.waiting.get(key, collections.OrderedDict())
        while queues and self.in_flight[key] < self.limit:
            job_id, commands = queues.popitem(last=False)
            self.in_flight[key] += 1
            self.released.append(commands.popleft())
            if commands:
                queues[job_id] = commands
        if not queues:
            self.waiting.pop(key, None)
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        if self.released and not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_turn)

    def _send_turn(self) -> None:
        self.is_scheduled = False
        for _ in range(min(len(self.released), ORDERS_PER_TURN)):
            self.send(self.released.popleft())
        self._schedule_turn()
