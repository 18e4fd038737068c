"""Write marks from a thread of its own, away from the core."""

from concurrent.futures import ThreadPoolExecutor
from typing import final

from ._compaction import Marks, MarkStream


@final
class MarkStore:
    """Know the newest marks of the failure domain."""

    def __init__(self, stream: MarkStream) -> None:
        """Know no marks yet."""
        self.stream = stream
        self.marks = Marks({}, ())
        self.pools: set[str] = set()
        self.writer = ThreadPoolExecutor(1, 'marks')

    def load(self) -> int:
        """Read the newest marks and return where to start reading."""
        self.marks = self.stream.read_last()
        return self.marks.start_offset()

    def move(self, pool: str, offset: int) -> None:
        """Note that a pool was restated since an offset."""
        self.writer.submit(self._write, pool, offset)

    def stop(self) -> None:
        """Finish what is being written."""
        self.writer.shutdown(wait=True)

    def _write(self, pool: str, offset: int) -> None:
        newest = self.stream.read_last()
        self.marks = newest.moved(pool, offset, self.pools | {pool})
        self.stream.write(self.marks)
