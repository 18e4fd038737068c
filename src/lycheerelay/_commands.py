"""Define the commands that the decision core returns."""

from typing import NamedTuple

from ._codes import Code, Refusal
from ._jobs import AttemptKey, JobSpec
from ._records import Record


class Append(NamedTuple):
    """Append a record to the log of the failure domain."""

    record: Record


class StartTask(NamedTuple):
    """Start an attempt whose intent is recorded."""

    worker: str
    term: int
    key: AttemptKey
    spec: JobSpec
    boot: str = ''


class StopTask(NamedTuple):
    """Stop or checkpoint an attempt, or void one that never started."""

    worker: str
    term: int
    key: AttemptKey
    checkpoint: bool
    boot: str = ''


class ThrottleTask(NamedTuple):
    """Limit an attempt to a percentage of its full speed."""

    worker: str
    term: int
    key: AttemptKey
    percent: int


class ForgetTask(NamedTuple):
    """Tell a worker to drop an attempt whose end is recorded."""

    worker: str
    term: int
    key: AttemptKey


class ReadRunTable(NamedTuple):
    """Ask a worker for its whole run table with the next lease renewal."""

    worker: str


class ReplyAccepted(NamedTuple):
    """Acknowledge a recorded submission or cancellation.

    `held` means that the record is stored on a standby during a log outage.
    """

    token: int
    job_id: str
    code: Code
    held: bool = False


class ReplyRefused(NamedTuple):
    """Refuse a request."""

    token: int
    refusal: Refusal


class Restated(NamedTuple):
    """Report that images of all jobs follow an offset of the stream."""

    pool: str
    round_offset: int


class JobFinal(NamedTuple):
    """Notify the watchers of a job that it is final."""

    job_id: str


Command = (
    Append
    | StartTask
    | StopTask
    | ThrottleTask
    | ForgetTask
    | ReadRunTable
    | ReplyAccepted
    | ReplyRefused
    | JobFinal
    | Restated
)
