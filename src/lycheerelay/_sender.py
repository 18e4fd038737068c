"""Send the core's task commands to workers until they are answered."""

import logging
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Final, final

from result import Err

from ._clock import MS_PER_SECOND
from ._commands import ForgetTask, StartTask, StopTask
from ._events import Event, StartAnswered
from ._worker_link import WorkerLink

LOGGER: Final = logging.getLogger(__name__)
RETRY_MS: Final = 200
THREADS: Final = 16

TaskCommand = StartTask | StopTask | ForgetTask


@final
class Sender:
    """Send commands under a valid lease only, and repeat lost ones."""

    def __init__(
        self,
        find_link: Callable[[str], WorkerLink | None],
        post: Callable[[str, Event], None],
    ) -> None:
        """Share the links of the node."""
        self.find_link = find_link
        self.post = post
        self.threads = ThreadPoolExecutor(THREADS, 'sender')

    def send(self, command: TaskCommand) -> None:
        """Queue a command for its worker."""
        self.threads.submit(self.deliver, command)

    def stop(self) -> None:
        """Let commands in flight finish, drop the others."""
        self.threads.shutdown(wait=True, cancel_futures=True)

    def deliver(self, command: TaskCommand) -> None:
        """Repeat one command while the lease allows it."""
        link = self.find_link(command.worker)
        while link is not None and link.lease.is_valid(command.term):
            if self._try_once(link, command):
                return
            time.sleep(RETRY_MS / MS_PER_SECOND)

    def _try_once(self, link: WorkerLink, command: TaskCommand) -> bool:
        client = link.client
        if isinstance(command, StartTask):
            reply = client.start(
                command.term,
                command.key,
                command.spec,
                command.boot,
            )
        elif isinstance(command, StopTask):
            reply = client.stop(
                command.term,
                command.key,
                command.checkpoint,
                command.boot,
            )
        else:
            return not isinstance(
                client.forget(command.term, command.key),
                Err,
            )
        if isinstance(reply, Err):
            return False
        answer = reply.ok_value
        self.post(
            command.worker,
            StartAnswered(
                command.worker,
                command.key,
                answer.state,
                answer.code,
                answer.boot,
            ),
        )
        return True
