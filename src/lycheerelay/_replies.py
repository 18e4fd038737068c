"""Match replies of the core to waiting requests."""

import threading
from concurrent.futures import Future
from typing import final

from ._clock import MS_PER_SECOND
from ._codes import Code, Refusal
from ._commands import ReplyAccepted, ReplyRefused

Outcome = ReplyAccepted | ReplyRefused
RETRY_AFTER_MS = 1000


@final
class PendingReplies:
    """Hold the futures of requests that wait for a reply, by token."""

    def __init__(self) -> None:
        """Initialize without waiting requests."""
        self.waiting: dict[int, Future[Outcome]] = {}
        self.last_token = 0
        self.lock = threading.Lock()

    def open(self) -> tuple[int, 'Future[Outcome]']:
        """Return a new token and the future for its reply."""
        future: Future[Outcome] = Future()
        with self.lock:
            self.last_token += 1
            token = self.last_token
            self.waiting[token] = future
        return token, future

    def resolve(self, outcome: Outcome) -> None:
        """Deliver a reply; it is dropped if no request waits for it."""
        with self.lock:
            future = self.waiting.pop(outcome.token, None)
        if future is not None:
            future.set_result(outcome)

    def wait(
        self,
        token: int,
        future: 'Future[Outcome]',
        timeout_ms: int,
    ) -> Outcome:
        """Wait for a reply; after a timeout the outcome is unknown."""
        try:
            return future.result(timeout_ms / MS_PER_SECOND)
        except TimeoutError:
            with self.lock:
                self.waiting.pop(token, None)
        detail = 'not recorded yet; retry with the same id'
        refusal = Refusal(
            Code.TIMEOUT,
            detail,
            retry_after_ms=RETRY_AFTER_MS,
        )
        return ReplyRefused(token, refusal)
