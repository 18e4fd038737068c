"""Queue what the core's thread has to take, in order."""

import queue
from collections.abc import Callable
from concurrent.futures import Future
from typing import Final, NamedTuple, TypeVar, final

from ._clock import MS_PER_SECOND
from ._events import Event

MAX_BURST: Final = 200

T = TypeVar('T')


class Posted(NamedTuple):
    """Address an event to one pool."""

    pool: str
    event: Event


class Inspection(NamedTuple):
    """Run a reading of the state on the core's thread."""

    read: Callable[[], object]
    future: 'Future[object]'

    def run(self) -> None:
        """Resolve the future with what the reading gives."""
        try:
            self.future.set_result(self.read())
        except Exception as error:
            self.future.set_exception(error)


class ReadMark(NamedTuple):
    """Tell that all records of a read, begun then, are delivered."""

    begun_ms: int


Entry = Posted | Inspection | ReadMark


@final
class Inbox:
    """Hold entries for one thread that takes them in bursts."""

    def __init__(self) -> None:
        """Start empty."""
        self.queue: queue.Queue[Entry] = queue.Queue()

    def put(self, entry: Entry) -> None:
        """Add an entry behind all others."""
        self.queue.put(entry)

    def inspect(self, read: Callable[[], T]) -> T:
        """Run a reading on the taking thread and return its result."""
        future: Future[object] = Future()
        self.queue.put(Inspection(read, future))
        return future.result()  # type: ignore[return-value]

    def take(self, wait_ms: int) -> list[Entry]:
        """Wait for an entry and return it with those behind it."""
        try:
            entries = [self.queue.get(timeout=wait_ms / MS_PER_SECOND)]
        except queue.Empty:
            return []
        while len(entries) < MAX_BURST and not self.queue.empty():
            entries.append(self.queue.get_nowait())
        return entries
