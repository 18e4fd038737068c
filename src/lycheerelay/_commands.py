"""Define what the decision core asks for."""

from typing import NamedTuple

from ._codes import Code, Refusal
from ._jobs import AttemptKey, JobSpec
from ._records import Record


class Append(NamedTuple):
    """Write a record to the log of the failure domain."""

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
    """Slow an attempt down to a share of its full speed."""

    worker: str
    term: int
    key: AttemptKey
    percent: int


class ForgetTask(NamedTuple):
    """Let a worker drop an attempt whose end is recorded."""

    worker: str
    term: int
    key: AttemptKey


class ReplyAccepted(NamedTuple):
    """Answer a submission or cancellation that is kept."""

    token: int
    job_id: str
    code: Code
    held: bool = False


class ReplyRefused(NamedTuple):
    """Answer a request that is not served."""

    token: int
    refusal: Refusal


class Restated(NamedTuple):
    """Tell that every job was restated since an offset of the stream."""

    pool: str
    round_offset: int


class JobFinal(NamedTuple):
    """Tell those who wait that a job's answer is complete."""

    job_id: str


Command = (
    Append
    | StartTask
    | StopTask
    | ThrottleTask
    | ForgetTask
    | ReplyAccepted
    | ReplyRefused
    | JobFinal
    | Restated
)
