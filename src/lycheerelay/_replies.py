"""Match replies of the core to the requests that wait for them."""

import threading
from concurrent.futures import Future
from typing import final

from ._clock import MS_PER_SECOND
from ._codes import Code, Refusal
from ._commands import ReplyAccepted, ReplyRefused

Outcome = ReplyAccepted | ReplyRefused
RETRY_AFTER_MS = 1000


@final
class Replies:
    """Hand out tokens and wait for what the core answers under them."""

    def __init__(self) -> None:
        """Wait for nothing yet."""
        self.waiting: dict[int, Future[Outcome]] = {}
        self.last_token = 0
        self.lock = threading.Lock()

    def open(self) -> tuple[int, 'Future[Outcome]']:
        """Return a token and the future that its reply resolves."""
        future: Future[Outcome] = Future()
        with self.lock:
            self.last_token += 1
            token = self.last_token
            self.waiting[token] = future
        return token, future

    def resolve(self, outcome: Outcome) -> None:
        """Deliver a reply; one that nobody waits for is dropped."""
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
        """Wait for a reply; after the timeout the outcome is open."""
        try:
            return future.result(timeout_ms / MS_PER_SECOND)
        except TimeoutError:
            with self.lock:
                self.waiting.pop(token, None)
        detail = 'not kept yet; ask again with the same id'
        refusal = Refusal(
            Code.TIMEOUT,
            detail,
            retry_after_ms=RETRY_AFTER_MS,
        )
        return ReplyRefused(token, refusal)
