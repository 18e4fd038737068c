"""Provide the decision core: state, events, commands and `step`."""

from ._commands import (
    Append,
    Command,
    ForgetTask,
    JobFinal,
    ReadRunTable,
    ReplyAccepted,
    ReplyRefused,
    StartTask,
    StopTask,
)
from ._core import step
from ._events import (
    CancelRequested,
    Configured,
    Event,
    LeaseHeld,
    LeaseLost,
    Recorded,
    SubmitRequested,
    TaskReport,
    TasksReported,
    Tick,
    WorkerListed,
    WorkerSpec,
    WorkerUnlisted,
)
from ._jobs import AttemptKey, JobSpec, JobState, Kind, TaskState
from ._policy import Policy
from ._records import Record, TermTaken
from ._resources import Resources
from ._state import ShardState

__all__ = (
    'Append',
    'AttemptKey',
    'CancelRequested',
    'Command',
    'Configured',
    'Event',
    'ForgetTask',
    'JobFinal',
    'JobSpec',
    'JobState',
    'Kind',
    'LeaseHeld',
    'LeaseLost',
    'Policy',
    'ReadRunTable',
    'Record',
    'Recorded',
    'ReplyAccepted',
    'ReplyRefused',
    'Resources',
    'ShardState',
    'StartTask',
    'StopTask',
    'SubmitRequested',
    'TaskReport',
    'TaskState',
    'TasksReported',
    'TermTaken',
    'Tick',
    'WorkerListed',
    'WorkerSpec',
    'WorkerUnlisted',
    'step',
)
