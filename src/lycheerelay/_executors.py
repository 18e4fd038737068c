"""Execute the commands of the decision core."""

from collections.abc import Callable
from typing import Any, Final

from ._commands import (
    Append,
    ForgetTask,
    JobFinal,
    ReadRunTable,
    ReplyAccepted,
    ReplyRefused,
    Restated,
    StartTask,
    StopTask,
    ThrottleTask,
)
from ._node_parts import NodeParts
from ._registry import Registry

Executor = Callable[[NodeParts, Any], None]
EXECUTORS: Final[Registry[type, Executor]] = Registry('command executor')


@EXECUTORS.register(Append)
def execute_append(parts: NodeParts, command: Append) -> None:
    """Append a record to the journal."""
    parts.journal.append(command.record)


@EXECUTORS.register(StartTask)
@EXECUTORS.register(StopTask)
@EXECUTORS.register(ThrottleTask)
@EXECUTORS.register(ForgetTask)
def execute_send(
    parts: NodeParts,
    command: StartTask | StopTask | ThrottleTask | ForgetTask,
) -> None:
    """Queue a task command for its worker."""
    parts.sender.send(command)


@EXECUTORS.register(ReadRunTable)
def execute_read(parts: NodeParts, command: ReadRunTable) -> None:
    """Request the whole run table of a worker."""
    link = parts.links.get(command.worker)
    if link is not None:
        link.resync()


@EXECUTORS.register(ReplyAccepted)
@EXECUTORS.register(ReplyRefused)
def execute_reply(
    parts: NodeParts,
    command: ReplyAccepted | ReplyRefused,
) -> None:
    """Resolve the reply of one request."""
    parts.replies.resolve(command)


@EXECUTORS.register(Restated)
def execute_restated(parts: NodeParts, command: Restated) -> None:
    """Advance the start offset of a pool whose jobs were restated."""
    parts.marks.move(command.pool, command.round_offset)


@EXECUTORS.register(JobFinal)
def execute_final(parts: NodeParts, command: JobFinal) -> None:
    """Wake the requests that wait for a job."""
    parts.watchers.wake(command.job_id)
