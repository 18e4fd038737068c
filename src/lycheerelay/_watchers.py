"""Wake callers that wait for a job to become final."""

import threading
from concurrent.futures import Future
from typing import final


@final
class Watchers:
    """Hold the futures of waiting callers by job id."""

    def __init__(self) -> None:
        """Initialize without waiting callers."""
        self.futures: dict[str, list[Future[None]]] = {}
        self.closed = False
        self.lock = threading.Lock()

    def open(self, job_id: str) -> 'Future[None]':
        """Return a future that is resolved when the job is final."""
        future: Future[None] = Future()
        with self.lock:
            if self.closed:
                future.set_result(None)
            else:
                self.futures.setdefault(job_id, []).append(future)
        return future

    def close(self, job_id: str, future: 'Future[None]') -> None:
        """Remove the future of a caller that stopped waiting."""
        with self.lock:
            futures = self.futures.get(job_id, [])
            if future in futures:
                futures.remove(future)
            if not futures:
                self.futures.pop(job_id, None)

    def wake(self, job_id: str) -> None:
        """Resolve all futures of a job."""
        with self.lock:
            futures = self.futures.pop(job_id, [])
        for future in futures:
            future.set_result(None)

    def wake_all(self) -> None:
        """Resolve all futures, and those opened later at once."""
        with self.lock:
            self.closed = True
            jobs = tuple(self.futures)
        for job_id in jobs:
            self.wake(job_id)
