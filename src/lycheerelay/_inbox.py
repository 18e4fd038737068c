"""Queue events and reads of the state for the core's thread."""

import queue
from collections.abc import Callable
from concurrent.futures import Future
from typing import Final, NamedTuple, TypeVar, final

from ._clock import MS_PER_SECOND
from ._events import Event

MAX_ENTRIES_PER_TAKE: Final = 200

T = TypeVar('T')


class Posted(NamedTuple):
    """Address an event to one pool."""

    pool: str
    event: Event


class Inspection(NamedTuple):
    """Call a function that reads the state on the core's thread."""

    read: Callable[[], object]
    future: 'Future[object]'

    def run(self) -> None:
        """Resolve the future with the result or the error of the call."""
        try:
            self.future.set_result(self.read())
        except Exception as error:
            self.future.set_exception(error)


class LogReadFinished(NamedTuple):
    """Report that all records of a log read were delivered.

    `begun_ms` is the time at which the read began.
    """

    begun_ms: int


InboxEntry = Posted | Inspection | LogReadFinished


@final
class Inbox:
    """Queue entries for one thread that takes several at a time."""

    def __init__(self) -> None:
        """Start empty."""
        self.queue: queue.Queue[InboxEntry] = queue.Queue()

    def put(self, entry: InboxEntry) -> None:
        """Append an entry to the queue."""
        self.queue.put(entry)

    def inspect(self, read: Callable[[], T]) -> T:
        """Call a function on the core's thread and return its result."""
        future: Future[object] = Future()
        self.queue.put(Inspection(read, future))
        return future.result()  # type: ignore[return-value]

    def take(self, wait_ms: int) -> list[InboxEntry]:
        """Wait for an entry; return it with those queued behind it.

        Return at most MAX_ENTRIES_PER_TAKE, or none after `wait_ms`.
        """
        try:
            entries = [self.queue.get(timeout=wait_ms / MS_PER_SECOND)]
        except queue.Empty:
            return []
        while len(entries) < MAX_ENTRIES_PER_TAKE and not self.queue.empty():
            entries.append(self.queue.get_nowait())
        return entries
