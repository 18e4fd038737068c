"""Write marks on a separate thread, so that the core does not wait."""

from concurrent.futures import ThreadPoolExecutor
from typing import final

from ._compaction import Marks, MarkStream


@final
class MarkStore:
    """Read and update the marks of the failure domain."""

    def __init__(self, stream: MarkStream) -> None:
        """Start with empty marks."""
        self.stream = stream
        self.marks = Marks({}, ())
        self.pools: set[str] = set()
        self.writer = ThreadPoolExecutor(1, 'marks')

    def load(self) -> int:
        """Read the newest marks and return where to start reading."""
        self.marks = self.stream.read_last()
        return self.marks.start_offset()

    def move(self, pool: str, offset: int) -> None:
        """Schedule a write of the offset from which a pool was restated."""
        self.writer.submit(self._write, pool, offset)

    def stop(self) -> None:
        """Finish the scheduled writes."""
        self.writer.shutdown(wait=True)

    def _write(self, pool: str, offset: int) -> None:
        newest = self.stream.read_last()
        self.marks = newest.moved(pool, offset, self.pools | {pool})
        self.stream.write(self.marks)
