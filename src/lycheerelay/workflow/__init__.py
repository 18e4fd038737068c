"""Decide on jobs of steps: pure, without clock, socket or thread."""

from ._advice import Advice, advice_failed, apply_advice
from ._answers import (
    Answer,
    start_answered,
    stop_answered,
    stop_strays,
)
from ._commands import (
    AskAdvice,
    Command,
    LookNow,
    Note,
    PaceRun,
    StartRun,
    StopRun,
)
from ._dispatch import dispatch
from ._ends import End, How
from ._intake import LATE_LIMIT, cancel, submit
from ._order import ORDERS
from ._outlook import (
    WaitPoint,
    Waits,
    predict_waits,
    predicted_wait,
    too_late_by,
)
from ._pacing import pace_worker
from ._progress import encode, restore
from ._spec import (
    MOST_TASKS,
    AdvicePolicy,
    QueuePolicy,
    RunKey,
    StepKey,
    StepSpec,
    TaskKey,
    WorkflowSpec,
    find_later,
    make_step,
    objective_ms,
)
from ._state import (
    FINAL_PHASES,
    NEVER,
    CellState,
    JobBook,
    JobPhase,
    RunState,
    StepBook,
    WorkerBook,
)
from ._tables import (
    Row,
    Table,
    WorkerListing,
    apply_table,
    bury_replaced,
    list_worker,
    unlist_worker,
)
from ._watch import (
    expire_jobs,
    open_occurrences,
    silence_ms,
    watch,
)

__all__ = (  # noqa: WPS410
    'LATE_LIMIT',
    'MOST_TASKS',
    'find_later',
    'make_step',
    'StepBook',
    'QueuePolicy',
    'FINAL_PHASES',
    'NEVER',
    'ORDERS',
    'Advice',
    'AdvicePolicy',
    'Answer',
    'AskAdvice',
    'CellState',
    'Command',
    'End',
    'How',
    'JobBook',
    'JobPhase',
    'LookNow',
    'Note',
    'PaceRun',
    'Row',
    'RunKey',
    'RunState',
    'StartRun',
    'StepKey',
    'StepSpec',
    'StopRun',
    'Table',
    'TaskKey',
    'WaitPoint',
    'Waits',
    'WorkerBook',
    'WorkerListing',
    'WorkflowSpec',
    'advice_failed',
    'apply_advice',
    'apply_table',
    'bury_replaced',
    'cancel',
    'dispatch',
    'encode',
    'expire_jobs',
    'list_worker',
    'objective_ms',
    'open_occurrences',
    'pace_worker',
    'predict_waits',
    'predicted_wait',
    'restore',
    'silence_ms',
    'start_answered',
    'stop_answered',
    'stop_strays',
    'submit',
    'too_late_by',
    'unlist_worker',
    'watch',
)
