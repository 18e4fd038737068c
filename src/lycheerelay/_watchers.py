"""Wake callers who wait for a job's complete answer."""

import threading
from concurrent.futures import Future
from typing import final


@final
class Watchers:
    """Hold a future for each waiting caller."""

    def __init__(self) -> None:
        """Start with no callers."""
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
        """Drop a caller who stopped waiting."""
        with self.lock:
            futures = self.futures.get(job_id, [])
            if future in futures:
                futures.remove(future)
            if not futures:
                self.futures.pop(job_id, None)

    def wake(self, job_id: str) -> None:
        """Resolve every future of the job."""
        with self.lock:
            futures = self.futures.pop(job_id, [])
        for future in futures:
            future.set_result(None)

    def wake_all(self) -> None:
        """Let no caller wait any longer, now or later."""
        with self.lock:
            self.closed = True
            jobs = tuple(self.futures)
        for job_id in jobs:
            self.wake(job_id)
